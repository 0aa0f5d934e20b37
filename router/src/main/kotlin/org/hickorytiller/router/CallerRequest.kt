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

/** Who sent a request. [key] is kept only to make sure that it is not passed on. */
internal class Caller(val customer: CustomerId, val key: String?, val keyHash: KeyHash?)

/**
 * A request to serve.
 *
 * @property chat what a chat completion request asks for; null for a plain service
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

    /** Hashes of the blocks of the prompt, for the choice of a server that has them in its prefix cache. */
    val prefix: LongArray by lazy { if (kind == PoolKind.ENGINE) prefixHashes(body) else LongArray(0) }

    /** When the request is of no more use to its caller. */
    val deadline: TimeMs = arrivedAt + minOf(requestClass.timeoutMs, callerTimeoutMs() ?: Long.MAX_VALUE)

    /** The request as the backend server gets it: only the fields it needs, and never the caller's key. */
    val toDispatch: DispatchRequest =
        DispatchRequest(
            RequestHead(head.method, targetWithoutKeys(head.target), passedHeaders()),
            body,
            isIdempotent,
            isStreamed = chat?.stream ?: false,
            requestClass,
            deadline,
            sha256Fingerprint(customer, chat?.model?.value ?: route.name, body),
        )

    /** What a second attempt to send the same request is compared with. */
    fun digest(): RequestDigest = requestDigest(head.method, toDispatch.head.target, body)

    /** The error of a request that cannot be served as it is; null if there is none. */
    fun fault(): CallerError? {
        val key = caller.key
        return when {
            key != null && carriesKey(key, toDispatch.head.target, toDispatch.head.headers, body) ->
                CallerError.badRequest("key_in_request", "the key occurs outside of the Authorization field")
            head.target.any { it <= ' ' || it >= DELETE } ->
                CallerError.badRequest("malformed_request", "the request target has characters that are not allowed")
            head.headers["x-timeout-ms"] != null && callerTimeoutMs() == null ->
                CallerError.badRequest("invalid_timeout", "X-Timeout-Ms is not a positive whole number")
            else -> null
        }
    }

    /** The caller's name for a request that must not run twice. */
    fun intentKey(): Either<CallerError, IntentKey> {
        val values = head.headers.all("idempotency-key")
        val value = values.firstOrNull()?.trim().orEmpty()
        return when {
            values.isEmpty() -> CallerError.badRequest(
                "idempotency_key_missing",
                "requests on this route must not run twice and need an Idempotency-Key",
            ).left()
            values.size > 1 || value.length !in 1..MAX_IDEMPOTENCY_KEY || value.any { it <= ' ' || it >= DELETE } ->
                CallerError.badRequest(
                    "invalid_idempotency_key",
                    "the Idempotency-Key is not one value of 1 to $MAX_IDEMPOTENCY_KEY printable ASCII characters",
                ).left()
            else -> IntentKey(customer, IdempotencyKey(value)).right()
        }
    }

    private fun passedHeaders(): Headers {
        val passed = head.headers.fields.filter { it.name.lowercase() in PASSED_FIELDS }
        val added =
            listOf(
                Headers.Field("x-priority", requestClass.tier.toString()),
                Headers.Field("x-customer", customer.value),
            )
        return Headers(passed + added)
    }

    private fun callerTimeoutMs(): Long? = head.headers["x-timeout-ms"]?.toLongOrNull()?.takeIf { it > 0 }

    private companion object {
        // A list of what is passed, so that no field that names a connection or carries a key gets through.
        val PASSED_FIELDS = setOf("content-type", "accept", "idempotency-key")
        const val MAX_IDEMPOTENCY_KEY = 128
        const val DELETE = '\u007f'
    }
}
