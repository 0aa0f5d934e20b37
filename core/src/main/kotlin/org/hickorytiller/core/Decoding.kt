/**
 * Runs decoders on bytes that another process has written. Decoders report invalid input with exceptions of unrelated
 * types: Jackson uses its own for syntax and `CharConversionException` for undecodable characters. A decoder that
 * recurses can also exhaust the stack. Invalid input must never end the task that reads it, so a call here returns all
 * of these as a fault.
 */
package org.hickorytiller.core

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.JsonNode
import java.util.concurrent.CancellationException

/** Why input could not be decoded, for logs and error responses. */
@JvmInline
value class DecodingFault(val message: String) {
    override fun toString() = message
}

/** Returns the result of [decode], or a fault if it throws. [decode] must not suspend or change any state. */
inline fun <T> decodeUntrusted(decode: () -> T): Either<DecodingFault, T> = try {
    decode().right()
} catch (e: CancellationException) {
    // Arrow leaves an enclosing computation with this exception.
    throw e
} catch (e: Exception) {
    faultOf(e).left()
} catch (_: StackOverflowError) {
    DecodingFault("nested too deeply").left()
}

/** Parses [bytes] as JSON; null if they are invalid. */
fun parseTree(bytes: ByteArray): JsonNode? = decodeUntrusted { jsonTreeMapper.readTree(bytes) }.getOrNull()

@PublishedApi
internal fun faultOf(e: Exception) =
    DecodingFault((e as? JsonProcessingException)?.originalMessage ?: e.message ?: e.javaClass.simpleName)
