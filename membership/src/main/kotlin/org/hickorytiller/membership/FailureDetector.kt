/** Detects the neighbours from which this process no longer receives messages. */
package org.hickorytiller.membership

import org.hickorytiller.core.TimeMs
import org.hickorytiller.peering.MemberId
import org.hickorytiller.peering.MemberRecord
import org.hickorytiller.peering.Suspicion

/**
 * The suspicions of one process about its neighbours. Confined to the event loop.
 *
 * @param firstVersion the versions of suspicions begin above it; the time of the process start, so that the versions of
 *   a new process run are higher than those of an earlier one
 */
internal class FailureDetector(
    private val localId: MemberId,
    private val limits: MembershipLimits,
    firstVersion: Long,
) {
    private class LocalSuspicion(val suspicion: Suspicion, val suspectedAt: TimeMs, val sentAt: TimeMs)

    private val lastReceivedAt = HashMap<MemberId, TimeMs>()
    private val suspicions = HashMap<MemberId, LocalSuspicion>()
    private var version = firstVersion
    private var lastTick: TimeMs? = null

    /** Records that a message was received from [id]. */
    fun onMessageReceived(id: MemberId, now: TimeMs) {
        lastReceivedAt[id] = now
    }

    /**
     * Whether this process has suspected [id] for so long that confirmation of other suspicions by [id] is no longer
     * required.
     */
    fun isObserverTimedOut(id: MemberId, now: TimeMs): Boolean =
        suspicions[id]?.let { now - it.suspectedAt >= limits.observerTimeoutMs } == true

    /** Returns the suspicions of [neighbours] to send now: new, refreshed and withdrawn ones. */
    fun tick(neighbours: List<MemberRecord>, now: TimeMs): List<Suspicion> {
        compensateForLocalPause(now)
        val ids = neighbours.mapTo(HashSet()) { it.id }
        lastReceivedAt.keys.retainAll(ids)
        suspicions.keys.retainAll(ids)
        return neighbours.mapNotNull { updateSuspicion(it, now) }
    }

    private fun updateSuspicion(neighbour: MemberRecord, now: TimeMs): Suspicion? {
        val isSilent = now - lastReceivedAt.getOrPut(neighbour.id) { now } >= limits.heartbeatTimeoutMs
        val current = suspicions[neighbour.id]
        if (!isSilent) return current?.let { withdrawSuspicion(neighbour, it) }
        val isNew = current == null || current.suspicion.incarnation != neighbour.incarnation
        if (!isNew && now - current.sentAt < limits.suspicionRefreshIntervalMs) return null
        val suspicion = Suspicion(neighbour.id, neighbour.incarnation, localId, ++version, active = true)
        suspicions[neighbour.id] = LocalSuspicion(suspicion, current?.suspectedAt ?: now, now)
        return suspicion
    }

    private fun withdrawSuspicion(neighbour: MemberRecord, current: LocalSuspicion): Suspicion {
        suspicions -= neighbour.id
        return current.suspicion.copy(version = ++version, active = false)
    }

    // After a pause of this process, messages of its neighbours have not been read yet, so they look silent.
    private fun compensateForLocalPause(now: TimeMs) {
        val gap = lastTick?.let { now - it } ?: 0
        lastTick = now
        if (gap >= limits.localPauseThresholdMs) lastReceivedAt.replaceAll { _, at -> at + gap }
    }
}
