/** The response to one request on its caller's connection. */
package org.hickorytiller.router

import org.hickorytiller.core.Clock
import org.hickorytiller.core.TimeMs
import org.hickorytiller.core.Verdict
import org.hickorytiller.core.monotonicClock
import org.hickorytiller.dispatch.RecordedOutcome
import org.hickorytiller.http.Headers
import org.hickorytiller.http.ResponseHead
import org.hickorytiller.http.ServerConnection
import org.hickorytiller.http.errorBody
import org.hickorytiller.http.respondError

/** Sends one response. Once its head has been sent, an error can only be sent in the body. */
internal class CallerResponse(private val connection: ServerConnection, private val clock: Clock = monotonicClock) {
    private var isStarted = false

    /**
     * When the first event of a streamed response, or a complete response of a backend server, was sent; null before,
     * and if a recorded response or an error was sent instead.
     */
    var firstEventAt: TimeMs? = null
        private set

    /** `answered` after a complete response, otherwise the code of the verdict. */
    var outcome: String = Verdict.NOT_RUN.code
        private set

    /** The verdict to report if the request ends now. */
    var verdict = Verdict.NOT_RUN

    /** Sends the head of a streamed response. */
    suspend fun startStream(head: ResponseHead): Boolean {
        isStarted = true
        return connection.startResponse(head.status, forwardedHeaders(head))
    }

    /** Sends one complete event of a streamed response. */
    suspend fun sendEvent(bytes: ByteArray): Boolean {
        recordFirstEvent()
        return connection.writeChunk(bytes)
    }

    /** Ends a streamed response. Returns whether the connection can be used for another request. */
    suspend fun endStream(): Boolean {
        outcome = ANSWERED
        return connection.endResponse()
    }

    /** Sends a complete response. Returns whether the connection can be used for another request. */
    suspend fun sendResponse(head: ResponseHead, body: ByteArray): Boolean {
        recordFirstEvent()
        outcome = ANSWERED
        return connection.respond(head.status, forwardedHeaders(head), body)
    }

    /** Sends the recorded response of a request that ran before. */
    suspend fun replay(recorded: RecordedOutcome): Boolean {
        outcome = ANSWERED
        val fields = listOfNotNull(
            recorded.contentType?.let { Headers.Field("content-type", it) },
            Headers.Field("idempotency-replayed", "true"),
        )
        return connection.respond(recorded.status, Headers(fields), recorded.body)
    }

    /** Sends [error] and returns whether the connection can be used for another request. */
    suspend fun sendError(error: CallerError): Boolean {
        outcome = error.verdict.code
        if (!isStarted) return connection.sendError(error)
        val event = errorBody(error.code, error.message, error.verdict)
        connection.writeChunk("event: error\ndata: ".toByteArray() + event + "\n\n".toByteArray())
        // The response is not terminated, so that a caller that ignores the event detects that it is incomplete.
        connection.closeAfterResponse = true
        return false
    }

    private fun recordFirstEvent() {
        if (firstEventAt == null) firstEventAt = clock()
    }

    private fun forwardedHeaders(head: ResponseHead) =
        Headers(head.headers.fields.filter { it.name.lowercase() in FORWARDED_HEADERS })

    private companion object {
        const val ANSWERED = "answered"
        val FORWARDED_HEADERS = setOf(
            "content-type", "content-encoding", "content-language", "content-disposition",
            "cache-control", "etag", "last-modified", "location", "retry-after",
        )
    }
}

/** Sends [error] as the complete response. */
internal suspend fun ServerConnection.sendError(error: CallerError, headers: Headers = Headers.EMPTY): Boolean {
    val retryAfter = error.retryAfterSeconds?.let { listOf(Headers.Field("retry-after", it.toString())) }.orEmpty()
    return respondError(error.status, error.code, error.message, error.verdict, Headers(headers.fields + retryAfter))
}
