/**
 * Stand-in for the platform's store, which the daemon uses: keyed topics with one partition, appends conditional on an
 * offset, and reads that wait for new records. It simulates outages, lost responses and compacted history on demand.
 * [LogStandIn] implements the log that the router and the controller use.
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
        var earliest = 0
        var appended = CompletableDeferred<Unit>()
    }

    private val topics = HashMap<String, Topic>()

    /** Status with which every call is rejected during a simulated outage; null outside an outage. */
    var outageStatus: Int? = null

    /** Number of appends that take effect without a response. */
    var loseAnswers = 0

    /** Maximum number of records in the response to a read. */
    var maxRecords = Int.MAX_VALUE

    /** Whether reads never get a response, as on a connection that has silently failed. */
    var isSilent = false

    /** Number of calls received. */
    var calls = 0
        private set

    /** Starts serving on [address]. */
    fun start(group: EventLoopGroup, scope: CoroutineScope, address: InetSocketAddress): HttpServer =
        HttpServer.start(group, scope, address, HttpLimits(), ::serve)

    /** Appends the record [key] = [value], as operators and replicas do. A null [value] deletes the key. */
    fun put(topic: String, key: String, value: String?) {
        append(topicOf(topic), record(key, value?.toByteArray() ?: ByteArray(0)))
    }

    /** Trims the history of [topic]. The newest record of each key stays readable. */
    fun compact(topic: String) {
        topicOf(topic).run { earliest = records.size }
    }

    /** Returns the end offset of [topic], which is the number of records ever appended to it. */
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
                outage != null -> connection.respond(outage)
                head.path == "/log-append" -> if (!append(connection, head, body)) return
                head.path == "/log-read" -> read(connection, head)
                head.path == "/log-newest" -> readNewest(connection, topicOf(head.query("topic").orEmpty()))
                else -> connection.respond(HttpStatus.NOT_FOUND)
            }
        }
    }

    private suspend fun append(connection: ServerConnection, head: RequestHead, body: ByteArray): Boolean {
        val topic = topicOf(head.query("topic").orEmpty())
        val at = head.query("at")?.toInt()
        if (at != null && at != topic.records.size) {
            connection.respond(HttpStatus.PRECONDITION_FAILED, """{"end":${topic.records.size}}""")
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
        connection.respond(HttpStatus.OK, """{"offset":$offset,"end":${topic.records.size}}""")
        return true
    }

    private suspend fun read(connection: ServerConnection, head: RequestHead) {
        val topic = topicOf(head.query("topic").orEmpty())
        val from = head.query("from")?.toInt() ?: 0
        if (from < topic.earliest) return connection.respond(HttpStatus.GONE, """{"first":${topic.earliest}}""")
        if (from >= topic.records.size) {
            withTimeoutOrNull(head.query("wait-ms")?.toLong() ?: 0) { topic.appended.await() }
        }
        if (isSilent) awaitCancellation()
        outageStatus?.let { return connection.respond(it) }
        val out = ByteArrayOutputStream()
        out.write(
            ByteBuffer.allocate(
                2 * Long.SIZE_BYTES,
            ).putLong(topic.records.size.toLong()).putLong(topic.earliest.toLong()).array(),
        )
        topic.records.drop(from).take(maxRecords).forEach { out.write(withLengthPrefix(it)) }
        connection.respond(HttpStatus.OK, Headers.EMPTY, out.toByteArray())
    }

    private suspend fun readNewest(connection: ServerConnection, topic: Topic) {
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
        connection.respond(HttpStatus.OK, jsonTreeMapper.writeValueAsString(root))
    }

    private fun record(key: String, value: ByteArray) = byteArrayOf(key.length.toByte()) + key.toByteArray() + value

    private fun withLengthPrefix(record: ByteArray) =
        ByteBuffer.allocate(Int.SIZE_BYTES + record.size).putInt(record.size).put(record).array()
}

private suspend fun ServerConnection.respond(status: Int, body: String = "{}") {
    respond(status, Headers.of("Content-Type" to "application/json"), body.toByteArray())
}
