/**
 * A lease on a log with conditional appends, which succeed only at a given offset. A claim is appended at the end of
 * the log as last seen by its sender, so of several claims at the same end exactly one succeeds, and its offset yields
 * a fencing token that grows with every holder. A process claims only after the newest record has stayed the newest for
 * a whole term and a margin by the local clock: its holder has then not renewed, and its term is over.
 *
 * Performs no I/O: the caller passes in the results of reads and appends and queries the next step.
 */
package org.hickorytiller.leases

import org.hickorytiller.core.Clock
import org.hickorytiller.core.ClockReading
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.TimeMs
import org.hickorytiller.core.WallClock

/**
 * @property termMs time for which a holder may act, from the sending of its last successful append
 * @property driftMarginMs time that other processes wait beyond the term, to allow for clock drift
 * @property renewIntervalMs time after which the holder renews
 * @property maxClockDivergenceMs difference between monotonic and wall clock above which a suspension is assumed
 */
data class ConditionalLeaseTiming(
    val termMs: Long = 3_000,
    val driftMarginMs: Long = 400,
    val renewIntervalMs: Long = 1_000,
    val maxClockDivergenceMs: Long = 150,
)

/** The lease from the point of view of the process with claim id [localClaim]. */
class ConditionalLease(
    private val localClaim: ClaimId,
    private val clock: Clock,
    private val wallClock: WallClock,
    private val timing: ConditionalLeaseTiming = ConditionalLeaseTiming(),
) {
    private var end: LogOffset? = null
    private var isLogEmpty = false
    private var endSeenAt = TimeMs(0)
    private var heldFrom: ClockReading? = null

    /** Fencing token of the local claim; null if there is none or it was superseded. It grows with every holder. */
    var fencingToken: Long? = null
        private set

    /** Processes the result of a read: the [end] of the log and its [newest] claim, null if there is none. */
    fun recordRead(end: LogOffset, newest: ClaimId?) {
        if (end != this.end) {
            this.end = end
            endSeenAt = clock()
        }
        isLogEmpty = newest == null
        if (newest != localClaim && newest != null) clearHold()
    }

    /** Processes the report of a holder that the log ended at [end] after its latest renewal. */
    fun recordReportedEnd(end: LogOffset) {
        val knownEnd = this.end
        if (fencingToken != null || (knownEnd != null && knownEnd >= end)) return
        this.end = end
        isLogEmpty = false
        endSeenAt = clock()
    }

    /** The end of the log after the latest local renewal; null unless this process holds the lease now. */
    val logEndWhileHeld: LogOffset? get() = end.takeIf { holds() }

    /** Returns the offset at which this process may claim or renew now; null if it has to wait or to read first. */
    fun nextAppendOffset(): LogOffset? {
        val knownEnd = end ?: return null
        if (fencingToken != null || isLogEmpty) return knownEnd
        return knownEnd.takeIf { clock() - endSeenAt >= timing.termMs + timing.driftMarginMs }
    }

    /** Whether it is time to renew. */
    fun isRenewalDue(): Boolean =
        heldFrom?.let { clock() - it.monotonic >= timing.renewIntervalMs || !holds() } ?: false

    /** Processes a successful append, sent at [sentAt] on the monotonic and at [sentAtWallMs] on the wall clock. */
    fun appended(offset: LogOffset, sentAt: TimeMs, sentAtWallMs: Long) {
        end = offset.next()
        isLogEmpty = false
        if (fencingToken == null) fencingToken = offset.value + 1
        heldFrom = ClockReading(sentAt, sentAtWallMs)
    }

    /** Processes an append rejected because the log has grown: another process may hold the lease. */
    fun appendConflicted() {
        clearHold()
        end = null
    }

    /** Whether this process may act under [fencingToken] now. False after a suspension, until a renewal succeeds. */
    fun holds(): Boolean {
        val from = heldFrom ?: return false
        val now = ClockReading(clock(), wallClock())
        return from.clocksAgreeWith(now, timing.maxClockDivergenceMs) && now.monotonic - from.monotonic < timing.termMs
    }

    private fun clearHold() {
        fencingToken = null
        heldFrom = null
    }
}
