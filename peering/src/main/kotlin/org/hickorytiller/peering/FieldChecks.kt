/** Validation of single message fields. */
package org.hickorytiller.peering

import org.hickorytiller.core.KeyHash
import org.hickorytiller.core.parseAddress

/** Thrown for an invalid [field]; caught where the message is decoded. */
internal class FieldException(val field: String) : Exception(field)

internal fun String.requireName(field: String): String =
    takeIf { it.isNotEmpty() && it.length <= MAX_NAME_CHARS } ?: throw FieldException(field)

internal fun String.toRole(): MemberRole = MemberRole.entries.firstOrNull { it.code == this }
    ?: throw FieldException("role")

internal fun String.toKeyHash(): KeyHash = KeyHash(this).takeIf { it.isWellFormed } ?: throw FieldException("key_hash")

/** Whether the hash has 64 lower-case hexadecimal digits. A peer closes the link on a message with any other hash. */
val KeyHash.isWellFormed: Boolean get() = value.length == HASH_CHARS && value.all { it in "0123456789abcdef" }

internal fun String.requireAddressOrEmpty(field: String): String =
    if (isEmpty() || parseAddress(this) != null) this else throw FieldException(field)

// Values of unsigned fields above the range of the signed types are read as negative.
internal fun Long.requireAtLeast(min: Long, field: String): Long =
    if (this >= min) this else throw FieldException(field)

// A member increments its incarnation to refute a report of its death, so a value near the end of the range could
// overflow.
internal fun Long.requireIncarnation(field: String): Long {
    if (this !in 1..MAX_INCARNATION) throw FieldException(field)
    return this
}

internal fun Int.requireCount(field: String): Int = if (this >= 0) this else throw FieldException(field)

private const val MAX_INCARNATION = 1L shl 53
private const val MAX_NAME_CHARS = 200
private const val HASH_CHARS = 64
