/** Identifies the work of a request, so that a request that crashes servers is recognised when it is sent again. */
package org.hickorytiller.quarantine

import org.hickorytiller.core.CustomerId
import java.util.zip.CRC32

/** Fingerprint that is equal for two requests that would do the same work for the same customer. */
@JvmInline
value class RequestFingerprint(val value: String) {
    override fun toString() = value.take(SHOWN_DIGITS)

    private companion object {
        const val SHOWN_DIGITS = 12
    }
}

/**
 * Returns a fingerprint that is cheap enough to compute for every request. Two different requests of one customer whose
 * targets and bodies have the same lengths share it with a probability of 1 in 2^32; both are then rejected if one of
 * them crashes servers.
 */
fun crc32Fingerprint(customer: CustomerId?, target: String, body: ByteArray): RequestFingerprint {
    val checksum = CRC32()
    checksum.update(target.toByteArray())
    checksum.update(body)
    return RequestFingerprint("${checksum.value.toString(HEXADECIMAL)}-${target.length}-${body.size}-${customer ?: ""}")
}

private const val HEXADECIMAL = 16
