/** Parses the events and responses of a model engine, as far as dispatch and charging need them. */
package org.hickorytiller.dispatch

import com.fasterxml.jackson.databind.JsonNode
import org.hickorytiller.core.parseTree

/** Token counts that an engine reports in a `usage` field. */
data class ReportedUsage(val promptTokens: Int, val completionTokens: Int)

/**
 * One event of a streamed response.
 *
 * @property tokens number of tokens in the event; engines send one token per event
 * @property usage the counts so far; null if the engine does not report them
 * @property isTextEnd whether the event carries a finish reason
 * @property isDone whether the event is the end marker of the stream
 */
data class CompletionEvent(
    val tokens: Int,
    val usage: ReportedUsage?,
    val isTextEnd: Boolean,
    val isDone: Boolean,
    val isError: Boolean,
)

/** Parses the `data` of an event. Data that cannot be parsed counts as an event without tokens. */
fun parseCompletionEvent(data: String): CompletionEvent {
    if (data.trim() == "[DONE]") return CompletionEvent(0, null, isTextEnd = false, isDone = true, isError = false)
    val root = parseTree(data.toByteArray())
    val choices = root?.path("choices")?.toList().orEmpty()
    return CompletionEvent(
        tokens = if (choices.any { it.path("delta").hasToken() }) 1 else 0,
        usage = root?.let(::usageFrom),
        isTextEnd = choices.any { it.path("finish_reason").isTextual },
        isDone = false,
        isError = root?.has("error") ?: false,
    )
}

/** Returns the counts in a complete response; null if it has none. */
fun parseUsage(body: ByteArray): ReportedUsage? = parseTree(body)?.let(::usageFrom)

private fun JsonNode.hasToken(): Boolean = path("content").asText("").isNotEmpty() ||
    path("reasoning_content").asText("").isNotEmpty() ||
    path("tool_calls").size() > 0

private fun usageFrom(root: JsonNode): ReportedUsage? {
    val usage = root.path("usage")
    if (!usage.isObject) return null
    return ReportedUsage(
        usage.path("prompt_tokens").asInt(0).coerceAtLeast(0),
        usage.path("completion_tokens").asInt(0).coerceAtLeast(0),
    )
}
