/**
 * Tracks how much of a streamed response was relayed to the caller, across the attempts that produce it. Decides which
 * events are relayed, so that a resumed response neither loses nor repeats a token. Does no I/O and reads no clock.
 */
package org.hickorytiller.dispatch

/** Progress of one streamed response. */
class StreamProgress {
    /** Number of tokens relayed so far; the next attempt resumes after them. */
    var tokens = 0
        private set

    /** Number of prompt tokens; 0 until an engine reports it. */
    var promptTokens = 0
        private set

    /** Whether the end marker of the response was relayed. */
    var isDone = false
        private set

    /** Whether the event that finishes the text was relayed; only the end marker can follow. */
    var isFinished = false
        private set

    private var eventsAccepted = 0
    private var isSkippingRepeatedStart = false

    /** Starts an attempt that resumes after [tokens]. */
    fun resume() {
        isSkippingRepeatedStart = eventsAccepted > 0
    }

    /**
     * Records [event] and returns whether it is to be relayed. An event without a token at the start of a resumed
     * response (such as the role of the speaker) was already relayed by the first attempt.
     */
    fun accept(event: CompletionEvent): Boolean {
        event.usage?.let { promptTokens = maxOf(promptTokens, it.promptTokens) }
        val isRepeated =
            isSkippingRepeatedStart &&
                event.tokens == 0 &&
                event.usage == null &&
                !event.isDone &&
                (!event.isTextEnd || isFinished)
        if (isRepeated) return false
        if (event.tokens > 0) isSkippingRepeatedStart = false
        tokens += event.tokens
        isFinished = isFinished || event.isTextEnd
        isDone = isDone || event.isDone
        eventsAccepted++
        return true
    }
}
