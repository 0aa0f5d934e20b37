/** Generation and hashing of callers' keys. Only the hashes are configured, logged, exchanged and stored. */
package org.hickorytiller.keys

import org.hickorytiller.core.KeyHash
import java.security.MessageDigest
import java.security.SecureRandom

/** Returns the SHA-256 hash of [key]. Keys are random and long, so a salt would not add security. */
fun hashKey(key: String): KeyHash {
    val digest = MessageDigest.getInstance("SHA-256").digest(key.toByteArray())
    return KeyHash(digest.joinToString("") { "%02x".format(it) })
}

/** Parses a hash of 64 lower-case hexadecimal digits; returns null if [text] is anything else. */
fun parseKeyHash(text: String): KeyHash? =
    if (text.length == HASH_DIGITS && text.all { it in '0'..'9' || it in 'a'..'f' }) KeyHash(text) else null

/** Generates a key with 192 random bits. */
fun generateKey(): String {
    val bytes = ByteArray(KEY_BYTES)
    SecureRandom().nextBytes(bytes)
    return "ht-" + bytes.joinToString("") { "%02x".format(it) }
}

private const val KEY_BYTES = 24
private const val HASH_DIGITS = 64
