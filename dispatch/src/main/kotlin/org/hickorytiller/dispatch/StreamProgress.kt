/**
 * Where a streamed answer stands towards the caller, across the attempts that produce it. It decides which events are
 * passed on, so that a resumed answer neither loses nor repeats a token. Pure.
 */
package org.hickorytiller.dispatch

/** Position of one streamed answer. */
class StreamProgress {
    /** Tokens passed on so far; a further attempt resumes after them. */
    var tokens = 0
        private set

    /** Prompt tokens, if an engine stated them. */
    var promptTokens = 0
        private set

    /** Whether the event that ends the answer was passed on. */
    var isDone = false
        private set

    /** Whether an event that ends the text was passed on; only the end marker can follow. */
    var isFinished = false
        private set

    private var eventsPassed = 0
    private var beforeFirstToken = false

    /** Begins an attempt that resumes after [tokens]. */
    fun resume() {
        beforeFirstToken = eventsPassed > 0
    }

    /**
     * Whether [event] is to be passed on. An event without a token at the start of a resumed answer (such as the role
     * of the speaker) was passed on by the first attempt already.
     */
    fun accept(event: CompletionEvent): Boolean {
        event.usage?.let { promptTokens = maxOf(promptTokens, it.promptTokens) }
        val isRepeated =
            beforeFirstToken &&
                event.tokens == 0 &&
                event.usage == null &&
                !event.isDone &&
                (!event.finishes || isFinished)
        if (isRepeated) return false
        if (event.tokens > 0) beforeFirstToken = false
        tokens += event.tokens
        isFinished = isFinished || event.finishes
        isDone = isDone || event.isDone
        eventsPassed++
        return true
    }
}
