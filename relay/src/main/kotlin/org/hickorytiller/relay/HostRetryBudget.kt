/**
 * Limits the retries of all hosts together to a share of the requests. The limit is common to all hosts and each host
 * uses at most its part of it, so hosts exchange no messages about it when they join or leave.
 */
package org.hickorytiller.relay

import org.hickorytiller.core.Clock
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.TimeMs

/**
 * @property ratio retries allowed for each request of the pool in the window
 * @property slack additional retries that all hosts together may send in the window
 * @property windowMs length of the sliding window
 */
data class RetryBudgetRules(val ratio: Double, val slack: Int, val windowMs: Long)

/** Returns the number of hosts that share the limit. Includes hosts that may be dead, since they may only be slow. */
typealias CountHosts = () -> Int

/** Retry budget of one host, for each pool. */
class HostRetryBudget(
    private val clock: Clock,
    private val rules: RetryBudgetRules,
    private val countHosts: CountHosts,
) {
    private val pools = HashMap<PoolId, Window>()

    /** Records a caller's request to [pool]. */
    fun recordRequest(pool: PoolId) {
        window(pool).requests.addLast(clock())
    }

    /** Takes one retry from the budget of [pool]. Returns false if the budget of the window is exhausted. */
    fun tryAcquire(pool: PoolId): Boolean {
        val window = window(pool)
        val slack = rules.slack / maxOf(MIN_HOSTS, countHosts() * HOST_COUNT_HEADROOM).toInt()
        if (window.retries.size + 1 > rules.ratio * window.requests.size + slack) return false
        window.retries.addLast(clock())
        return true
    }

    private fun window(pool: PoolId): Window {
        val window = pools.getOrPut(pool) { Window() }
        val oldest = clock() - rules.windowMs
        window.requests.dropBefore(oldest)
        window.retries.dropBefore(oldest)
        return window
    }

    private fun ArrayDeque<TimeMs>.dropBefore(oldest: TimeMs) {
        while (isNotEmpty() && first() < oldest) removeFirst()
    }

    private companion object {
        // Leaves a part to hosts that this one does not know of, for example right after its start.
        const val MIN_HOSTS = 16.0
        const val HOST_COUNT_HEADROOM = 1.25
    }

    private class Window {
        val requests = ArrayDeque<TimeMs>()
        val retries = ArrayDeque<TimeMs>()
    }
}
