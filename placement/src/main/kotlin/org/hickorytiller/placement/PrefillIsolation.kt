/**
 * Divides the servers of a pool between requests with long prompts and streams with short event gap targets.
 *
 * An engine prefills prompts between the tokens of its running requests, so a long prompt delays the next event of
 * every stream on the same server. The servers are ordered by a hash of their ids, which is equal on every host, and
 * the first ones take the long prompts. The size of each group follows the work that this host has recently placed.
 */
package org.hickorytiller.placement

import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.Clock
import org.hickorytiller.core.TimeMs
import kotlin.math.roundToInt

/**
 * @property windowMs time over which the work of each kind of request is summed
 * @property minRequests number of requests in the window below which the servers are not divided
 * @property longPromptShare prompts are long if on average their prefill takes this share of the shortest event gap
 *   target: a few of them in a row then exceed the target
 */
data class IsolationRules(val windowMs: Long = 30_000, val minRequests: Int = 8, val longPromptShare: Double = 0.25)

/** The work of one pool. Confined to the event loop. */
internal class PrefillIsolation(private val clock: Clock, private val rules: IsolationRules = IsolationRules()) {
    private val window = ArrayDeque<Pair<TimeMs, Work>>()

    /** Sums by event gap target, which stands for a kind of request. */
    private val sums = HashMap<Long, Sum>()

    /** A request with [promptMs] of prefill for its complete prompt, and [engineMs] of work on its server. */
    private class Work(val eventGapTargetMs: Long, val promptMs: Double, val engineMs: Double)

    private class Sum(var requests: Int = 0, var promptMs: Double = 0.0, var engineMs: Double = 0.0)

    /** Records a request that was sent to a server. */
    fun record(eventGapTargetMs: Long, promptMs: Double, engineMs: Double) {
        val work = Work(eventGapTargetMs, promptMs, engineMs)
        window.addLast(clock() to work)
        add(work, sign = 1)
        removeExpired()
    }

    /** Returns the servers among [servers] for requests with [eventGapTargetMs]; all if they are not divided. */
    fun preferred(eventGapTargetMs: Long, servers: Collection<BackendServerId>): Set<BackendServerId> {
        removeExpired()
        val longPromptCount = longPromptServers(servers.size)
        val ordered = servers.sortedBy(::isolationOrder)
        return when {
            longPromptCount == 0 -> ordered
            hasLongPrompts(eventGapTargetMs) -> ordered.take(longPromptCount)
            else -> ordered.drop(longPromptCount)
        }.toSet()
    }

    /** Returns how many of [servers] take the requests with long prompts; 0 if they are not divided. */
    private fun longPromptServers(servers: Int): Int {
        if (servers < 2 || window.size < rules.minRequests) return 0
        val totalMs = sums.values.sumOf { it.engineMs }
        val longMs = sums.filterKeys(::hasLongPrompts).values.sumOf { it.engineMs }
        if (longMs <= 0 || longMs >= totalMs) return 0
        return (servers * longMs / totalMs).roundToInt().coerceIn(1, servers - 1)
    }

    private fun hasLongPrompts(eventGapTargetMs: Long): Boolean {
        val sum = sums[eventGapTargetMs] ?: return false
        val shortestMs = sums.keys.filter { it > 0 }.minOrNull() ?: return false
        return eventGapTargetMs != shortestMs && sum.promptMs / sum.requests > shortestMs * rules.longPromptShare
    }

    private fun add(work: Work, sign: Int) {
        val sum = sums.getOrPut(work.eventGapTargetMs) { Sum() }
        sum.requests += sign
        sum.promptMs += sign * work.promptMs
        sum.engineMs += sign * work.engineMs
        if (sum.requests == 0) sums -= work.eventGapTargetMs
    }

    private fun removeExpired() {
        val oldest = clock() - rules.windowMs
        while (window.isNotEmpty() && window.first().first < oldest) add(window.removeFirst().second, sign = -1)
    }

    private fun isolationOrder(server: BackendServerId) = rendezvousWeight(ISOLATION, server)

    private companion object {
        val ISOLATION = PromptPartId(0)
    }
}
