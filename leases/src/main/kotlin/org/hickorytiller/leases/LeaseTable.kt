/**
 * The leases as a function of the records of the stream. Which records are valid follows from the stream alone, so
 * all processes agree on it; when a lease is over follows from each process's own monotonic clock.
 */
package org.hickorytiller.leases

import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.TimeMs

/**
 * A lease as this process sees it.
 *
 * @property fencingToken offset of the claim; a later lease of the same duty has a greater one
 * @property lastOffset offset of the last valid record
 * @property readAt when this process read that record
 */
data class Lease(
    val duty: Duty,
    val holder: String,
    val claimId: ClaimId,
    val fencingToken: LogOffset,
    val lastOffset: LogOffset,
    val termMs: Long,
    val readAt: TimeMs,
    val released: Boolean,
)

/** Leases by duty. Confined to the event loop. */
class LeaseTable(private val driftMarginMs: Long) {
    private val leases = HashMap<Duty, Lease>()
    private var caughtUpAt: TimeMs? = null

    /** Offset of the last record read. */
    var seenThrough = LogOffset.NONE
        private set

    /** The latest valid lease of [duty]; it may be over. */
    fun lease(duty: Duty): Lease? = leases[duty]

    /** Records that the end of the stream was reached for the first time at [now]. */
    fun caughtUp(now: TimeMs) {
        if (caughtUpAt == null) caughtUpAt = now
    }

    /** Applies the record at [offset], read at [now]. Returns whether the record is valid. */
    fun apply(record: LeaseRecord, offset: LogOffset, now: TimeMs): Boolean {
        seenThrough = offset
        val duty = Duty(record.duty)
        val current = leases[duty]
        val next =
            when (record) {
                is Claim -> claimed(record, current, offset, now)
                is Renewal -> renewed(record, current, offset, now)
                is Release -> released(record, current, offset, now)
            } ?: return false
        leases[duty] = next
        return true
    }

    /**
     * Whether [duty] may be claimed at [now]: the end of the stream was reached, and the last lease is released or
     * certainly over. A process that has just started waits a whole [termMs], since the record of a running lease may
     * not have been decidable for it.
     */
    fun mayClaim(duty: Duty, now: TimeMs, termMs: Long): Boolean {
        val start = caughtUpAt ?: return false
        val lease = leases[duty] ?: return now - start >= termMs + driftMarginMs
        return lease.released || now - lease.readAt >= lease.termMs + driftMarginMs
    }

    private fun claimed(record: Claim, current: Lease?, offset: LogOffset, now: TimeMs): Lease? {
        if (current != null && current.lastOffset.value > record.seenThrough) return null
        return Lease(
            Duty(record.duty),
            record.holder,
            ClaimId(record.claimId),
            offset,
            offset,
            record.termMs,
            now,
            released = false,
        )
    }

    private fun renewed(record: Renewal, current: Lease?, offset: LogOffset, now: TimeMs): Lease? {
        if (current == null || current.claimId.value != record.claimId || current.released) return null
        return current.copy(lastOffset = offset, termMs = record.termMs, readAt = now)
    }

    private fun released(record: Release, current: Lease?, offset: LogOffset, now: TimeMs): Lease? {
        if (current == null || current.claimId.value != record.claimId) return null
        return current.copy(lastOffset = offset, readAt = now, released = true)
    }
}
