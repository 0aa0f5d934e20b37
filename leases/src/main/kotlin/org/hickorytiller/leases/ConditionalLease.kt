/**
 * A lease on a log that appends a record only at a stated offset. A claim names the end of the log as its sender has
 * seen it, so of all claims at one end exactly one succeeds, and its offset is a fencing token that grows with every
 * holder. A process claims only after the newest record has stayed the newest for a whole term by its own clock: its
 * holder has then not renewed, and its term is over.
 *
 * Pure: told of records and answers, asked what to do.
 */
package org.hickorytiller.leases

import org.hickorytiller.core.Clock
import org.hickorytiller.core.ClockReading
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.TimeMs
import org.hickorytiller.core.WallClock

/**
 * @property termMs time for which a holder acts after it sent its last successful append
 * @property marginMs what others wait beyond the term, against clocks that run unevenly
 * @property renewMs time after which the holder renews
 * @property maxClockDivergenceMs difference between monotonic clock and time of day that shows a suspension
 */
data class ConditionalLeaseTiming(
    val termMs: Long = 3_000,
    val marginMs: Long = 400,
    val renewMs: Long = 1_000,
    val maxClockDivergenceMs: Long = 150,
)

/** The lease as one process sees it. */
class ConditionalLease(
    private val own: ClaimId,
    private val clock: Clock,
    private val wallClock: WallClock,
    private val timing: ConditionalLeaseTiming = ConditionalLeaseTiming(),
) {
    private var end: LogOffset? = null
    private var isEmpty = false
    private var seenSince = TimeMs(0)
    private var heldFrom: ClockReading? = null

    /** Fencing token of the lease if this process has held it; it grows with every holder. */
    var token: Long? = null
        private set

    /** Takes the result of a read: the [end] of the log and the newest claim on it; null if there is none. */
    fun logRead(end: LogOffset, newest: ClaimId?) {
        if (end != this.end) {
            this.end = end
            seenSince = clock()
        }
        isEmpty = newest == null
        if (newest != own && newest != null) drop()
    }

    /** Takes a holder's word that the log ended at [end] after its latest renewal. */
    fun heard(end: LogOffset) {
        val known = this.end
        if (token != null || (known != null && known >= end)) return
        this.end = end
        isEmpty = false
        seenSince = clock()
    }

    /** Where the log ended after this process's latest renewal; null unless it may act now. */
    val logEndWhileHeld: LogOffset? get() = end.takeIf { holds() }

    /** The offset at which this process may claim or renew now; null if it has to wait or to read first. */
    fun nextAppendOffset(): LogOffset? {
        val known = end ?: return null
        if (token != null || isEmpty) return known
        return known.takeIf { clock() - seenSince >= timing.termMs + timing.marginMs }
    }

    /** Whether it is time to renew. */
    fun isRenewalDue(): Boolean = heldFrom?.let { clock() - it.monotonic >= timing.renewMs || !holds() } ?: false

    /** Takes the success of an append sent at [sentAt] on the monotonic clock and [sentAtWallMs] on the wall clock. */
    fun appended(offset: LogOffset, sentAt: TimeMs, sentAtWallMs: Long) {
        end = offset.next()
        isEmpty = false
        if (token == null) token = offset.value + 1
        heldFrom = ClockReading(sentAt, sentAtWallMs)
    }

    /** Takes the refusal of an append because the log has gone on: another process may hold the lease. */
    fun appendConflicted() {
        drop()
        end = null
    }

    /** Whether this process may act under [token] now. False after a suspension, until a renewal succeeds. */
    fun holds(): Boolean {
        val from = heldFrom ?: return false
        val now = ClockReading(clock(), wallClock())
        return from.clocksAgreeWith(now, timing.maxClockDivergenceMs) && now.monotonic - from.monotonic < timing.termMs
    }

    private fun drop() {
        token = null
        heldFrom = null
    }
}
