/** The answer to one request on its caller's connection. */
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

/** Sends one answer. Once its head is sent, an error can only be sent inside the body. */
internal class CallerAnswer(private val connection: ServerConnection, private val clock: Clock = monotonicClock) {
    private var started = false

    /** When the first event of a streamed answer, or a whole answer, was passed on; null before. */
    var firstEventAt: TimeMs? = null
        private set

    /** `answered` after a complete answer, otherwise the code of the verdict. */
    var outcome: String = Verdict.NOT_RUN.code
        private set

    /** The verdict if the request ended now. */
    var verdict = Verdict.NOT_RUN

    /** Sends the head of a streamed answer. */
    suspend fun start(head: ResponseHead): Boolean {
        started = true
        return connection.startResponse(head.status, passed(head))
    }

    /** Sends a whole event of a streamed answer. */
    suspend fun event(bytes: ByteArray): Boolean {
        noteFirst()
        return connection.writeChunk(bytes)
    }

    /** Ends a streamed answer. Returns whether the connection can be used for another request. */
    suspend fun end(): Boolean {
        outcome = ANSWERED
        return connection.endResponse()
    }

    /** Sends a whole answer. */
    suspend fun whole(head: ResponseHead, body: ByteArray): Boolean {
        noteFirst()
        outcome = ANSWERED
        return connection.respond(head.status, passed(head), body)
    }

    /** Repeats the recorded answer to a request that ran before. */
    suspend fun repeat(recorded: RecordedOutcome): Boolean {
        outcome = ANSWERED
        val fields = listOfNotNull(
            recorded.contentType?.let { Headers.Field("content-type", it) },
            Headers.Field("idempotency-replayed", "true"),
        )
        return connection.respond(recorded.status, Headers(fields), recorded.body)
    }

    /** Reports [error] and returns whether the connection can be used for another request. */
    suspend fun fail(error: CallerError): Boolean {
        outcome = error.verdict.code
        if (!started) return connection.fail(error)
        val event = errorBody(error.code, error.message, error.verdict)
        connection.writeChunk("event: error\ndata: ".toByteArray() + event + "\n\n".toByteArray())
        // The answer stays without its end, so that a caller that ignores the event sees that it is not whole.
        connection.closeAfterResponse = true
        return false
    }

    private fun noteFirst() {
        if (firstEventAt == null) firstEventAt = clock()
    }

    private fun passed(head: ResponseHead) =
        Headers(head.headers.fields.filter { it.name.lowercase() in PASSED_FIELDS })

    private companion object {
        const val ANSWERED = "answered"
        val PASSED_FIELDS = setOf(
            "content-type", "content-encoding", "content-language", "content-disposition",
            "cache-control", "etag", "last-modified", "location", "retry-after",
        )
    }
}

/** Sends [error] as the whole answer. */
internal suspend fun ServerConnection.fail(error: CallerError, headers: Headers = Headers.EMPTY): Boolean {
    val retryAfter = error.retryAfterSeconds?.let { listOf(Headers.Field("retry-after", it.toString())) }.orEmpty()
    return respondError(error.status, error.code, error.message, error.verdict, Headers(headers.fields + retryAfter))
}
