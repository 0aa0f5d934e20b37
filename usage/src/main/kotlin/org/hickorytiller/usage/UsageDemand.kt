/** Derives the demand for backend servers from what routers flushed lately. */
package org.hickorytiller.usage

import org.hickorytiller.core.ClassId
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.TimeMs

/**
 * The mean number of busy slots by class and pool, from the last flush of each router's run within [keepMs]. It shows
 * what was served, so a pool that is full shows no more than its slots. Confined to the event loop.
 */
class UsageDemand(private val keepMs: Long) {
    private class Latest(val sequence: Long, val readAt: TimeMs, val flush: UsageFlush)

    private val latest = HashMap<String, Latest>()

    /** Takes [flush] into account, read at [now]. */
    fun add(flush: UsageFlush, now: TimeMs) {
        val before = latest[flush.run]
        if (before == null || flush.sequence > before.sequence) latest[flush.run] = Latest(flush.sequence, now, flush)
    }

    /** Busy slots by class and pool at [now]. */
    fun busySlots(now: TimeMs): Map<Pair<ClassId, PoolId>, Double> {
        latest.values.removeAll { now - it.readAt > keepMs }
        val sums = HashMap<Pair<ClassId, PoolId>, Double>()
        latest.values.forEach { seen ->
            seen.flush.entries.forEach { entry ->
                val busySlots = entry.busyMs.toDouble() / seen.flush.spanMs.coerceAtLeast(1)
                sums.merge(ClassId(entry.requestClass) to PoolId(entry.pool), busySlots, Double::plus)
            }
        }
        return sums
    }
}
