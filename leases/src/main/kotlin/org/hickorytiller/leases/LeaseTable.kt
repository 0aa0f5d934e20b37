/**
 * The leases as a function of the records of the stream. Which records are valid follows from the stream alone; when
 * a lease is over follows from each process's own monotonic clock.
 *
 * A reader that started after old records were dropped can take an invalid record for a valid one. Two rules make that
 * harmless: a candidate waits for every record that it reads, valid or not, and a process relies on its own record
 * only if no other record of the duty came between, valid or not.
 */
package org.hickorytiller.leases

import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.TimeMs

/**
 * A lease as this process sees it.
 *
 * @property fencingToken offset of the claim; a later lease of the same duty has a greater one
 * @property lastOffset offset of the last valid record
 * @property sequence number of the last valid renewal; 0 for the claim itself
 * @property uncontested whether no record of another claim lies between what the sender of the last valid record had
 *   read and that record
 * @property readAt when this process read the last valid record
 */
data class Lease(
    val duty: Duty,
    val holder: String,
    val claimId: ClaimId,
    val fencingToken: LogOffset,
    val lastOffset: LogOffset,
    val sequence: Long,
    val uncontested: Boolean,
    val termMs: Long,
    val readAt: TimeMs,
    val released: Boolean,
)

/** Leases by duty. Confined to the event loop. */
class LeaseTable(private val driftMarginMs: Long) {
    private class Seen(val claimId: String, val offset: LogOffset, val termMs: Long, val readAt: TimeMs)

    private val leases = HashMap<Duty, Lease>()

    // The last claim or renewal of each duty, valid or not, and the last one by another claim than that one.
    private val last = HashMap<Duty, Seen>()
    private val lastOther = HashMap<Duty, Seen>()
    private var caughtUpAt: TimeMs? = null
    private var halted = false

    /** Offset of the last record read. */
    var seenThrough = LogOffset.NONE
        private set

    /** The latest valid lease of [duty]; it may be over. */
    fun lease(duty: Duty): Lease? = leases[duty]

    /** All duties with their latest valid lease. */
    fun all(): Collection<Lease> = leases.values

    /** Records that the end of the stream was reached for the first time at [now]. */
    fun markCaughtUp(now: TimeMs) {
        if (caughtUpAt == null) caughtUpAt = now
    }

    /**
     * Forgets everything, since records were dropped from the stream before this process read them. Reading goes on
     * after [through], and the wait of a starting process applies again.
     */
    fun reset(through: LogOffset) {
        leases.clear()
        last.clear()
        lastOther.clear()
        caughtUpAt = null
        seenThrough = through
    }

    /** Ends all claims of this process: the stream holds a record that needs a newer reader. */
    fun halt() {
        halted = true
    }

    /** Passes over the record at [offset], which cannot be decoded. */
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
        remember(record, duty, offset, now)
        if (next != null) leases[duty] = next
        return next != null
    }

    /**
     * When [duty] may be claimed, as far as is known now; null before the end of the stream was reached. A process that
     * has just started waits a whole [termMs], since it may have misjudged the record of a running lease.
     */
    fun claimableAt(duty: Duty, termMs: Long): TimeMs? {
        val start = caughtUpAt?.takeUnless { halted } ?: return null
        val seen = last[duty] ?: return start + termMs + driftMarginMs
        val startupOver = start + maxOf(termMs, seen.termMs) + driftMarginMs
        val lease = leases[duty]
        if (lease != null && lease.released && lease.claimId.value == seen.claimId) return startupOver
        return maxOf(startupOver, seen.readAt + seen.termMs + driftMarginMs)
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
            uncontested = isUncontested(record, record.seenThrough),
            record.termMs,
            now,
            released = false,
        )
    }

    // A renewal of another claim than the current one is valid if its sender had read the current one: then this
    // process has misjudged an old record, and the sender has not.
    private fun renewed(record: Renewal, current: Lease?, offset: LogOffset, now: TimeMs): Lease? {
        val same = current != null && current.claimId.value == record.claimId
        if (same && current.released) return null
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
            released = false,
        )
    }

    private fun released(record: Release, current: Lease?, offset: LogOffset, now: TimeMs): Lease? {
        if (current == null || current.claimId.value != record.claimId) return null
        return current.copy(lastOffset = offset, readAt = now, released = true)
    }

    private fun isUncontested(record: LeaseRecord, seenThrough: Long): Boolean {
        val duty = Duty(record.duty)
        val other = last[duty]?.takeIf { it.claimId != record.claimId } ?: lastOther[duty]
        return other == null || other.offset.value <= seenThrough
    }

    private fun remember(record: LeaseRecord, duty: Duty, offset: LogOffset, now: TimeMs) {
        val termMs =
            when (record) {
                is Claim -> record.termMs
                is Renewal -> record.termMs
                is Release -> return
            }
        val previous = last[duty]
        if (previous != null && previous.claimId != record.claimId) lastOther[duty] = previous
        last[duty] = Seen(record.claimId, offset, termMs, now)
    }
}
