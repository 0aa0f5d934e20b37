/** A request whose customer, route and class are known, and the answer to it. */
package org.hickorytiller.router

import org.hickorytiller.configuration.PoolKind
import org.hickorytiller.configuration.Route
import org.hickorytiller.core.Clock
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.KeyHash
import org.hickorytiller.core.RequestClass
import org.hickorytiller.core.TimeMs
import org.hickorytiller.core.Verdict
import org.hickorytiller.dispatch.DispatchRequest
import org.hickorytiller.http.Headers
import org.hickorytiller.http.RequestHead
import org.hickorytiller.http.ResponseHead
import org.hickorytiller.http.ServerConnection
import org.hickorytiller.http.errorBody
import org.hickorytiller.http.respondError

/** The key that a request carries in its `Authorization` field. */
internal fun RequestHead.bearerKey(): String? = headers["authorization"]?.takeIf {
    it.startsWith("Bearer ", ignoreCase = true)
}?.substring("Bearer ".length)?.trim()

internal class CallerRequest(
    val head: RequestHead,
    val body: ByteArray,
    val route: Route,
    val kind: PoolKind,
    val customer: CustomerId,
    val keyHash: KeyHash?,
    val requestClass: RequestClass,
    val arrivedAt: TimeMs,
) {
    val answer = CallerAnswer()

    /** The request as the backend server gets it: only the fields it needs, and never the caller's key. */
    fun toDispatchRequest(): DispatchRequest {
        val passed = head.headers.fields.filter { it.name.lowercase() in PASSED_FIELDS }
        val added =
            listOf(
                Headers.Field("x-priority", requestClass.tier.toString()),
                Headers.Field("x-customer", customer.value),
            )
        return DispatchRequest(
            RequestHead(head.method, head.target, Headers(passed + added)),
            body,
            idempotent = route.idempotent || kind == PoolKind.ENGINE,
            firstByteTimeoutMs = requestClass.timeoutMs,
            progressTimeoutMs = PROGRESS_TIMEOUT_MS,
        )
    }

    private companion object {
        val PASSED_FIELDS = setOf("content-type", "accept", "idempotency-key")
        const val PROGRESS_TIMEOUT_MS = 10_000L
    }
}

/** The answer to one request: once its head is sent, an error can only be sent inside the body. */
internal class CallerAnswer {
    private var started = false
    private var tokenSeen = false
    private var complete = false

    /** The verdict for metrics if the request ended now; `answered` after a complete answer. */
    val outcome: String get() = if (complete) "answered" else verdict.code

    /** The verdict if the request ended now. */
    var verdict = Verdict.NOT_RUN

    /** Sends the head of the answer. */
    suspend fun start(connection: ServerConnection, head: ResponseHead): Boolean {
        started = true
        val passed = head.headers.fields.filter { it.name.lowercase() in PASSED_FIELDS }
        return connection.startResponse(head.status, Headers(passed))
    }

    /** The time of the first call, which is that of the first token; null for all later ones. */
    fun firstTokenAt(clock: Clock): TimeMs? = if (tokenSeen) null else clock().also { tokenSeen = true }

    /** Ends a complete answer. */
    suspend fun end(connection: ServerConnection): Boolean {
        complete = true
        return connection.endResponse()
    }

    /** Reports [error] and returns whether the connection can be used for another request. */
    suspend fun fail(connection: ServerConnection, error: CallerError): Boolean {
        if (!started) return connection.fail(error)
        val event = errorBody(error.code, error.message, error.verdict)
        connection.writeChunk("event: error\ndata: ".toByteArray() + event + "\n\n".toByteArray())
        connection.abort()
        return false
    }

    private companion object {
        val PASSED_FIELDS = setOf("content-type", "cache-control")
    }
}

/** Sends [error] as the whole answer. */
internal suspend fun ServerConnection.fail(error: CallerError): Boolean {
    val retryAfter = error.retryAfterSeconds?.let { listOf(Headers.Field("retry-after", it.toString())) } ?: emptyList()
    return respondError(error.status, error.code, error.message, error.verdict, Headers(retryAfter))
}
