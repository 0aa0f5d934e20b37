/**
 * Records of a topic of the platform's store that a host has read and sends to its peers, so that they need not read
 * them as well. A peer that misses a message learns of it from the read progress in the next status.
 */
package org.hickorytiller.mesh

import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.StreamName

/** The newest record of [key]; [value] is null if the key has been deleted. */
class TopicRecord(val key: String, val value: ByteArray?)

/** [records] of [topic], of which the first has the offset [from]. */
class TopicRecords(val topic: StreamName, val from: LogOffset, val records: List<TopicRecord>)

/** Divides the records into messages of at most [maxBytes] of keys and values; a larger record is left out. */
internal fun TopicRecords.divide(maxBytes: Int): List<TopicRecords> {
    val messages = mutableListOf<TopicRecords>()
    var pending = mutableListOf<TopicRecord>()
    var start = from.value
    var bytes = 0
    fun finish(nextStart: Long) {
        if (pending.isNotEmpty()) messages += TopicRecords(topic, LogOffset(start), pending)
        pending = mutableListOf()
        bytes = 0
        start = nextStart
    }
    records.forEachIndexed { index, record ->
        val size = record.key.length + (record.value?.size ?: 0)
        if (bytes + size > maxBytes) finish(from.value + index)
        if (size > maxBytes) {
            finish(from.value + index + 1)
        } else {
            pending += record
            bytes += size
        }
    }
    finish(from.value + records.size)
    return messages
}
