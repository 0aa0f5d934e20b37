/**
 * Decides which windows are reported and with which usage counts. The counts of a window are fixed once, in the lease
 * record, before they are sent; a later holder of the duty sends them unchanged.
 */
package org.hickorytiller.metering

import org.hickorytiller.mesh.UsageCounts
import org.hickorytiller.mesh.WindowNumber

/**
 * @property settleMs time after the end of a window within which the last counts of all hosts are received
 * @property maxAgeMs maximum time after the end of a window at which its counts may still be fixed; a later report
 *   would come too late
 * @property retentionMs time after the end of a window for which fixed counts are kept, and sent until acknowledged
 */
data class ReportRules(val settleMs: Long = 1_500, val maxAgeMs: Long = 12_000, val retentionMs: Long = 30_000)

/** The counts fixed so far. Confined to the event loop. */
class WindowReports(private val counters: WindowUsageCounters, private val rules: ReportRules = ReportRules()) {
    private val fixed = HashMap<WindowNumber, UsageCounts>()
    private val acknowledged = HashSet<WindowNumber>()

    /** Returns the counts for the lease record: those fixed before, and those of the windows due at [wallMs]. */
    fun countsToRecord(wallMs: Long): Map<WindowNumber, UsageCounts> {
        val kept = fixed.filterKeys { wallMs - counters.endMs(it) < rules.retentionMs }
        return kept + dueWindows(wallMs).associateWith { fixed[it] ?: counters.total(it) }
    }

    /** Whether a window that is due at [wallMs] is not fixed yet. */
    fun hasWindowsToRecord(wallMs: Long): Boolean = dueWindows(wallMs).any { it !in fixed }

    /** Applies the counts of a lease record that is on the platform's log. Known counts are never replaced. */
    fun applyRecorded(recorded: Map<WindowNumber, UsageCounts>) {
        recorded.forEach { (window, counts) -> fixed.putIfAbsent(window, counts) }
        if (fixed.size > MAX_FIXED) {
            val oldest = fixed.keys.sorted().dropLast(MAX_FIXED).toSet()
            fixed.keys.removeAll(oldest)
            acknowledged.removeAll(oldest)
        }
    }

    /** Returns the fixed counts that are neither acknowledged nor past retention at [wallMs], oldest first. */
    fun unacknowledgedCounts(wallMs: Long): List<Pair<WindowNumber, UsageCounts>> = fixed.keys
        .filter { it !in acknowledged && wallMs - counters.endMs(it) < rules.retentionMs }
        .sorted()
        .map { it to fixed.getValue(it) }

    /** Records that the platform has accepted the report of [window]. */
    fun markAcknowledged(window: WindowNumber) {
        acknowledged += window
    }

    private fun dueWindows(wallMs: Long): List<WindowNumber> {
        val newest = counters.windowAt(wallMs - rules.settleMs).value - 1
        val oldest = counters.windowAt(wallMs - rules.maxAgeMs).value
        return (oldest..newest).map(::WindowNumber)
    }

    private companion object {
        const val MAX_FIXED = 16
    }
}
