/** Reads from the events and answers of a model engine what dispatch and charging need to know. */
package org.hickorytiller.dispatch

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.JsonNode
import org.hickorytiller.core.json

/** Token counts that an engine states in a `usage` field. */
data class StatedUsage(val promptTokens: Int, val completionTokens: Int)

/**
 * What one event of a streamed answer means.
 *
 * @property tokens tokens that the event carries; engines send one token an event
 * @property usage the counts so far, if the engine states them
 * @property finishes whether the event names the reason why the answer ends
 */
data class CompletionEvent(
    val tokens: Int,
    val usage: StatedUsage?,
    val finishes: Boolean,
    val isDone: Boolean,
    val isError: Boolean,
)

/** Interprets the `data` of an event. Data that is not understood carries no token. */
fun readCompletionEvent(data: String): CompletionEvent {
    if (data.trim() == "[DONE]") return CompletionEvent(0, null, finishes = false, isDone = true, isError = false)
    val root = parse(data.toByteArray())
    val choices = root?.path("choices")?.toList().orEmpty()
    return CompletionEvent(
        tokens = if (choices.any { it.path("delta").carriesToken() }) 1 else 0,
        usage = root?.let(::usageOf),
        finishes = choices.any { it.path("finish_reason").isTextual },
        isDone = false,
        isError = root?.has("error") ?: false,
    )
}

/** The counts that a whole answer states; null if it states none. */
fun readUsage(body: ByteArray): StatedUsage? = parse(body)?.let(::usageOf)

private fun JsonNode.carriesToken(): Boolean = path("content").asText("").isNotEmpty() ||
    path("reasoning_content").asText("").isNotEmpty() ||
    path("tool_calls").size() > 0

private fun usageOf(root: JsonNode): StatedUsage? {
    val usage = root.path("usage")
    if (!usage.isObject) return null
    return StatedUsage(
        usage.path("prompt_tokens").asInt(0).coerceAtLeast(0),
        usage.path("completion_tokens").asInt(0).coerceAtLeast(0),
    )
}

private fun parse(bytes: ByteArray): JsonNode? = try {
    json.readTree(bytes)
} catch (_: JsonProcessingException) {
    null
}
