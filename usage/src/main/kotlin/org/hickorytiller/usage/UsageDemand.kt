/** Derives the demand for backend servers from the recent usage flushes of the routers. */
package org.hickorytiller.usage

import org.hickorytiller.core.ClassId
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.TimeMs

/**
 * Mean number of busy slots by class and pool, from the last flush of each router's process run within [maxAgeMs]. It
 * reflects served requests only, so a full pool shows no more than its slots. Confined to the event loop.
 */
class UsageDemand(private val maxAgeMs: Long) {
    private class Latest(val sequence: Long, val readAt: TimeMs, val flush: UsageFlush)

    private val latest = HashMap<String, Latest>()

    /** Adds [flush], which was read at [now]; ignored if it is not newer than the last one of its run. */
    fun add(flush: UsageFlush, now: TimeMs) {
        val last = latest[flush.run]
        if (last == null || flush.sequence > last.sequence) latest[flush.run] = Latest(flush.sequence, now, flush)
    }

    /** Returns the busy slots by class and pool at [now]. */
    fun busySlots(now: TimeMs): Map<Pair<ClassId, PoolId>, Double> {
        latest.values.removeAll { now - it.readAt > maxAgeMs }
        val sums = HashMap<Pair<ClassId, PoolId>, Double>()
        latest.values.forEach { ofRun ->
            ofRun.flush.entries.forEach { entry ->
                val busySlots = entry.busyMs.toDouble() / ofRun.flush.spanMs.coerceAtLeast(1)
                sums.merge(ClassId(entry.requestClass) to PoolId(entry.pool), busySlots, Double::plus)
            }
        }
        return sums
    }
}
