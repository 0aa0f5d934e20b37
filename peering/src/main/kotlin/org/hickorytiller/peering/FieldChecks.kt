/** Checks of single fields of a message. */
package org.hickorytiller.peering

import org.hickorytiller.core.KeyHash
import org.hickorytiller.core.parseAddress

/** Says which field cannot be accepted; caught where the message is decoded. */
internal class FieldException(val field: String) : Exception(field)

internal fun String.name(field: String): String =
    takeIf { it.isNotEmpty() && it.length <= MAX_NAME_CHARS } ?: throw FieldException(field)

internal fun String.toRole(): MemberRole = MemberRole.entries.firstOrNull { it.code == this }
    ?: throw FieldException("role")

internal fun String.toKeyHash(): KeyHash = KeyHash(this).takeIf { it.isWellFormed } ?: throw FieldException("key_hash")

/** Whether peers accept the hash: 64 lower-case hexadecimal digits. One other hash would end the whole link. */
val KeyHash.isWellFormed: Boolean get() = value.length == HASH_CHARS && value.all { it in "0123456789abcdef" }

internal fun String.addressOrEmpty(field: String): String =
    if (isEmpty() || parseAddress(this) != null) this else throw FieldException(field)

// Unsigned fields above the range of the signed types come out negative.
internal fun Long.atLeast(least: Long, field: String): Long = if (this >= least) this else throw FieldException(field)

// A member raises its incarnation by one to contradict news of its death; one near the end of the range would leave no
// room for that.
internal fun Long.incarnation(field: String): Long {
    if (this !in 1..MAX_INCARNATION) throw FieldException(field)
    return this
}

internal fun Int.count(field: String): Int = if (this >= 0) this else throw FieldException(field)

private const val MAX_INCARNATION = 1L shl 53
private const val MAX_NAME_CHARS = 200
private const val HASH_CHARS = 64
