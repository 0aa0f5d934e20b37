/** The prompt of a request as engines cache it: a sequence of parts, which may be shared with other requests. */
package org.hickorytiller.placement

import org.hickorytiller.core.ModelId

/** Identifier of a part of a prompt; parts with equal ids have equal text. */
@JvmInline
value class PromptPartId(val value: Long) {
    /** The hexadecimal digits in which callers write the id. */
    override fun toString() = value.toULong().toString(HEXADECIMAL)

    private companion object {
        const val HEXADECIMAL = 16
    }
}

/** A part of a prompt with [tokens] tokens. */
data class PromptPart(val id: PromptPartId, val tokens: Int)

/**
 * @property parts the prompt in order; the last part belongs to the request or its session alone
 * @property inputTokens size of the complete prompt
 * @property maxOutputTokens maximum size of the response
 */
data class Prompt(val model: ModelId?, val parts: List<PromptPart>, val inputTokens: Int, val maxOutputTokens: Int) {
    /** The last part that is shared with other requests; null if there is none. */
    val lastSharedPart: PromptPartId? get() = parts.getOrNull(parts.size - 2)?.id

    /** The parts that are shared with other requests. */
    val sharedParts: List<PromptPart> get() = parts.dropLast(1)
}
