/**
 * Decides whether a failed attempt is retried, and how long an attempt may take. Does no I/O and reads no clock.
 */
package org.hickorytiller.dispatch

import org.hickorytiller.core.ClassId
import org.hickorytiller.core.RequestClass
import org.hickorytiller.core.TimeMs
import org.hickorytiller.core.Verdict

/**
 * Limits of one request.
 *
 * @property maxAttempts number of failed attempts after which the failure is reported
 * @property maxCancelled number of attempts that the router may cancel to preempt or move the request
 */
data class RetryRules(val maxAttempts: Int = 4, val maxCancelled: Int = 16)

/** Counts of the attempts of one request that ended without a complete response. */
data class AttemptCounts(val failed: Int = 0, val cancelled: Int = 0) {
    /** Returns the counts after a further attempt ended with [kind]. */
    fun plus(kind: FailureKind) =
        if (kind.isCancelledByRouter) copy(cancelled = cancelled + 1) else copy(failed = failed + 1)
}

/** Decides about the retries of all requests of one router. */
class RetryPolicy(private val rules: RetryRules = RetryRules(), private val budget: RetryBudget = RetryBudget()) {
    /** Records the first attempt of a request, which adds to the retry budget of its class. */
    fun recordFirstAttempt(requestClass: ClassId) = budget.deposit(requestClass)

    /**
     * Returns whether a hedge may be sent to a second server while the first is slow. A hedge counts as a retry, so one
     * is taken from the budget if it may be sent.
     */
    fun tryAcquireHedge(requestClass: ClassId): Boolean = budget.withdraw(requestClass)

    /**
     * Returns whether the request may be sent to another server after its last attempt ended with [kind]. If so, takes
     * one retry from the budget, unless the router cancelled that attempt. [counts] includes that attempt; [verdict]
     * covers all attempts, since an earlier one may have run even if the last did not.
     */
    fun tryAcquireRetry(
        kind: FailureKind,
        verdict: Verdict,
        counts: AttemptCounts,
        isIdempotent: Boolean,
        requestClass: ClassId,
    ): Boolean = when {
        kind in NOT_RETRYABLE || !verdict.allowsRetry(isIdempotent) -> false
        // The router cancelled the attempt itself, so it does not count against the request or the server.
        kind.isCancelledByRouter -> counts.cancelled <= rules.maxCancelled
        else -> counts.failed < rules.maxAttempts && budget.withdraw(requestClass)
    }

    private companion object {
        val NOT_RETRYABLE =
            setOf(FailureKind.NO_SERVER, FailureKind.DEADLINE, FailureKind.CALLER_GONE, FailureKind.RESPONSE_TOO_LARGE)
    }
}

/**
 * Times after which an attempt counts as stalled.
 *
 * @property firstTokenMs time to the first token, or to the complete response if it is not streamed
 * @property betweenTokensMs time between two events of a streamed response
 */
data class ProgressTimeouts(val firstTokenMs: Long, val betweenTokensMs: Long) {
    companion object {
        private const val FIRST_TOKEN_FACTOR = 5
        private const val BETWEEN_TOKENS_FACTOR = 50
        private const val MIN_FIRST_TOKEN_MS = 3_000L
        private const val MIN_BETWEEN_TOKENS_MS = 2_000L

        /** Returns timeouts far above the targets, so that a slow engine is not taken for a stalled one. */
        fun of(requestClass: RequestClass) = ProgressTimeouts(
            maxOf(requestClass.firstTokenTargetMs * FIRST_TOKEN_FACTOR, MIN_FIRST_TOKEN_MS),
            maxOf(requestClass.betweenTokensTargetMs * BETWEEN_TOKENS_FACTOR, MIN_BETWEEN_TOKENS_MS),
        )
    }
}

/**
 * Returns the time that one attempt may take to its first token or complete response. An idempotent request that is not
 * streamed leaves half of the remaining time for a second attempt, since its progress cannot be observed.
 */
internal fun firstResponseTimeoutMs(request: DispatchRequest, now: TimeMs): Long {
    val remainingMs = request.deadline - now
    val allowedMs = when {
        request.isStreamed -> minOf(request.timeouts.firstTokenMs, remainingMs)
        request.isIdempotent -> remainingMs / 2
        else -> remainingMs
    }
    return allowedMs.coerceAtLeast(1)
}
