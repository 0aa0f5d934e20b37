/**
 * Who claims not to hear whom. Claims spread like member records; each process counts the witnesses itself, so the
 * deaths that processes declare do not depend on who tells whom first.
 */
package org.hickorytiller.membership

import org.hickorytiller.core.TimeMs
import org.hickorytiller.peering.MemberId
import org.hickorytiller.peering.Suspicion
import java.util.TreeMap

/** Standing and withdrawn suspicions. Confined to the event loop. */
class SuspicionTable(private val limits: MembershipLimits) {
    private data class Key(val target: MemberId, val observer: MemberId)

    private class Entry(val suspicion: Suspicion, val changedAt: Long, val at: TimeMs, val source: LinkId?)

    private val entries = HashMap<Key, Entry>()
    private val changes = TreeMap<Long, Key>()
    private var nextChange = 1L

    /** Position after the last change. */
    internal val position: Long get() = nextChange - 1

    /** Takes [suspicion] over if it is newer than what is known. Returns whether it was. */
    fun merge(suspicion: Suspicion, now: TimeMs, source: LinkId? = null): Boolean {
        val key = Key(suspicion.target, suspicion.observer)
        val known = entries[key]
        if (known != null && known.suspicion.version >= suspicion.version) return false
        known?.let { changes -= it.changedAt }
        entries[key] = Entry(suspicion, nextChange, now, source)
        changes[nextChange++] = key
        return true
    }

    /** Members under suspicion. */
    fun targets(): Set<MemberId> = entries.values.filter {
        it.suspicion.active
    }.mapTo(HashSet()) { it.suspicion.target }

    /** Those that claim not to hear [target] in its [incarnation]. */
    fun observers(target: MemberId, incarnation: Long): List<MemberId> = entries.values
        .map { it.suspicion }
        .filter { it.target == target && it.active && it.incarnation == incarnation }
        .map { it.observer }

    /** Forgets claims about [target], which is known to be dead or has proved to be alive in a new incarnation. */
    fun settle(target: MemberId) = removeIf { it.suspicion.target == target }

    /** Forgets claims that have not been repeated in time. */
    fun expire(now: TimeMs) = removeIf { now - it.at > limits.suspicionLifetimeMs }

    /** The claims that changed after [after], without those that came over [receiver]. */
    internal fun newsAfter(after: Long, receiver: LinkId): List<Suspicion> =
        changes.tailMap(after, false).values.map(entries::getValue).filter {
            it.source != receiver
        }.map { it.suspicion }

    private fun removeIf(condition: (Entry) -> Boolean) {
        val removed = entries.filterValues(condition)
        removed.forEach { (key, entry) ->
            entries -= key
            changes -= entry.changedAt
        }
    }
}
