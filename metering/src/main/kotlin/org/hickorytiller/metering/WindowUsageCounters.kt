/**
 * Counts the requests that started to run, by window and customer. Every host sends its counts to its peers during a
 * window, so that at most half a second of the counts of a failed host is lost.
 */
package org.hickorytiller.metering

import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.ProcessId
import org.hickorytiller.mesh.UsageCounts
import org.hickorytiller.mesh.WindowNumber

/**
 * The known counts of all process runs on all hosts. Counts only grow, so the larger of two counts is the newer one.
 *
 * @property windowMs length of a window
 * @property retainedWindows number of earlier windows that are kept
 */
class WindowUsageCounters(
    private val localProcess: ProcessId,
    private val windowMs: Long,
    private val retainedWindows: Int = 6,
) {
    private val windows = HashMap<WindowNumber, HashMap<ProcessId, HashMap<CustomerId, Long>>>()

    /** Returns the window that [wallMs] falls into. */
    fun windowAt(wallMs: Long) = WindowNumber(Math.floorDiv(wallMs, windowMs))

    /** Returns the end of [window] in milliseconds since the Unix epoch (1970). */
    fun endMs(window: WindowNumber): Long = (window.value + 1) * windowMs

    /** Counts a request of [customer] that started to run at [wallMs]. */
    fun add(customer: CustomerId, wallMs: Long) {
        val window = windowAt(wallMs)
        countsOf(window, localProcess).merge(customer, 1L, Long::plus)
        windows.keys.removeIf { it.value < window.value - retainedWindows }
    }

    /** Applies the counts received from the process [run] of a peer. */
    fun applyPeerCounts(run: ProcessId, peerCounts: Map<WindowNumber, UsageCounts>) {
        peerCounts.forEach { (window, counts) ->
            val known = countsOf(window, run)
            counts.forEach { (customer, count) -> known.merge(customer, count, ::maxOf) }
        }
    }

    /** Returns the counts of this process for the window at [wallMs] and the two windows before it. */
    fun recentCounts(wallMs: Long): Map<WindowNumber, UsageCounts> {
        val newest = windowAt(wallMs)
        return (0 until SHARED_WINDOWS).mapNotNull { back ->
            val window = WindowNumber(newest.value - back)
            windows[window]?.get(localProcess)?.let { window to it.toMap() }
        }.toMap()
    }

    /** Returns the counts of [window] summed over all hosts. */
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
