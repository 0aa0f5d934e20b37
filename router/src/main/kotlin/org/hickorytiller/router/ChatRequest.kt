/** Decodes the body of a chat completion request. */
package org.hickorytiller.router

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.core.StreamReadFeature
import com.fasterxml.jackson.databind.DeserializationFeature
import com.fasterxml.jackson.databind.JsonNode
import org.hickorytiller.core.ModelId
import org.hickorytiller.core.decodeUntrusted
import org.hickorytiller.core.json
import org.hickorytiller.quarantine.Fingerprint
import org.hickorytiller.quarantine.promptPartFingerprint

/**
 * The fields of a chat completion request that the router uses.
 *
 * @property estimatedPromptTokens token count charged if the engine reports none
 * @property sharedParts fingerprints of all messages but the last, which other requests may hold too
 */
internal data class ChatRequest(
    val model: ModelId,
    val isStreamed: Boolean,
    val estimatedPromptTokens: Int,
    val sharedParts: List<Fingerprint> = emptyList(),
)

/**
 * Decodes [body], or returns a description of the fault. A duplicate name is an error, since the engine might use the
 * other value.
 */
internal fun parseChatRequest(body: ByteArray): Either<String, ChatRequest> {
    val root = decodeUntrusted { strictReader.readTree(body) }.getOrElse { return "body is not JSON: $it".left() }
    if (!root.isObject) return "body is not a JSON object".left()
    val error = validators.firstNotNullOfOrNull { validate -> validate(root) }
    if (error != null) return error.left()
    val model = ModelId(root.path("model").textValue())
    val messages = root.path("messages")
    val sharedParts = messages.toList().dropLast(1).map { promptPartFingerprint(it.toString().toByteArray()) }
    return ChatRequest(model, root.path("stream").asBoolean(), estimateTokens(messages), sharedParts).right()
}

/** Checks one field of the body. Returns a description of the fault; null if the field is valid. */
private typealias FieldValidator = (JsonNode) -> String?

private val validators: List<FieldValidator> =
    listOf(
        { root -> "\"model\" is missing or not a string".takeIf { !root.path("model").isTextual } },
        { root ->
            "\"messages\" is missing or not a list of messages".takeIf {
                val messages = root.path("messages")
                !messages.isArray || messages.isEmpty || messages.any { !it.isObject }
            }
        },
        { root -> "\"stream\" is not true or false".takeIf { root.presentOrNull("stream")?.isBoolean == false } },
        { root ->
            "\"max_tokens\" is not a positive whole number".takeIf {
                root.presentOrNull("max_tokens")?.let { !it.isInt || it.intValue() < 1 } ?: false
            }
        },
    )

private fun JsonNode.presentOrNull(name: String): JsonNode? = path(name).takeIf { !it.isMissingNode && !it.isNull }

// English text has about four characters per token.
private fun estimateTokens(messages: JsonNode): Int =
    messages.sumOf { it.path("content").let { content -> if (content.isTextual) content.textValue().length else 0 } } /
        CHARACTERS_PER_TOKEN

private val strictReader =
    json.reader().with(
        StreamReadFeature.STRICT_DUPLICATE_DETECTION,
    ).with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)

private const val CHARACTERS_PER_TOKEN = 4
