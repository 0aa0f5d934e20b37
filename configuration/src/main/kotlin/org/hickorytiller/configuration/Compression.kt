/** Compression of states. Key hashes in hexadecimal shrink to half. */
package org.hickorytiller.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.zip.GZIPInputStream
import java.util.zip.GZIPOutputStream

internal fun compress(bytes: ByteArray): ByteArray {
    val compressed = ByteArrayOutputStream()
    GZIPOutputStream(compressed).use { it.write(bytes) }
    return compressed.toByteArray()
}

internal fun decompress(bytes: ByteArray): Either<String, ByteArray> = try {
    val whole = GZIPInputStream(ByteArrayInputStream(bytes)).readNBytes(MAX_STATE_BYTES + 1)
    if (whole.size > MAX_STATE_BYTES) "the state exceeds $MAX_STATE_BYTES bytes".left() else whole.right()
} catch (e: IOException) {
    "the state is not compressed: ${e.message}".left()
}

/** About eight times the state at 24,000 customers; bounds what a small malformed input can expand to. */
private const val MAX_STATE_BYTES = 64 * 1024 * 1024
