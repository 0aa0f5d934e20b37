/**
 * One HTTP exchange with one server over one connection. An attempt has further exchanges if it reconnects or sends a
 * hedge. The connection is reused only if the response was read to its end and echoed the request id; otherwise a
 * late, misdirected or duplicate response could be taken for the response to another request.
 */
package org.hickorytiller.dispatch

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.Clock
import org.hickorytiller.core.TimeMs
import org.hickorytiller.core.parseTree
import org.hickorytiller.http.ClientConnection
import org.hickorytiller.http.EventParser
import org.hickorytiller.http.EventTooLargeException
import org.hickorytiller.http.Headers
import org.hickorytiller.http.HttpClient
import org.hickorytiller.http.HttpFault
import org.hickorytiller.http.HttpStatus
import org.hickorytiller.http.RequestHead
import org.hickorytiller.http.ResponseHead
import org.hickorytiller.http.ServerSentEvent

/** The first part of a response: all of it, or the head and first events of a stream. */
internal sealed interface ResponseStart {
    val head: ResponseHead

    class Complete(override val head: ResponseHead, val body: ByteArray) : ResponseStart

    class Streamed(override val head: ResponseHead, val events: List<ServerSentEvent>) : ResponseStart
}

/** The dependencies that all exchanges of a router share. */
internal class ExchangeContext(val client: HttpClient, val clock: Clock, val reuseRule: ReuseRule)

/**
 * Which connections are reused, and whether a response without a request id is accepted on them. Tests use [ALWAYS] to
 * show that [ONLY_CLEAN] is needed.
 */
internal enum class ReuseRule { ONLY_CLEAN, ALWAYS }

internal class Exchange(
    private val context: ExchangeContext,
    private val request: DispatchRequest,
    val server: BackendServer,
    private val id: String,
) {
    private val startedAt = context.clock()
    private val parser = EventParser()
    private var connection: ClientConnection? = null
    private var phase = Phase.BEFORE_HEAD
    private var echoesRequestId = false
    private var isAtEnd = false

    /** Time to the first token or complete response in milliseconds; null before. */
    var firstTokenMs: Long? = null
        private set

    val durationMs: Long get() = context.clock() - startedAt

    /** Sends the request and receives the response up to its first event, or to its end if it is not streamed. */
    suspend fun open(resumeFrom: Int, useNewConnection: Boolean): Either<FailureKind, ResponseStart> {
        val opened = connect(useNewConnection).getOrElse { return FailureKind.UNREACHABLE.left() }
        connection = opened
        val waitUntil = context.clock() + firstResponseTimeoutMs(request, context.clock())
        opened.send(requestHead(resumeFrom), request.body)
        val head = receiveHead(opened, waitUntil).getOrElse { return failure(it).left() }
        if (!matchesRequest(head, opened)) return FailureKind.BAD_RESPONSE.left()
        return if (isEventStream(head)) openStream(opened, head, waitUntil) else receiveBody(opened, head, waitUntil)
    }

    /** Receives the next events of a streamed response; null at its end. */
    suspend fun nextEvents(): Either<FailureKind, List<ServerSentEvent>?> =
        receiveEvents(checkNotNull(connection), minOf(request.timeouts.betweenTokensMs, remainingMs()))

    /** Ends the exchange. Unless it ended cleanly, closes the connection, which cancels the work of the server. */
    fun end() {
        val ended = connection ?: return
        connection = null
        val isClean = isAtEnd && echoesRequestId
        if (isClean || context.reuseRule == ReuseRule.ALWAYS) context.client.release(ended) else ended.close()
    }

    // A request that must not run twice gets a new connection: the server may close a pooled one just when the request
    // is sent, and the request would then have an unknown result.
    private suspend fun connect(useNewConnection: Boolean): Either<HttpFault, ClientConnection> =
        if (request.isIdempotent && !useNewConnection) {
            context.client.acquire(server.address)
        } else {
            context.client.connect(server.address)
        }

    private fun requestHead(resumeFrom: Int): RequestHead {
        val fields = request.head.headers.fields.toMutableList()
        fields += Headers.Field(REQUEST_ID, id)
        fields += Headers.Field("x-timeout-ms", remainingMs().toString())
        if (resumeFrom > 0) fields += Headers.Field("x-resume-from", resumeFrom.toString())
        return RequestHead(request.head.method, request.head.target, Headers(fields))
    }

    private suspend fun receiveHead(connection: ClientConnection, until: TimeMs): Either<HttpFault, ResponseHead> {
        repeat(MAX_INTERIM_RESPONSES) {
            val head = connection.receiveHead(waitMs(until)).getOrElse { return it.left() }
            if (head.status >= HttpStatus.OK) return head.right()
        }
        return HttpFault.MALFORMED.left()
    }

    // On a reused connection a response without an id may be a late copy of an earlier one.
    private fun matchesRequest(head: ResponseHead, connection: ClientConnection): Boolean {
        val echoedId = head.headers[REQUEST_ID]
        echoesRequestId = echoedId == id
        return echoesRequestId || (echoedId == null && (!connection.isReused || context.reuseRule == ReuseRule.ALWAYS))
    }

    private fun isEventStream(head: ResponseHead) = request.isStreamed &&
        head.status == HttpStatus.OK &&
        head.headers["content-type"].orEmpty().startsWith("text/event-stream", ignoreCase = true)

    private suspend fun openStream(
        connection: ClientConnection,
        head: ResponseHead,
        until: TimeMs,
    ): Either<FailureKind, ResponseStart> {
        phase = Phase.BEFORE_FIRST_TOKEN
        while (true) {
            val events = receiveEvents(connection, waitMs(until)).getOrElse { return it.left() }
                ?: return FailureKind.LOST.left()
            if (events.isNotEmpty()) {
                phase = Phase.IN_BODY
                firstTokenMs = durationMs
                return ResponseStart.Streamed(head, events).right()
            }
        }
    }

    private suspend fun receiveBody(
        connection: ClientConnection,
        head: ResponseHead,
        until: TimeMs,
    ): Either<FailureKind, ResponseStart> {
        val body = connection.receiveBody(waitMs(until)).getOrElse { return failure(it).left() }
        // Only the end of the connection ends such a body, and a crash of the server looks the same.
        if (head.status == HttpStatus.OK && head.endsWithConnection && parseTree(body)?.isObject != true) {
            return FailureKind.LOST.left()
        }
        isAtEnd = true
        firstTokenMs = durationMs
        return ResponseStart.Complete(head, body).right()
    }

    private suspend fun receiveEvents(
        connection: ClientConnection,
        timeoutMs: Long,
    ): Either<FailureKind, List<ServerSentEvent>?> {
        val bytes = connection.receiveChunk(timeoutMs.coerceAtLeast(1)).getOrElse { return failure(it).left() }
        if (bytes == null) {
            isAtEnd = true
            return null.right()
        }
        return try {
            parser.feed(bytes).right()
        } catch (_: EventTooLargeException) {
            FailureKind.BAD_RESPONSE.left()
        }
    }

    private fun failure(fault: HttpFault): FailureKind = if (fault == HttpFault.TIMEOUT && remainingMs() <= 0) {
        FailureKind.DEADLINE
    } else {
        failureKind(phase, fault, connection?.isReused ?: false)
    }

    private fun remainingMs() = request.deadline - context.clock()

    private fun waitMs(until: TimeMs) = (until - context.clock()).coerceAtLeast(1)

    private companion object {
        const val REQUEST_ID = "x-request-id"
        const val MAX_INTERIM_RESPONSES = 8
    }
}
