/**
 * The load that each tier would see if less urgent tiers did not exist. Refusals are decided on it, so traffic of a
 * lower tier can never add a refusal to a higher one.
 *
 * Requests are counted in when they are accepted and drain at the rate of all slots of the pool, whatever really runs.
 * When a request has ended, its real service time replaces the one that was assumed, so errors do not add up.
 */
package org.hickorytiller.admission

import org.hickorytiller.core.Tier
import org.hickorytiller.core.TimeMs
import kotlin.math.exp

internal class PredictedLoad {
    private class Level(val tier: Tier, var requests: Double, var workMs: Double) {
        val serviceMs: Double
            get() = if (requests > 0) workMs / requests else 0.0

        // While more requests than slots are left they end at a constant rate, afterwards each at a rate of its
        // own. The exact solution makes the result independent of how often it is computed.
        fun drain(elapsedMs: Long, slots: Int) {
            if (requests <= 0) return
            val meanMs = maxOf(1.0, serviceMs)
            val fullMs = if (slots > 0) maxOf(0.0, requests - slots) * meanMs / slots else elapsedMs.toDouble()
            val ended = minOf(elapsedMs.toDouble(), fullMs) * slots / meanMs
            val left = (requests - ended) * exp(-maxOf(0.0, elapsedMs - fullMs) / meanMs)
            workMs *= left / requests
            requests = left
        }
    }

    /** By tier; each level holds the load of its tier and of all more urgent ones. */
    private val levels = ArrayList<Level>()
    private var drainedAt: TimeMs? = null

    /** Accounts for the time up to [now] in which [slots] slots worked, and [spare] more for the most urgent tier. */
    fun advance(now: TimeMs, slots: Int, spare: Int) {
        val elapsedMs = now - (drainedAt ?: now)
        drainedAt = now
        if (elapsedMs <= 0) return
        levels.forEachIndexed { index, level -> level.drain(elapsedMs, if (index == 0) slots + spare else slots) }
    }

    /** Time until a request of [tier] that arrives now gets a slot. */
    fun waitMs(tier: Tier, slots: Int): Long {
        val level = level(tier)
        val ahead = level.requests - slots + 1
        return if (ahead <= 0) 0 else (ahead * level.serviceMs / maxOf(1, slots)).toLong()
    }

    /** Whether tiers more urgent than [tier] alone leave no slot free. */
    fun occupiedAbove(tier: Tier, slots: Int): Boolean {
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
     * Corrects what was assumed for a request of [tier] that left its slot after [ranMs]. Of a failed one the work
     * that it did not do is taken out, since its retry is counted in anew; otherwise a few quick failures would refuse
     * requests although slots are free. Preempted ones stay counted, or more would be started only to be preempted.
     */
    fun settle(tier: Tier, predictedMs: Double, ranMs: Long, complete: Boolean) {
        if (!complete) return remove(tier, predictedMs, part = maxOf(0.0, 1 - ranMs / predictedMs))
        for (level in levels) {
            if (level.tier < tier || level.requests <= 0) continue
            level.workMs = maxOf(level.requests, level.workMs + ranMs - predictedMs)
        }
    }

    /** Takes out [part] of a request of [tier] that was counted in with [serviceMs]. */
    fun remove(tier: Tier, serviceMs: Double, part: Double = 1.0) {
        for (level in levels) {
            if (level.tier < tier) continue
            level.requests = maxOf(0.0, level.requests - part)
            level.workMs = maxOf(0.0, level.workMs - serviceMs * part)
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
