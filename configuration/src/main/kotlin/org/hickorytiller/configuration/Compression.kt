/** Compression of states with gzip. Key hashes in hexadecimal are reduced to half their size. */
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
    val decompressed = GZIPInputStream(ByteArrayInputStream(bytes)).readNBytes(MAX_STATE_BYTES + 1)
    if (decompressed.size > MAX_STATE_BYTES) "the state exceeds $MAX_STATE_BYTES bytes".left() else decompressed.right()
} catch (e: IOException) {
    "the state is not compressed: ${e.message}".left()
}

/** About eight times the size of the state at 24,000 customers; limits the expansion of a small malformed input. */
private const val MAX_STATE_BYTES = 64 * 1024 * 1024
