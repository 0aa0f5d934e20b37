/** Decodes the body of a chat completion request. */
package org.hickorytiller.router

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.StreamReadFeature
import com.fasterxml.jackson.databind.DeserializationFeature
import com.fasterxml.jackson.databind.JsonNode
import org.hickorytiller.core.ModelId
import org.hickorytiller.core.json
import java.io.IOException

/**
 * What the router needs to know of a chat completion request.
 *
 * @property estimatedPromptTokens count used for charging if the engine states none
 */
internal data class ChatRequest(val model: ModelId, val stream: Boolean, val estimatedPromptTokens: Int)

/**
 * Decodes [body], or says what is wrong with it. A name that occurs twice is an error: the engine could take the other
 * one.
 */
internal fun parseChatRequest(body: ByteArray): Either<String, ChatRequest> {
    val root =
        try {
            strictReader.readTree(body)
        } catch (e: JsonProcessingException) {
            return "body is not JSON: ${e.originalMessage}".left()
        } catch (e: IOException) {
            return "body is not UTF-8: ${e.message}".left()
        }
    if (!root.isObject) return "body is not a JSON object".left()
    val fault = checks.firstNotNullOfOrNull { check -> check(root) }
    if (fault != null) return fault.left()
    val model = ModelId(root.path("model").textValue())
    return ChatRequest(model, root.path("stream").asBoolean(), estimateTokens(root.path("messages"))).right()
}

/** Says what is wrong with a part of the body; null if it is in order. */
private typealias Check = (JsonNode) -> String?

private val checks: List<Check> =
    listOf(
        { root -> "\"model\" is missing or not a string".takeIf { !root.path("model").isTextual } },
        { root ->
            "\"messages\" is missing or not a list of messages".takeIf {
                val messages = root.path("messages")
                !messages.isArray || messages.isEmpty || messages.any { !it.isObject }
            }
        },
        { root -> "\"stream\" is not true or false".takeIf { root.given("stream")?.isBoolean == false } },
        { root ->
            "\"max_tokens\" is not a positive whole number".takeIf {
                root.given("max_tokens")?.let { !it.isInt || it.intValue() < 1 } ?: false
            }
        },
    )

private fun JsonNode.given(name: String): JsonNode? = path(name).takeIf { !it.isMissingNode && !it.isNull }

// About four characters a token, which holds for English text.
private fun estimateTokens(messages: JsonNode): Int =
    messages.sumOf { it.path("content").let { content -> if (content.isTextual) content.textValue().length else 0 } } /
        CHARACTERS_PER_TOKEN

private val strictReader =
    json.reader().with(
        StreamReadFeature.STRICT_DUPLICATE_DETECTION,
    ).with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)

private const val CHARACTERS_PER_TOKEN = 4
