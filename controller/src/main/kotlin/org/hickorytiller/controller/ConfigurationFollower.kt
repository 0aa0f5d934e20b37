/** Keeps the accepted configuration of a controller and writes the snapshots of the snapshot duty. */
package org.hickorytiller.controller

import org.hickorytiller.configuration.CONFIGURATION_STREAM
import org.hickorytiller.configuration.ConfigurationReader
import org.hickorytiller.configuration.ConfigurationState
import org.hickorytiller.configuration.SnapshotPosition
import org.hickorytiller.configuration.StoredRecord
import org.hickorytiller.configuration.encodeConfigurationRecord
import org.hickorytiller.configuration.isSnapshotDue
import org.hickorytiller.configuration.snapshotRecords
import org.hickorytiller.core.Clock
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.TimeMs
import org.hickorytiller.platform.AppendToLog
import org.hickorytiller.platform.LogPage
import org.hickorytiller.platform.ReadLog
import org.hickorytiller.platform.followStream
import java.util.UUID

/** Confined to the event loop. [retentionMs] is the time for which the log keeps a record. */
internal class ConfigurationFollower(
    private val append: AppendToLog,
    private val read: ReadLog,
    private val clock: Clock,
    private val retentionMs: Long,
) {
    private val reader = ConfigurationReader()
    private var earliest = LogOffset(0)
    private var end = LogOffset(0)
    private var lastSnapshot: SnapshotPosition? = null
    private var lastSnapshotAt: TimeMs? = null

    /** The accepted configuration; an empty one until it is known. */
    val state: ConfigurationState get() = reader.state ?: NOTHING

    /** Why the stream is no longer applied; null while it is. */
    val fault: String?
        get() = reader.unsupportedRecord?.let {
            "$CONFIGURATION_STREAM: record ${it.offset} has the unknown schema ${it.schema}"
        }

    /** Follows the stream. Does not return. */
    suspend fun follow(): Nothing = followStream(read, CONFIGURATION_STREAM, reader.nextOffset) { take(it) }

    /** Writes a snapshot if one is due and [mayWrite] holds before each part. Two writers do no harm. */
    suspend fun writeSnapshotIfDue(mayWrite: () -> Boolean) {
        if (!reader.caughtUp) return
        if (!isSnapshotDue(reader.lastSnapshot, lastSnapshotAt, earliest, end, clock(), retentionMs)) return
        for (part in snapshotRecords(state, UUID.randomUUID().toString())) {
            if (!mayWrite()) return
            // A snapshot with a missing part never counts; the next one is written anew.
            if (append(CONFIGURATION_STREAM, encodeConfigurationRecord(part)).isLeft()) return
        }
    }

    private fun take(page: LogPage) {
        val isFirst = lastSnapshot == null && !reader.caughtUp
        earliest = page.earliest
        end = page.end
        reader.onPage(page.earliest, page.end, page.records.map { StoredRecord(it.offset, it.data) })
        val newest = reader.lastSnapshot
        if (newest == lastSnapshot) return
        lastSnapshot = newest
        // The age of a snapshot that was there at the start is unknown.
        lastSnapshotAt = if (isFirst) null else clock()
    }

    private companion object {
        val NOTHING = ConfigurationState()
    }
}
