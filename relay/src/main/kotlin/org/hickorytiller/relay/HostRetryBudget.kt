/**
 * Keeps the repeats of all hosts together within a share of the requests. The bound is common to all hosts, and every
 * host keeps to its part of it, so no messages are needed when hosts come and go.
 */
package org.hickorytiller.relay

import org.hickorytiller.core.Clock
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.TimeMs

/**
 * @property ratio repeats for each request of the pool in the window
 * @property slack repeats that all hosts together may send beyond that
 * @property windowMs length of the sliding window
 */
data class RetryBudgetRules(val ratio: Double, val slack: Int, val windowMs: Long)

/** Counts the hosts that share the bound; one that may be dead counts, since it may only be slow. */
typealias CountHosts = () -> Int

/** Repeats of one host, by pool. */
class HostRetryBudget(
    private val clock: Clock,
    private val rules: RetryBudgetRules,
    private val countHosts: CountHosts,
) {
    private val pools = HashMap<PoolId, Window>()

    /** Records a caller's request to [pool]. */
    fun requested(pool: PoolId) {
        window(pool).requests.addLast(clock())
    }

    /** Takes one repeat to [pool]; false if the window has no room for it. */
    fun take(pool: PoolId): Boolean {
        val window = window(pool)
        val slack = rules.slack / maxOf(MIN_HOSTS, countHosts() * SPARE_HOSTS).toInt()
        if (window.repeats.size + 1 > rules.ratio * window.requests.size + slack) return false
        window.repeats.addLast(clock())
        return true
    }

    private fun window(pool: PoolId): Window {
        val window = pools.getOrPut(pool) { Window() }
        val oldest = clock() - rules.windowMs
        window.requests.dropBefore(oldest)
        window.repeats.dropBefore(oldest)
        return window
    }

    private fun ArrayDeque<TimeMs>.dropBefore(oldest: TimeMs) {
        while (isNotEmpty() && first() < oldest) removeFirst()
    }

    private companion object {
        // Hosts that this one does not know of, for example right after its start, take a part as well.
        const val MIN_HOSTS = 16.0
        const val SPARE_HOSTS = 1.25
    }

    private class Window {
        val requests = ArrayDeque<TimeMs>()
        val repeats = ArrayDeque<TimeMs>()
    }
}
