/**
 * Counts the requests that began to run, by window and customer. Every host shares its counts while a window runs, so
 * that the end of a host loses half a second of its counts at most.
 */
package org.hickorytiller.metering

import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.ProcessId
import org.hickorytiller.mesh.UsageCounts
import org.hickorytiller.mesh.WindowNumber

/**
 * Counts of all runs of all hosts, as far as known. Counts only grow, so of two messages the larger figure is newer.
 *
 * @property windowMs length of a window
 * @property keptWindows number of windows that are remembered
 */
class WindowUsageCounters(private val own: ProcessId, private val windowMs: Long, private val keptWindows: Int = 6) {
    private val windows = HashMap<WindowNumber, HashMap<ProcessId, HashMap<CustomerId, Long>>>()

    /** The window that [wallMs] falls in. */
    fun windowAt(wallMs: Long) = WindowNumber(Math.floorDiv(wallMs, windowMs))

    /** The end of [window] in milliseconds since 1970. */
    fun endMs(window: WindowNumber): Long = (window.value + 1) * windowMs

    /** Counts a request of [customer] that began to run at [wallMs]. */
    fun add(customer: CustomerId, wallMs: Long) {
        val window = windowAt(wallMs)
        countsOf(window, own).merge(customer, 1L, Long::plus)
        windows.keys.removeIf { it.value < window.value - keptWindows }
    }

    /** Takes the counts that [run] has shared. */
    fun applyPeerCounts(run: ProcessId, shared: Map<WindowNumber, UsageCounts>) {
        shared.forEach { (window, counts) ->
            val known = countsOf(window, run)
            counts.forEach { (customer, count) -> known.merge(customer, count, ::maxOf) }
        }
    }

    /** This process's counts of the window at [wallMs] and of the two windows before. */
    fun recentCounts(wallMs: Long): Map<WindowNumber, UsageCounts> {
        val newest = windowAt(wallMs)
        return (0 until SHARED_WINDOWS).mapNotNull { back ->
            val window = WindowNumber(newest.value - back)
            windows[window]?.get(own)?.let { window to it.toMap() }
        }.toMap()
    }

    /** The counts of [window] over all hosts. */
    fun total(window: WindowNumber): UsageCounts {
        val sums = HashMap<CustomerId, Long>()
        windows[window]?.values?.forEach { counts ->
            counts.forEach { (customer, count) -> sums.merge(customer, count, Long::plus) }
        }
        return sums
    }

    private fun countsOf(window: WindowNumber, run: ProcessId) =
        windows.getOrPut(window) { HashMap() }.getOrPut(run) { HashMap() }

    private companion object {
        const val SHARED_WINDOWS = 3
    }
}
