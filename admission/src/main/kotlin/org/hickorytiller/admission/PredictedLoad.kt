/**
 * The load that each tier would have if less urgent tiers did not exist. Refusals are decided on it, so traffic of a
 * lower tier can never cause a refusal in a higher one.
 *
 * Requests are added when they are accepted and drain at the rate of all slots of the pool, whichever requests actually
 * run. When a request has ended, its measured service time replaces the predicted one, so errors do not accumulate.
 */
package org.hickorytiller.admission

import org.hickorytiller.core.Tier
import org.hickorytiller.core.TimeMs
import kotlin.math.exp

internal class PredictedLoad {
    private class Level(val tier: Tier, var requests: Double, var workMs: Double) {
        val serviceMs: Double
            get() = if (requests > 0) workMs / requests else 0.0

        // While there are more requests than slots, requests end at a constant rate; after that their number decays
        // exponentially. The exact solution makes the result independent of how often it is computed.
        fun drain(elapsedMs: Long, slots: Int) {
            if (requests <= 0) return
            val meanMs = maxOf(1.0, serviceMs)
            val saturatedMs = if (slots > 0) maxOf(0.0, requests - slots) * meanMs / slots else elapsedMs.toDouble()
            val ended = minOf(elapsedMs.toDouble(), saturatedMs) * slots / meanMs
            val left = (requests - ended) * exp(-maxOf(0.0, elapsedMs - saturatedMs) / meanMs)
            workMs *= left / requests
            requests = left
        }
    }

    /** Ordered by tier; each level has the load of its tier and of all more urgent ones. */
    private val levels = ArrayList<Level>()
    private var drainedAt: TimeMs? = null

    /**
     * Drains the load over the time up to [now], with [slots] slots and [slotsBeyondQuota] more for the most urgent
     * tier.
     */
    fun advance(now: TimeMs, slots: Int, slotsBeyondQuota: Int) {
        val elapsedMs = now - (drainedAt ?: now)
        drainedAt = now
        if (elapsedMs <= 0) return
        levels.forEachIndexed { index, level ->
            level.drain(elapsedMs, if (index == 0) slots + slotsBeyondQuota else slots)
        }
    }

    /** Predicts how long a request of [tier] that arrives now waits for a slot. */
    fun waitMs(tier: Tier, slots: Int): Long {
        val level = level(tier)
        val ahead = level.requests - slots + 1
        return if (ahead <= 0) 0 else (ahead * level.serviceMs / maxOf(1, slots)).toLong()
    }

    /** Whether the tiers more urgent than [tier] leave no slot free. */
    fun isOccupiedAbove(tier: Tier, slots: Int): Boolean {
        val above = levels.lastOrNull { it.tier < tier } ?: return false
        return above.requests > slots - 1
    }

    fun add(tier: Tier, serviceMs: Double) {
        level(tier)
        for (level in levels) {
            if (level.tier < tier) continue
            level.requests += 1
            level.workMs += serviceMs
        }
    }

    /**
     * Corrects the predicted load for a request of [tier] that released its slot after [ranMs]. For a failed request
     * the remaining work is removed, since its retry is added again; otherwise a few quick failures would cause
     * refusals although slots are free. Must not be called for preempted requests: they stay counted, since otherwise
     * more requests would be accepted only to be preempted.
     */
    fun recordEnd(tier: Tier, predictedMs: Double, ranMs: Long, complete: Boolean) {
        if (!complete) return remove(tier, predictedMs, fraction = maxOf(0.0, 1 - ranMs / predictedMs))
        for (level in levels) {
            if (level.tier < tier || level.requests <= 0) continue
            level.workMs = maxOf(level.requests, level.workMs + ranMs - predictedMs)
        }
    }

    /** Removes [fraction] of a request of [tier] that was added with [serviceMs]. */
    fun remove(tier: Tier, serviceMs: Double, fraction: Double = 1.0) {
        for (level in levels) {
            if (level.tier < tier) continue
            level.requests = maxOf(0.0, level.requests - fraction)
            level.workMs = maxOf(0.0, level.workMs - serviceMs * fraction)
        }
    }

    private fun level(tier: Tier): Level {
        levels.forEach { if (it.tier == tier) return it }
        val above = levels.lastOrNull { it.tier < tier }
        val level = Level(tier, above?.requests ?: 0.0, above?.workMs ?: 0.0)
        levels += level
        levels.sortBy { it.tier }
        return level
    }
}
