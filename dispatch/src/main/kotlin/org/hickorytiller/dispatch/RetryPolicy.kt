/** Decides what follows a failed attempt. Pure. */
package org.hickorytiller.dispatch

import org.hickorytiller.core.ClassId
import org.hickorytiller.core.RequestClass
import org.hickorytiller.core.TimeMs
import org.hickorytiller.core.Verdict

/**
 * Limits of one request.
 *
 * @property maxAttempts attempts that may fail before the failure is reported
 * @property maxMoves attempts that may be ended by the router itself, to preempt or move the request
 */
data class RetryRules(val maxAttempts: Int = 4, val maxMoves: Int = 16)

/** Counts of the attempts of one request that failed. */
data class AttemptCounts(val failed: Int = 0, val moved: Int = 0) {
    /** The counts after a further attempt ended with [kind]. */
    fun plus(kind: FailureKind) = if (kind.isEndedByRouter) copy(moved = moved + 1) else copy(failed = failed + 1)
}

/** Decides about retries of all requests of one router. */
class RetryPolicy(private val rules: RetryRules = RetryRules(), private val budget: RetryBudget = RetryBudget()) {
    /** Records the first attempt of a request, which earns a part of a retry. */
    fun firstAttempt(requestClass: ClassId) = budget.deposit(requestClass)

    /** Whether a second server may be asked while the first is slow; it counts as a retry. */
    fun allowsHedge(requestClass: ClassId): Boolean = budget.withdraw(requestClass)

    /**
     * Whether the request may be sent to another server after its last attempt ended with [kind]. [counts] includes
     * that attempt; [verdict] is the one over all attempts, since an earlier one may have run even if the last did not.
     */
    fun allowsRetry(
        kind: FailureKind,
        verdict: Verdict,
        counts: AttemptCounts,
        idempotent: Boolean,
        requestClass: ClassId,
    ): Boolean = when {
        kind in FINAL || !verdict.allowsRetry(idempotent) -> false
        // The router ended the attempt itself; neither the request nor the server is to blame.
        kind.isEndedByRouter -> counts.moved <= rules.maxMoves
        else -> counts.failed < rules.maxAttempts && budget.withdraw(requestClass)
    }

    private companion object {
        val FINAL =
            setOf(FailureKind.NO_SERVER, FailureKind.DEADLINE, FailureKind.CALLER_GONE, FailureKind.ANSWER_TOO_LARGE)
    }
}

/**
 * Times after which an attempt counts as stalled.
 *
 * @property firstTokenMs time to the first token, or to the whole answer if it is not streamed
 * @property betweenTokensMs time between two events of a streamed answer
 */
data class ProgressTimeouts(val firstTokenMs: Long, val betweenTokensMs: Long) {
    companion object {
        private const val FIRST_TOKEN_FACTOR = 5
        private const val BETWEEN_TOKENS_FACTOR = 50
        private const val MIN_FIRST_TOKEN_MS = 3_000L
        private const val MIN_BETWEEN_TOKENS_MS = 2_000L

        /** Timeouts far above the targets, so that a slow engine is told from one that stands still. */
        fun of(requestClass: RequestClass) = ProgressTimeouts(
            maxOf(requestClass.firstTokenTargetMs * FIRST_TOKEN_FACTOR, MIN_FIRST_TOKEN_MS),
            maxOf(requestClass.betweenTokensTargetMs * BETWEEN_TOKENS_FACTOR, MIN_BETWEEN_TOKENS_MS),
        )
    }
}

/**
 * The time that one attempt may take to its first token or whole answer. An idempotent whole answer leaves half of
 * the remaining time for a second attempt, since its progress cannot be seen.
 */
internal fun firstWaitMs(request: DispatchRequest, now: TimeMs): Long {
    val remainingMs = request.deadline - now
    val allowedMs = when {
        request.isStreamed -> minOf(request.timeouts.firstTokenMs, remainingMs)
        request.isIdempotent -> remainingMs / 2
        else -> remainingMs
    }
    return allowedMs.coerceAtLeast(1)
}
