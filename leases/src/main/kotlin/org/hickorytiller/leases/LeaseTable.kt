/**
 * The state of the leases, derived from the records of the stream. Whether a record is valid depends only on the
 * stream; whether a lease has expired depends on the local monotonic clock of each process.
 *
 * A reader that starts after old records were dropped can mistake an invalid record for a valid one. Two rules make
 * that harmless: a candidate waits for the term of every claim and renewal that it reads, valid or not, and a process
 * relies on its own record only if no claim or renewal of another claim to the duty came between, valid or not.
 */
package org.hickorytiller.leases

import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.TimeMs

/**
 * A lease, derived from the records that this process has read.
 *
 * @property fencingToken offset of the claim, or of the first valid renewal read if the claim was not read as valid; a
 *   later lease of the same duty has a greater one
 * @property lastOffset offset of the last valid record
 * @property sequence number of the last valid renewal; 0 for the claim itself
 * @property isUncontested whether there is no record of another claim between the last record that the sender of the
 *   last valid record had read and that record itself
 * @property readAt time at which this process read the last valid record
 */
data class Lease(
    val duty: Duty,
    val holder: String,
    val claimId: ClaimId,
    val fencingToken: LogOffset,
    val lastOffset: LogOffset,
    val sequence: Long,
    val isUncontested: Boolean,
    val termMs: Long,
    val readAt: TimeMs,
    val isReleased: Boolean,
)

/** Leases by duty. Confined to the event loop. */
class LeaseTable(private val driftMarginMs: Long) {
    private class ReadRecord(val claimId: String, val offset: LogOffset, val termMs: Long, val readAt: TimeMs)

    private val leases = HashMap<Duty, Lease>()

    // The last claim or renewal of each duty, valid or not, and the last one that belongs to a different claim.
    private val last = HashMap<Duty, ReadRecord>()
    private val lastOther = HashMap<Duty, ReadRecord>()
    private var caughtUpAt: TimeMs? = null
    private var isHalted = false

    /** Offset of the last record read. */
    var seenThrough = LogOffset.NONE
        private set

    /** Returns the latest valid lease of [duty], which may have expired. */
    fun lease(duty: Duty): Lease? = leases[duty]

    /** Returns the latest valid lease of each duty. */
    fun all(): Collection<Lease> = leases.values

    /** Records that the end of the stream was reached for the first time at [now]. */
    fun markCaughtUp(now: TimeMs) {
        if (caughtUpAt == null) caughtUpAt = now
    }

    /**
     * Discards all state, since records were dropped from the stream before this process read them. Reading continues
     * after [through], and the wait of a starting process applies again.
     */
    fun reset(through: LogOffset) {
        leases.clear()
        last.clear()
        lastOther.clear()
        caughtUpAt = null
        seenThrough = through
    }

    /** Prevents further claims by this process: the stream holds a record that needs a newer reader. */
    fun halt() {
        isHalted = true
    }

    /** Skips the record at [offset], which cannot be decoded. */
    fun skip(offset: LogOffset) {
        seenThrough = offset
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
            }
        recordLast(record, duty, offset, now)
        if (next != null) leases[duty] = next
        return next != null
    }

    /**
     * Returns the earliest time to claim [duty] according to the records read so far; null before the end of the stream
     * was reached and after [halt]. A process that has just started waits for at least [termMs], since it may have
     * misjudged whether the record of a current lease is valid.
     */
    fun claimableAt(duty: Duty, termMs: Long): TimeMs? {
        val start = caughtUpAt?.takeUnless { isHalted } ?: return null
        val lastRecord = last[duty] ?: return start + termMs + driftMarginMs
        val startupOver = start + maxOf(termMs, lastRecord.termMs) + driftMarginMs
        val lease = leases[duty]
        if (lease != null && lease.isReleased && lease.claimId.value == lastRecord.claimId) return startupOver
        return maxOf(startupOver, lastRecord.readAt + lastRecord.termMs + driftMarginMs)
    }

    private fun claimed(record: Claim, current: Lease?, offset: LogOffset, now: TimeMs): Lease? {
        if (current != null && current.lastOffset.value > record.seenThrough) return null
        return Lease(
            Duty(record.duty),
            record.holder,
            ClaimId(record.claimId),
            offset,
            offset,
            sequence = 0,
            isUncontested = isUncontested(record, record.seenThrough),
            record.termMs,
            now,
            isReleased = false,
        )
    }

    // A renewal of a claim other than the current one is valid if its sender had read the current one: the current
    // lease in this table then comes from an invalid record, taken for valid since records before it were dropped.
    private fun renewed(record: Renewal, current: Lease?, offset: LogOffset, now: TimeMs): Lease? {
        val same = current != null && current.claimId.value == record.claimId
        if (same && current.isReleased) return null
        if (current != null && !same && current.lastOffset.value > record.seenThrough) return null
        return Lease(
            Duty(record.duty),
            record.holder,
            ClaimId(record.claimId),
            if (same) current.fencingToken else offset,
            offset,
            record.sequence,
            isUncontested(record, record.seenThrough),
            record.termMs,
            now,
            isReleased = false,
        )
    }

    private fun released(record: Release, current: Lease?, offset: LogOffset, now: TimeMs): Lease? {
        if (current == null || current.claimId.value != record.claimId) return null
        return current.copy(lastOffset = offset, readAt = now, isReleased = true)
    }

    private fun isUncontested(record: LeaseRecord, seenThrough: Long): Boolean {
        val duty = Duty(record.duty)
        val other = last[duty]?.takeIf { it.claimId != record.claimId } ?: lastOther[duty]
        return other == null || other.offset.value <= seenThrough
    }

    private fun recordLast(record: LeaseRecord, duty: Duty, offset: LogOffset, now: TimeMs) {
        val termMs =
            when (record) {
                is Claim -> record.termMs
                is Renewal -> record.termMs
                is Release -> return
            }
        val previous = last[duty]
        if (previous != null && previous.claimId != record.claimId) lastOther[duty] = previous
        last[duty] = ReadRecord(record.claimId, offset, termMs, now)
    }
}
