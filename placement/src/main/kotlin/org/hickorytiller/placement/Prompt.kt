/** The prompt of a request as engines cache it: parts in order, each of which may be shared with other requests. */
package org.hickorytiller.placement

import org.hickorytiller.core.ModelId

/** Identifier of a part of a prompt; equal ids mean equal text. */
@JvmInline
value class PromptPartId(val value: Long)

/** A part of [tokens] tokens. */
data class PromptPart(val id: PromptPartId, val tokens: Int)

/**
 * @property parts the prompt in order; the last part belongs to the request or its session alone
 * @property inputTokens size of the whole prompt
 * @property maxOutputTokens largest size of the answer
 */
data class Prompt(val model: ModelId?, val parts: List<PromptPart>, val inputTokens: Int, val maxOutputTokens: Int) {
    /** The deepest part that other requests share; null if the prompt has none. */
    val sharedPart: PromptPartId? get() = parts.getOrNull(parts.size - 2)?.id

    /** The parts that other requests share. */
    val sharedParts: List<PromptPart> get() = parts.dropLast(1)
}
