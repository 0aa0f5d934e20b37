/**
 * Stand-in for the platform's log service: streams of records with offsets, a bounded append rate and bounded
 * retention. It simulates outages and lost responses on demand.
 */
package org.hickorytiller.standins

import com.fasterxml.jackson.module.kotlin.readValue
import io.netty.channel.EventLoopGroup
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import org.hickorytiller.core.json
import org.hickorytiller.http.Headers
import org.hickorytiller.http.HttpLimits
import org.hickorytiller.http.HttpServer
import org.hickorytiller.http.RequestHead
import org.hickorytiller.http.ServerConnection
import org.hickorytiller.http.respondJson
import java.net.InetSocketAddress
import java.util.Base64

/**
 * Faults and limits of the log, which a test may change at run time.
 *
 * @property loseAnswers number of appends that take effect without a response
 * @property rawAnswers bodies of responses to the next appends, sent unchanged after the append took effect
 * @property rawPages bodies of responses to the next reads, sent unchanged
 */
data class LogControl(
    val outage: Boolean = false,
    val loseAnswers: Int = 0,
    val appendsPerSecond: Int = 500,
    val retainedRecords: Int = 1_000_000,
    val rawAnswers: List<String> = emptyList(),
    val rawPages: List<String> = emptyList(),
)

/** The log stand-in. Confined to one event loop. */
class LogStandIn(private val clockMs: () -> Long = System::currentTimeMillis) {
    /** Faults and limits in effect. */
    var control = LogControl()

    private val streams = HashMap<String, Stream>()
    private var rateWindowStartMs = 0L
    private var appendsInWindow = 0

    /** Number of appends that took effect. */
    var appendCount = 0L
        private set

    /** Starts serving on [address]. */
    fun start(group: EventLoopGroup, scope: CoroutineScope, address: InetSocketAddress): HttpServer =
        HttpServer.start(group, scope, address, HttpLimits(), ::serve)

    private suspend fun serve(connection: ServerConnection) {
        while (true) {
            val head = connection.receive().getOrNull() ?: return
            val body = connection.receiveBody().getOrNull() ?: return
            if (!handle(connection, head, body)) return
        }
    }

    private suspend fun handle(connection: ServerConnection, head: RequestHead, body: ByteArray): Boolean {
        if (head.path == "/control") {
            control = json.readValue(body)
            return connection.respondJson(200, control)
        }
        if (control.outage) return connection.respondJson(503, mapOf("error" to "out of service"))
        val name = head.path.removePrefix("/streams/")
        return when (head.method) {
            "POST" -> append(connection, name, body)
            "GET" -> read(connection, name, head)
            else -> connection.respondJson(405, mapOf("error" to "method not allowed"))
        }
    }

    private suspend fun append(connection: ServerConnection, name: String, body: ByteArray): Boolean {
        if (body.size > MAX_RECORD_BYTES) return connection.respondJson(413, mapOf("error" to "record too large"))
        if (!isWithinAppendRate()) return connection.respondJson(429, mapOf("error" to "append rate exceeded"))
        val offset = streams.getOrPut(name) { Stream() }.append(body, control.retainedRecords)
        appendCount++
        if (control.loseAnswers > 0) {
            control = control.copy(loseAnswers = control.loseAnswers - 1)
            return false
        }
        val raw = control.rawAnswers.firstOrNull() ?: return connection.respondJson(200, mapOf("offset" to offset))
        control = control.copy(rawAnswers = control.rawAnswers.drop(1))
        return connection.respond(200, Headers.EMPTY, raw.toByteArray())
    }

    private suspend fun read(connection: ServerConnection, name: String, head: RequestHead): Boolean {
        val stream = streams.getOrPut(name) { Stream() }
        val from = head.query("from")?.toLongOrNull() ?: 0
        val waitMs = head.query("waitMs")?.toLongOrNull() ?: 0
        val max = head.query("max")?.toIntOrNull() ?: DEFAULT_MAX
        if (from >= stream.end) withTimeoutOrNull(waitMs) { stream.changed.await() }
        if (control.outage) return connection.respondJson(503, mapOf("error" to "out of service"))
        control.rawPages.firstOrNull()?.let { raw ->
            control = control.copy(rawPages = control.rawPages.drop(1))
            return connection.respond(200, Headers.EMPTY, raw.toByteArray())
        }
        val records =
            stream.from(from, max).map { (offset, data) ->
                mapOf("offset" to offset, "data" to Base64.getEncoder().encodeToString(data))
            }
        val page = mapOf("earliest" to stream.earliest, "end" to stream.end, "records" to records)
        return connection.respondJson(200, page)
    }

    private fun isWithinAppendRate(): Boolean {
        val nowMs = clockMs()
        if (nowMs - rateWindowStartMs >= RATE_WINDOW_MS) {
            rateWindowStartMs = nowMs
            appendsInWindow = 0
        }
        appendsInWindow++
        return appendsInWindow <= control.appendsPerSecond
    }

    private class Stream {
        private val records = ArrayDeque<ByteArray>()
        var earliest = 0L
            private set
        val end: Long get() = earliest + records.size
        var changed = CompletableDeferred<Unit>()
            private set

        fun append(data: ByteArray, retained: Int): Long {
            records.addLast(data)
            while (records.size > retained) {
                records.removeFirst()
                earliest++
            }
            changed.complete(Unit)
            changed = CompletableDeferred()
            return end - 1
        }

        fun from(offset: Long, max: Int): List<Pair<Long, ByteArray>> {
            val start = maxOf(offset, earliest)
            val stop = minOf(end, start + max)
            return (start until stop).map { it to records[(it - earliest).toInt()] }
        }
    }

    private companion object {
        const val MAX_RECORD_BYTES = 262_144
        const val DEFAULT_MAX = 100
        const val RATE_WINDOW_MS = 1_000L
    }
}
