/** Identifies what a backend server executes, so that a request which crashes servers is recognised when re-sent. */
package org.hickorytiller.quarantine

import org.hickorytiller.core.CustomerId
import java.util.zip.CRC32

/** Equal for two requests that would do the same work for the same customer. */
@JvmInline
value class RequestFingerprint(val value: String) {
    override fun toString() = value.take(SHOWN_DIGITS)

    private companion object {
        const val SHOWN_DIGITS = 12
    }
}

/**
 * A fingerprint that costs little enough to be computed for every request. Two different requests of one customer for
 * one target may share it, with a chance of one in four thousand million; both are then refused if one of them
 * crashes servers.
 */
fun crc32Fingerprint(customer: CustomerId?, target: String, body: ByteArray): RequestFingerprint {
    val checksum = CRC32()
    checksum.update(target.toByteArray())
    checksum.update(body)
    return RequestFingerprint("${checksum.value.toString(HEXADECIMAL)}-${target.length}-${body.size}-${customer ?: ""}")
}

private const val HEXADECIMAL = 16
