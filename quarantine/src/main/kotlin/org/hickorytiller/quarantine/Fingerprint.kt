/** Identifies what may crash servers, so that it is recognised in later requests. */
package org.hickorytiller.quarantine

import org.hickorytiller.core.CustomerId
import java.util.zip.CRC32

/**
 * Fingerprint of a request or of a part of its prompt. It is equal for two requests that would do the same work for the
 * same customer, and for two parts with equal text.
 */
@JvmInline
value class Fingerprint(val value: String) {
    override fun toString() = value.take(SHOWN_DIGITS)

    private companion object {
        const val SHOWN_DIGITS = 24
    }
}

/**
 * Returns a fingerprint that is cheap enough to compute for every request. Two different requests of one customer whose
 * targets and bodies have the same lengths share it with a probability of 1 in 2^32; both are then rejected if one of
 * them crashes servers.
 */
fun crc32Fingerprint(customer: CustomerId?, target: String, body: ByteArray): Fingerprint {
    val checksum = CRC32()
    checksum.update(target.toByteArray())
    checksum.update(body)
    return Fingerprint("${checksum.value.toString(HEXADECIMAL)}-${target.length}-${body.size}-${customer ?: ""}")
}

/** Returns the fingerprint of the prompt part that callers identify by [id]. */
fun promptPartFingerprint(id: String) = Fingerprint(PART_PREFIX + id)

/** Returns the fingerprint of a prompt part without an id by its [text]. */
fun promptPartFingerprint(text: ByteArray): Fingerprint {
    val checksum = CRC32().apply { update(text) }
    return promptPartFingerprint("${checksum.value.toString(HEXADECIMAL)}-${text.size}")
}

/** Whether this is the fingerprint of a part of prompts and not of a request. */
val Fingerprint.isPromptPart: Boolean get() = value.startsWith(PART_PREFIX)

private const val PART_PREFIX = "part:"
private const val HEXADECIMAL = 16
