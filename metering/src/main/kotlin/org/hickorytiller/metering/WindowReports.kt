/**
 * Decides which windows are reported and with which figures. The figures of a window are fixed once, in the lease
 * record, before they are sent; whoever holds the duty later repeats them as they are.
 */
package org.hickorytiller.metering

import org.hickorytiller.mesh.UsageCounts
import org.hickorytiller.mesh.WindowNumber

/**
 * @property settleMs time after the end of a window in which the last counts of all hosts arrive
 * @property oldestMs age of a window's end from which a window is not fixed any more; a report would come too late
 * @property keptMs time for which fixed figures are kept and repeated until they are acknowledged
 */
data class ReportRules(val settleMs: Long = 1_500, val oldestMs: Long = 12_000, val keptMs: Long = 30_000)

/** Figures fixed so far. Confined to the event loop. */
class WindowReports(private val counters: WindowUsageCounters, private val rules: ReportRules = ReportRules()) {
    private val fixed = HashMap<WindowNumber, UsageCounts>()
    private val acknowledged = HashSet<WindowNumber>()

    /** The fixed figures to put into the lease record, with those of the windows due at [wallMs] added. */
    fun figuresToRecord(wallMs: Long): Map<WindowNumber, UsageCounts> {
        val kept = fixed.filterKeys { wallMs - counters.endMs(it) < rules.keptMs }
        return kept + due(wallMs).associateWith { fixed[it] ?: counters.total(it) }
    }

    /** Whether a window is due at [wallMs] that is not fixed yet. */
    fun hasUnfixed(wallMs: Long): Boolean = due(wallMs).any { it !in fixed }

    /** Takes the figures of a lease record that is on the platform's log. Known figures are never replaced. */
    fun recorded(figures: Map<WindowNumber, UsageCounts>) {
        figures.forEach { (window, counts) -> fixed.putIfAbsent(window, counts) }
        if (fixed.size > MAX_FIXED) {
            val oldest = fixed.keys.sorted().dropLast(MAX_FIXED).toSet()
            fixed.keys.removeAll(oldest)
            acknowledged.removeAll(oldest)
        }
    }

    /** Fixed figures that are not acknowledged yet and still worth sending at [wallMs], oldest first. */
    fun unacknowledgedFigures(wallMs: Long): List<Pair<WindowNumber, UsageCounts>> = fixed.keys
        .filter { it !in acknowledged && wallMs - counters.endMs(it) < rules.keptMs }
        .sorted()
        .map { it to fixed.getValue(it) }

    /** Records that the platform has taken the report of [window]. */
    fun acknowledged(window: WindowNumber) {
        acknowledged += window
    }

    private fun due(wallMs: Long): List<WindowNumber> {
        val newest = counters.windowAt(wallMs - rules.settleMs).value - 1
        val oldest = counters.windowAt(wallMs - rules.oldestMs).value
        return (oldest..newest).map(::WindowNumber)
    }

    private companion object {
        const val MAX_FIXED = 16
    }
}
