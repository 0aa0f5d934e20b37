/** Finds the neighbours that this process no longer hears. */
package org.hickorytiller.membership

import org.hickorytiller.core.TimeMs
import org.hickorytiller.peering.MemberId
import org.hickorytiller.peering.MemberRecord
import org.hickorytiller.peering.Suspicion

/**
 * The claims of one process about its neighbours. Confined to the event loop.
 *
 * @param firstVersion version of the first claim; the start of the process, so that a new run goes on above an old one
 */
internal class FailureDetector(private val own: MemberId, private val limits: MembershipLimits, firstVersion: Long) {
    private class Claim(val suspicion: Suspicion, val since: TimeMs, val sentAt: TimeMs)

    private val heardAt = HashMap<MemberId, TimeMs>()
    private val claims = HashMap<MemberId, Claim>()
    private var version = firstVersion
    private var lastTick: TimeMs? = null

    /** Records a message of [id]. */
    fun heard(id: MemberId, now: TimeMs) {
        heardAt[id] = now
    }

    /** Whether this process has not heard [id] for the time after which it no longer counts as a witness. */
    fun isLongSilent(id: MemberId, now: TimeMs): Boolean =
        claims[id]?.let { now - it.since >= limits.isolationMs } == true

    /** The claims to make now about [neighbours]. */
    fun tick(neighbours: List<MemberRecord>, now: TimeMs): List<Suspicion> {
        forgiveOwnPause(now)
        val ids = neighbours.mapTo(HashSet()) { it.id }
        heardAt.keys.retainAll(ids)
        claims.keys.retainAll(ids)
        return neighbours.mapNotNull { claim(it, now) }
    }

    private fun claim(neighbour: MemberRecord, now: TimeMs): Suspicion? {
        val silent = now - heardAt.getOrPut(neighbour.id) { now } >= limits.silenceMs
        val claim = claims[neighbour.id]
        if (!silent) return claim?.let { withdraw(neighbour, it) }
        val isNew = claim == null || claim.suspicion.incarnation != neighbour.incarnation
        if (!isNew && now - claim.sentAt < limits.reissueMs) return null
        val suspicion = Suspicion(neighbour.id, neighbour.incarnation, own, ++version, active = true)
        claims[neighbour.id] = Claim(suspicion, claim?.since ?: now, now)
        return suspicion
    }

    private fun withdraw(neighbour: MemberRecord, claim: Claim): Suspicion {
        claims -= neighbour.id
        return claim.suspicion.copy(version = ++version, active = false)
    }

    // After a pause of this process its neighbours look silent although they are not.
    private fun forgiveOwnPause(now: TimeMs) {
        val gap = lastTick?.let { now - it } ?: 0
        lastTick = now
        if (gap >= limits.pauseMs) heardAt.replaceAll { _, at -> at + gap }
    }
}
