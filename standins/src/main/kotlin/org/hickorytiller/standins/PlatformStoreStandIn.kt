/**
 * Stand-in of the users' platform store: keyed topics of one partition, appends bound to an offset, reads that wait,
 * outages, lost answers and deleted history on demand.
 */
package org.hickorytiller.standins

import io.netty.channel.EventLoopGroup
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.withTimeoutOrNull
import org.hickorytiller.core.jsonTreeMapper
import org.hickorytiller.http.Headers
import org.hickorytiller.http.HttpLimits
import org.hickorytiller.http.HttpServer
import org.hickorytiller.http.HttpStatus
import org.hickorytiller.http.RequestHead
import org.hickorytiller.http.ServerConnection
import java.io.ByteArrayOutputStream
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import java.util.Base64

/** The store stand-in. Confined to one event loop. */
class PlatformStoreStandIn {
    private class Topic {
        val records = mutableListOf<ByteArray>()
        var first = 0
        var appended = CompletableDeferred<Unit>()
    }

    private val topics = HashMap<String, Topic>()

    /** Status of every answer; the calls do nothing then. Null in good health. */
    var outageStatus: Int? = null

    /** Number of appends whose answer is lost after they took effect. */
    var loseAnswers = 0

    /** Number of records that an answer holds at most. */
    var maxRecords = Int.MAX_VALUE

    /** Whether reads that wait are never answered, as on a connection that has gone silent. */
    var isSilent = false

    /** Number of calls answered or dropped. */
    var calls = 0
        private set

    /** Starts serving on [address]. */
    fun start(group: EventLoopGroup, scope: CoroutineScope, address: InetSocketAddress): HttpServer =
        HttpServer.start(group, scope, address, HttpLimits(), ::serve)

    /** Writes the record [key] = [value] as operators and replicas do; no value drops the key. */
    fun put(topic: String, key: String, value: String?) {
        append(topicOf(topic), record(key, value?.toByteArray() ?: ByteArray(0)))
    }

    /** Deletes the history of [topic]; the newest record of each key stays readable. */
    fun compact(topic: String) {
        topicOf(topic).run { first = records.size }
    }

    /** The number of records that [topic] ever got. */
    fun end(topic: String): Int = topicOf(topic).records.size

    private fun topicOf(name: String) = topics.getOrPut(name) { Topic() }

    private fun append(topic: Topic, record: ByteArray) {
        topic.records += record
        topic.appended.complete(Unit)
        topic.appended = CompletableDeferred()
    }

    private suspend fun serve(connection: ServerConnection) {
        while (true) {
            val head = connection.receive().getOrNull() ?: return
            val body = connection.receiveBody().getOrNull() ?: return
            calls++
            val outage = outageStatus
            when {
                outage != null -> connection.answer(outage)
                head.path == "/log-append" -> if (!append(connection, head, body)) return
                head.path == "/log-read" -> read(connection, head)
                head.path == "/log-newest" -> newest(connection, topicOf(head.query("topic").orEmpty()))
                else -> connection.answer(HttpStatus.NOT_FOUND)
            }
        }
    }

    private suspend fun append(connection: ServerConnection, head: RequestHead, body: ByteArray): Boolean {
        val topic = topicOf(head.query("topic").orEmpty())
        val at = head.query("at")?.toInt()
        if (at != null && at != topic.records.size) {
            connection.answer(HttpStatus.PRECONDITION_FAILED, """{"end":${topic.records.size}}""")
            return true
        }
        val offset = topic.records.size
        val buffer = ByteBuffer.wrap(body)
        while (buffer.hasRemaining()) append(topic, ByteArray(buffer.getInt()).also { buffer.get(it) })
        if (loseAnswers > 0) {
            loseAnswers--
            connection.abort()
            return false
        }
        connection.answer(HttpStatus.OK, """{"offset":$offset,"end":${topic.records.size}}""")
        return true
    }

    private suspend fun read(connection: ServerConnection, head: RequestHead) {
        val topic = topicOf(head.query("topic").orEmpty())
        val from = head.query("from")?.toInt() ?: 0
        if (from < topic.first) return connection.answer(HttpStatus.GONE, """{"first":${topic.first}}""")
        if (from >= topic.records.size) {
            withTimeoutOrNull(head.query("wait-ms")?.toLong() ?: 0) { topic.appended.await() }
        }
        if (isSilent) awaitCancellation()
        outageStatus?.let { return connection.answer(it) }
        val out = ByteArrayOutputStream()
        out.write(
            ByteBuffer.allocate(
                2 * Long.SIZE_BYTES,
            ).putLong(topic.records.size.toLong()).putLong(topic.first.toLong()).array(),
        )
        topic.records.drop(from).take(maxRecords).forEach { out.write(framed(it)) }
        connection.respond(HttpStatus.OK, Headers.EMPTY, out.toByteArray())
    }

    private suspend fun newest(connection: ServerConnection, topic: Topic) {
        val byKey = LinkedHashMap<String, Pair<Int, ByteArray>>()
        topic.records.forEachIndexed { offset, record ->
            val keyBytes = record[0].toInt()
            val key = String(record, 1, keyBytes)
            val value = record.copyOfRange(1 + keyBytes, record.size)
            if (value.isEmpty()) byKey -= key else byKey[key] = offset to value
        }
        val root = jsonTreeMapper.createObjectNode()
        val items = root.putArray("items")
        byKey.forEach { (key, entry) ->
            val value = Base64.getEncoder().encodeToString(entry.second)
            items.addObject().put("key", key).put("value", value).put("offset", entry.first)
        }
        root.put("more", false).put("end", topic.records.size)
        connection.answer(HttpStatus.OK, jsonTreeMapper.writeValueAsString(root))
    }

    private fun record(key: String, value: ByteArray) = byteArrayOf(key.length.toByte()) + key.toByteArray() + value

    private fun framed(record: ByteArray) =
        ByteBuffer.allocate(Int.SIZE_BYTES + record.size).putInt(record.size).put(record).array()
}

private suspend fun ServerConnection.answer(status: Int, body: String = "{}") {
    respond(status, Headers.of("Content-Type" to "application/json"), body.toByteArray())
}
