/** Hashes that identify a request across attempts, routers and callers. */
package org.hickorytiller.dispatch

import org.hickorytiller.core.CustomerId
import org.hickorytiller.quarantine.Fingerprint
import java.security.MessageDigest

/**
 * Returns the fingerprint of a request. [routeOrModel] is the route or model that the request is for. The
 * `Idempotency-Key` is not part of it, since a caller may send the same body again under a new key.
 */
fun sha256Fingerprint(customer: CustomerId, routeOrModel: String, body: ByteArray): Fingerprint =
    Fingerprint(sha256(customer.value, routeOrModel, body = body))

/** Returns the digest used to check that a retried request equals the first one with its `Idempotency-Key`. */
fun requestDigest(method: String, target: String, body: ByteArray): RequestDigest =
    RequestDigest(sha256(method, target, body = body))

internal fun sha256(vararg parts: String, body: ByteArray = ByteArray(0)): String {
    val digest = MessageDigest.getInstance("SHA-256")
    parts.forEach {
        val bytes = it.toByteArray()
        digest.update("${bytes.size}:".toByteArray())
        digest.update(bytes)
    }
    return digest.digest(body).joinToString("") { "%02x".format(it) }
}
