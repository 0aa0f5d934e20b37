/**
 * One attempt to run a request on one server over one connection. The connection is used again only if the exchange
 * ended cleanly and the server named the request that it answered; a late, crossed or doubled answer then cannot be
 * taken for the answer to another request.
 */
package org.hickorytiller.dispatch

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.Clock
import org.hickorytiller.core.TimeMs
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

/** How an answer begins. */
internal sealed interface Opening {
    val head: ResponseHead

    class Whole(override val head: ResponseHead, val body: ByteArray) : Opening

    class Streamed(override val head: ResponseHead, val events: List<ServerSentEvent>) : Opening
}

/** What an exchange needs of its router. */
internal class ExchangeContext(val client: HttpClient, val clock: Clock, val reuseRule: ReuseRule)

/** Which connections are used again. Tests switch the rule off to show that it is needed. */
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
    private var namesRequest = false
    private var atEnd = false

    /** Time to the first token or whole answer in milliseconds; null before. */
    var firstTokenMs: Long? = null
        private set

    val durationMs: Long get() = context.clock() - startedAt

    /** Sends the request and receives the answer to its first event, or a whole answer to its end. */
    suspend fun open(resumeFrom: Int, onNewConnection: Boolean): Either<FailureKind, Opening> {
        val opened = connect(onNewConnection).getOrElse { return FailureKind.UNREACHABLE.left() }
        connection = opened
        val waitUntil = context.clock() + firstWaitMs(request, context.clock())
        opened.send(requestHead(resumeFrom), request.body)
        val head = receiveHead(opened, waitUntil).getOrElse { return failure(it).left() }
        if (!answersThisRequest(head)) return FailureKind.BAD_ANSWER.left()
        return if (isEventStream(head)) openStream(opened, head, waitUntil) else collect(opened, head, waitUntil)
    }

    /** The next events of a streamed answer; null at its end. */
    suspend fun nextEvents(): Either<FailureKind, List<ServerSentEvent>?> =
        receiveEvents(checkNotNull(connection), minOf(request.timeouts.betweenTokensMs, remainingMs()))

    /** Ends the exchange. The connection is closed, which cancels the work of the server, unless it ended cleanly. */
    fun end() {
        val ended = connection ?: return
        connection = null
        val isClean = atEnd && namesRequest
        if (isClean || context.reuseRule == ReuseRule.ALWAYS) context.client.release(ended) else ended.close()
    }

    // A request that must not be repeated gets a connection of its own: a pooled one may be closed by the server just
    // when the request is sent, and the request would then have an unknown outcome.
    private suspend fun connect(onNewConnection: Boolean): Either<HttpFault, ClientConnection> =
        if (request.isIdempotent && !onNewConnection) {
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
        repeat(MAX_INTERIM) {
            val head = connection.receiveHead(waitMs(until)).getOrElse { return it.left() }
            if (head.status >= HttpStatus.OK) return head.right()
        }
        return HttpFault.MALFORMED.left()
    }

    private fun answersThisRequest(head: ResponseHead): Boolean {
        val named = head.headers[REQUEST_ID]
        namesRequest = named == id
        return named == null || namesRequest
    }

    private fun isEventStream(head: ResponseHead) = request.isStreamed &&
        head.status == HttpStatus.OK &&
        head.headers["content-type"].orEmpty().startsWith("text/event-stream", ignoreCase = true)

    private suspend fun openStream(
        connection: ClientConnection,
        head: ResponseHead,
        until: TimeMs,
    ): Either<FailureKind, Opening> {
        phase = Phase.BEFORE_FIRST_TOKEN
        while (true) {
            val events = receiveEvents(connection, waitMs(until)).getOrElse { return it.left() }
                ?: return FailureKind.LOST.left()
            if (events.isNotEmpty()) {
                phase = Phase.IN_BODY
                firstTokenMs = durationMs
                return Opening.Streamed(head, events).right()
            }
        }
    }

    private suspend fun collect(
        connection: ClientConnection,
        head: ResponseHead,
        until: TimeMs,
    ): Either<FailureKind, Opening> {
        val body = connection.receiveBody(waitMs(until)).getOrElse { return failure(it).left() }
        atEnd = true
        firstTokenMs = durationMs
        return Opening.Whole(head, body).right()
    }

    private suspend fun receiveEvents(
        connection: ClientConnection,
        timeoutMs: Long,
    ): Either<FailureKind, List<ServerSentEvent>?> {
        val bytes = connection.receiveChunk(timeoutMs.coerceAtLeast(1)).getOrElse { return failure(it).left() }
        if (bytes == null) {
            atEnd = true
            return null.right()
        }
        return try {
            parser.feed(bytes).right()
        } catch (_: EventTooLargeException) {
            FailureKind.BAD_ANSWER.left()
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
        const val MAX_INTERIM = 8
    }
}
