/**
 * Stand-in for one backend server of the platform. It implements the request protocol that the
 * daemon uses and simulates on demand the faults that the protocol describes. [EngineStandIn] implements the protocol
 * that the router uses.
 */
package org.hickorytiller.standins

import io.netty.channel.EventLoopGroup
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import org.hickorytiller.core.TimeMs
import org.hickorytiller.core.monotonicClock
import org.hickorytiller.http.Headers
import org.hickorytiller.http.HttpLimits
import org.hickorytiller.http.HttpServer
import org.hickorytiller.http.HttpStatus
import org.hickorytiller.http.RequestHead
import org.hickorytiller.http.ServerConnection
import java.net.InetSocketAddress

/** A fault of the server in handling one request. */
enum class ServerFault {
    /** Rejects the request and reports that it did not run. */
    SHED,

    /** Runs the request and closes the connection without a response. */
    LOSE_ANSWER,

    /** Sends a response to another request before the response to this one. */
    MISMATCHED_ANSWER_FIRST,

    /** Closes the connection in the middle of an event or of the body. */
    TRUNCATED_ANSWER,
}

/** A request that the server ran. */
class ExecutedRequest(val head: RequestHead, val body: ByteArray)

/**
 * How the server handles one request.
 *
 * @property firstByteDelayMs time of work before the first byte of the response
 * @property events number of events if the request is for a stream
 * @property eventGapMs time after each event
 * @property isRefused whether the server rejects the request and reports that it did not run
 */
data class ServerAnswer(
    val firstByteDelayMs: Long = 0,
    val events: Int = 4,
    val eventGapMs: Long = 1,
    val status: Int = HttpStatus.OK,
    val isRefused: Boolean = false,
)

/** How the work on a request ended. */
enum class WorkEnd {
    REFUSED,
    COMPLETE,

    /** The peer closed the connection before the end of the response. */
    CUT_OFF,

    /** The server ended the response early by itself. */
    BROKE_OFF,
}

/**
 * What the server [server] did for the request [requestId].
 *
 * @property startedAt when the server began to run the request; null if it did not run it
 * @property end null while the server is at work
 */
data class ServerWork(
    val requestId: String,
    val server: String,
    val arrivedAt: TimeMs,
    var startedAt: TimeMs? = null,
    var endedAt: TimeMs? = null,
    var end: WorkEnd? = null,
)

/** A stand-in called [id]; [chooseAnswer] decides how it handles each request. Confined to one event loop. */
class PlatformServerStandIn(private val id: String, private val chooseAnswer: (RequestHead) -> ServerAnswer) {
    constructor(id: String, events: Int = 4, eventGapMs: Long = 1) :
        this(id, { ServerAnswer(events = events, eventGapMs = eventGapMs) })

    /** The faults of the next requests, one for each request. */
    val faults = ArrayDeque<ServerFault>()

    /** The rate limit that the server states in its answers, in requests per second; null if it states none. */
    var rateLimitPerS: Double? = null

    /** Whether the server states in its answers that it leaves. */
    var isLeaving = false

    /** The value of `Retry-After` with which the server refuses all requests; null if it accepts them. */
    var refusalRetryAfter: String? = null

    /** The number of requests that were refused because of [refusalRetryAfter]. */
    var refusalCount = 0
        private set

    /** All requests that the server started to run, in order. */
    val runs = mutableListOf<ExecutedRequest>()

    /** What the server did for each request that was meant for it, in order of arrival. */
    val work = mutableListOf<ServerWork>()

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
        val expected = head.headers["Expect-Instance"]
        val requestId = head.requestId
        val fault = faults.removeFirstOrNull()
        if (expected != null && expected != id) {
            val headers = Headers.of("Request-Id" to requestId, "Instance-Id" to id)
            return connection.respond(HttpStatus.MISDIRECTED_REQUEST, headers, ByteArray(0))
        }
        val answer = chooseAnswer(head)
        val record = ServerWork(requestId, id, monotonicClock()).also { work += it }
        val retryAfter = refusalRetryAfter
        if (retryAfter != null || fault == ServerFault.SHED || answer.isRefused) {
            if (retryAfter != null) refusalCount++
            record.finish(WorkEnd.REFUSED)
            val headers = refusalHeaders(requestId, retryAfter)
            return connection.respond(HttpStatus.SERVICE_UNAVAILABLE, headers, ByteArray(0))
        }
        runs += ExecutedRequest(head, body)
        record.startedAt = monotonicClock()
        val isComplete = run(connection, head, answer, fault)
        val isOwnEnd = fault == ServerFault.LOSE_ANSWER || fault == ServerFault.TRUNCATED_ANSWER
        record.finish(
            if (isComplete) {
                WorkEnd.COMPLETE
            } else if (isOwnEnd) {
                WorkEnd.BROKE_OFF
            } else {
                WorkEnd.CUT_OFF
            },
        )
        return isComplete
    }

    private suspend fun run(
        connection: ServerConnection,
        head: RequestHead,
        answer: ServerAnswer,
        fault: ServerFault?,
    ): Boolean {
        if (fault == ServerFault.LOSE_ANSWER) return false
        if (fault == ServerFault.MISMATCHED_ANSWER_FIRST) {
            connection.respond(HttpStatus.OK, responseHeaders("another"), "stray".toByteArray())
        }
        if (!stayOpen(connection, answer.firstByteDelayMs)) return false
        val isStream = head.headers["Token-Usage"] != null && answer.status == HttpStatus.OK
        return if (isStream) stream(connection, head, answer, fault) else respondWhole(connection, head, answer, fault)
    }

    private suspend fun respondWhole(
        connection: ServerConnection,
        head: RequestHead,
        answer: ServerAnswer,
        fault: ServerFault?,
    ): Boolean {
        val headers = responseHeaders(head.requestId)
        if (fault != ServerFault.TRUNCATED_ANSWER) {
            return connection.respond(answer.status, headers, "answer of $id".toByteArray())
        }
        connection.startResponse(answer.status, headers)
        connection.writeChunk("answer".toByteArray())
        connection.flush()
        return false
    }

    private suspend fun stream(
        connection: ServerConnection,
        head: RequestHead,
        answer: ServerAnswer,
        fault: ServerFault?,
    ): Boolean {
        val after = head.headers["Last-Event-Id"]?.toInt() ?: 0
        connection.startResponse(HttpStatus.OK, responseHeaders(head.requestId))
        for (event in after + 1..answer.events) {
            if (fault == ServerFault.TRUNCATED_ANSWER && event == TRUNCATED_EVENT) {
                connection.writeChunk("id: $event\nda".toByteArray())
                connection.flush()
                return false
            }
            connection.writeChunk("id: $event\ndata: t$event\n\n".toByteArray())
            if (!stayOpen(connection, answer.eventGapMs)) return false
        }
        return connection.endResponse()
    }

    /** Waits for [durationMs]; returns false as soon as the peer has closed the connection. */
    private suspend fun stayOpen(connection: ServerConnection, durationMs: Long): Boolean =
        withTimeoutOrNull(durationMs) { connection.closed.await() } == null && !connection.closed.isCompleted

    private fun ServerWork.finish(end: WorkEnd) {
        this.end = end
        endedAt = monotonicClock()
    }

    private val RequestHead.requestId get() = headers["Request-Id"].orEmpty()

    private fun responseHeaders(requestId: String): Headers {
        val headers =
            Headers.of("Request-Id" to requestId, "Response-Signature" to "signature-$id", "Keep-Alive" to "timeout=5")
        val limit = rateLimitPerS?.let { Headers.Field("Server-Limit", it.toString()) }
        return Headers(headers.fields + listOfNotNull(limit, leavingField()))
    }

    private fun refusalHeaders(requestId: String, retryAfter: String?): Headers {
        val headers = Headers.of("Request-Id" to requestId, "Not-Executed" to "1")
        val time = retryAfter?.let { Headers.Field("Retry-After", it) }
        return Headers(headers.fields + listOfNotNull(time, leavingField()))
    }

    private fun leavingField() = if (isLeaving) Headers.Field("Server-Leaving", "1") else null

    private companion object {
        const val TRUNCATED_EVENT = 3
    }
}
