/** A request whose customer, route and class are known. */
package org.hickorytiller.router

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.hickorytiller.balancing.prefixHashes
import org.hickorytiller.configuration.PoolKind
import org.hickorytiller.configuration.RouteEntry
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.KeyHash
import org.hickorytiller.core.RequestClass
import org.hickorytiller.core.TimeMs
import org.hickorytiller.dispatch.DispatchRequest
import org.hickorytiller.dispatch.IdempotencyKey
import org.hickorytiller.dispatch.IntentKey
import org.hickorytiller.dispatch.RequestDigest
import org.hickorytiller.dispatch.requestDigest
import org.hickorytiller.dispatch.sha256Fingerprint
import org.hickorytiller.http.Headers
import org.hickorytiller.http.RequestHead

/** The sender of a request. [key] is kept only to check that it is not forwarded to a backend server. */
internal class Caller(val customer: CustomerId, val key: String?, val keyHash: KeyHash?)

/**
 * A resolved request.
 *
 * @property chat the decoded body of a chat completion request; null for a plain service
 */
internal class CallerRequest(
    private val head: RequestHead,
    private val body: ByteArray,
    val route: RouteEntry,
    val kind: PoolKind,
    val caller: Caller,
    val requestClass: RequestClass,
    val chat: ChatRequest?,
    val arrivedAt: TimeMs,
) {
    val customer: CustomerId get() = caller.customer

    val isIdempotent: Boolean get() = route.idempotent || kind == PoolKind.ENGINE

    /** Hashes of the blocks of the prompt, used to select a server that has them in its prefix cache. */
    val prefix: LongArray by lazy { if (kind == PoolKind.ENGINE) prefixHashes(body) else LongArray(0) }

    /** Arrival plus the time-out of the request class, or the caller's own time-out if that is shorter. */
    val deadline: TimeMs = arrivedAt + minOf(requestClass.timeoutMs, callerTimeoutMs() ?: Long.MAX_VALUE)

    /** The request as forwarded to the backend server: only the header fields that it needs, never the caller's key. */
    val dispatchRequest: DispatchRequest =
        DispatchRequest(
            RequestHead(head.method, targetWithoutKeys(head.target), forwardedHeaders()),
            body,
            isIdempotent,
            isStreamed = chat?.isStreamed ?: false,
            requestClass,
            deadline,
            sha256Fingerprint(customer, chat?.model?.value ?: route.name, body),
            chat?.sharedParts.orEmpty(),
        )

    /** Returns the digest that tells whether a later request with the same `Idempotency-Key` is the same request. */
    fun digest(): RequestDigest = requestDigest(head.method, dispatchRequest.head.target, body)

    /** Returns the error if the request is invalid; null if it is valid. */
    fun validationError(): CallerError? {
        val key = caller.key
        return when {
            key != null && carriesKey(key, dispatchRequest.head.target, dispatchRequest.head.headers, body) ->
                CallerError.badRequest("key_in_request", "the key occurs outside of the Authorization field")
            head.target.any { it <= ' ' || it >= ASCII_DELETE } ->
                CallerError.badRequest("malformed_request", "the request target has characters that are not allowed")
            head.headers["x-timeout-ms"] != null && callerTimeoutMs() == null ->
                CallerError.badRequest("invalid_timeout", "X-Timeout-Ms is not a positive whole number")
            else -> null
        }
    }

    /** Returns the customer and the `Idempotency-Key` of a request that must not run twice. */
    fun intentKey(): Either<CallerError, IntentKey> {
        val values = head.headers.all("idempotency-key")
        val value = values.firstOrNull()?.trim().orEmpty()
        return when {
            values.isEmpty() -> CallerError.badRequest(
                "idempotency_key_missing",
                "requests on this route must not run twice and need an Idempotency-Key",
            ).left()
            values.size > 1 || value.length !in 1..MAX_KEY_CHARS || value.any { it <= ' ' || it >= ASCII_DELETE } ->
                CallerError.badRequest(
                    "invalid_idempotency_key",
                    "the Idempotency-Key is not one value of 1 to $MAX_KEY_CHARS printable ASCII characters",
                ).left()
            else -> IntentKey(customer, IdempotencyKey(value)).right()
        }
    }

    private fun forwardedHeaders(): Headers {
        val forwarded = head.headers.fields.filter { it.name.lowercase() in FORWARDED_HEADERS }
        val added =
            listOf(
                Headers.Field("x-priority", requestClass.tier.toString()),
                Headers.Field("x-customer", customer.value),
            )
        return Headers(forwarded + added)
    }

    private fun callerTimeoutMs(): Long? = head.headers["x-timeout-ms"]?.toLongOrNull()?.takeIf { it > 0 }

    private companion object {
        // An allow list, so that hop-by-hop fields and fields that carry a key are never forwarded.
        val FORWARDED_HEADERS = setOf("content-type", "accept", "idempotency-key")
        const val MAX_KEY_CHARS = 128
        const val ASCII_DELETE = '\u007f'
    }
}
