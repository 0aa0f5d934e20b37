/**
 * Decides what a candidate for one duty does next: claim, renew, release or wait. It performs no I/O; a task executes
 * the actions and reports their results.
 */
package org.hickorytiller.leases

import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.TimeMs

/**
 * @property termMs term of a lease, counted by the holder from just before it sends the record
 * @property driftMarginMs time that other processes wait beyond the term, to allow for clock drift
 * @property renewIntervalMs time between two renewals
 * @property retryMs time after which an append that failed or whose response was lost is retried
 */
data class LeaseTiming(
    val termMs: Long = 10_000,
    val driftMarginMs: Long = 1_000,
    val renewIntervalMs: Long = 3_000,
    val retryMs: Long = 500,
)

/** The next action of a candidate. */
sealed interface LeaseAction {
    /** Append [record]; its term counts from the time passed to [LeaseCandidate.nextAction]. */
    data class Send(val record: LeaseRecord) : LeaseAction

    /** Wait until records are read, at most until [until]; null for no limit. */
    data class Wait(val until: TimeMs?) : LeaseAction
}

/** A lease held by this process. */
data class HeldLease(val duty: Duty, val claimId: ClaimId, val fencingToken: LogOffset, val expiresAt: TimeMs)

/**
 * Candidate for [duty]. [claimDelayMs] is added to the time at which a claim is allowed; different delays for the hosts
 * keep them from claiming all at once. Confined to the event loop.
 */
class LeaseCandidate(
    val duty: Duty,
    private val holder: String,
    private val timing: LeaseTiming,
    private val table: LeaseTable,
    private val claimDelayMs: Long,
    private val newClaimId: () -> ClaimId,
) {
    private data class Attempt(val claimId: ClaimId, val sequence: Long)

    // Attempts that may still be confirmed by reading back their records, with the start of their terms.
    private val attempts = LinkedHashMap<Attempt, TimeMs>()
    private var held: HeldLease? = null
    private var lastSequence = 0L
    private var nextSendAt: TimeMs? = null
    private var isStopped = false

    /** Returns the lease if this process holds it at [now]. */
    fun heldAt(now: TimeMs): HeldLease? = held?.takeIf { now < it.expiresAt }

    /** Whether this process holds the lease at [now] and for at least [remainingMs] more. */
    fun holds(now: TimeMs, remainingMs: Long): Boolean = held?.let { now + remainingMs < it.expiresAt } ?: false

    /** Returns the next action at [now]. For [LeaseAction.Send], the term of the record counts from [now]. */
    fun nextAction(now: TimeMs): LeaseAction {
        attempts.values.removeAll { it + timing.termMs <= now }
        if (isStopped) return LeaseAction.Wait(null)
        val lease = heldAt(now)
        held = lease
        return if (lease != null) renewOrWait(lease, now) else claimOrWait(now)
    }

    /** Schedules a retry after the append of the last action failed or its response was lost at [now]. */
    fun appendFailed(now: TimeMs) {
        nextSendAt = now + timing.retryMs
    }

    /** Updates the state from the lease table. Must be called after the records of a page were applied. */
    fun tableChanged() {
        val lease = table.lease(duty)
        val current = held
        if (lease == null || lease.isReleased) {
            held = null
            return
        }
        if (current != null && lease.claimId != current.claimId) held = null
        val startsOrContinues = lease.sequence == 0L || lease.claimId == held?.claimId
        if (!startsOrContinues || !lease.isUncontested) return
        val sentAt = attempts.remove(Attempt(lease.claimId, lease.sequence)) ?: return
        held = HeldLease(duty, lease.claimId, lease.fencingToken, sentAt + timing.termMs)
        nextSendAt = sentAt + timing.renewIntervalMs
    }

    /** Abandons the lease and all attempts, since records were dropped before they were read. */
    fun onRecordsDropped() {
        held = null
        attempts.clear()
    }

    /**
     * Ends the candidacy. Returns the release record to append if the lease is held at [now]. The work of the duty must
     * have ended before.
     */
    fun release(now: TimeMs): LeaseRecord? {
        val lease = heldAt(now)
        isStopped = true
        held = null
        return lease?.let { Release(duty.value, holder, it.claimId.value) }
    }

    private fun renewOrWait(lease: HeldLease, now: TimeMs): LeaseAction {
        val due = nextSendAt ?: now
        if (now < due) return LeaseAction.Wait(minOf(due, lease.expiresAt))
        lastSequence++
        attempts[Attempt(lease.claimId, lastSequence)] = now
        nextSendAt = now + timing.renewIntervalMs
        return LeaseAction.Send(
            Renewal(
                duty.value,
                holder,
                lease.claimId.value,
                timing.termMs,
                table.seenThrough.value,
                lastSequence,
            ),
        )
    }

    private fun claimOrWait(now: TimeMs): LeaseAction {
        val claimableAt = table.claimableAt(duty, timing.termMs) ?: return LeaseAction.Wait(null)
        val due = maxOf(claimableAt + claimDelayMs, nextSendAt ?: claimableAt)
        if (now < due) return LeaseAction.Wait(due)
        val claimId = newClaimId()
        lastSequence = 0
        attempts[Attempt(claimId, 0)] = now
        nextSendAt = now + timing.renewIntervalMs
        return LeaseAction.Send(Claim(duty.value, holder, claimId.value, timing.termMs, table.seenThrough.value))
    }
}
