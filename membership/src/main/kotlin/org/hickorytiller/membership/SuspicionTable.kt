/**
 * The suspicions of all members: which observer receives no messages from which target. Suspicions are gossiped like
 * member records. Each process counts the observers itself, so the deaths that it declares do not depend on the order
 * in which suspicions arrive.
 */
package org.hickorytiller.membership

import org.hickorytiller.core.TimeMs
import org.hickorytiller.peering.MemberId
import org.hickorytiller.peering.Suspicion
import java.util.TreeMap

/** Active and withdrawn suspicions. Confined to the event loop. */
class SuspicionTable(private val limits: MembershipLimits) {
    private data class Key(val target: MemberId, val observer: MemberId)

    private class Entry(val suspicion: Suspicion, val changePosition: Long, val updatedAt: TimeMs, val source: LinkId?)

    private val entries = HashMap<Key, Entry>()
    private val keysByPosition = TreeMap<Long, Key>()
    private var nextPosition = 1L

    /** Position of the last change. */
    internal val position: Long get() = nextPosition - 1

    /** Stores [suspicion] if it is newer than the known one of its observer and target. Returns whether it is. */
    fun merge(suspicion: Suspicion, now: TimeMs, source: LinkId? = null): Boolean {
        val key = Key(suspicion.target, suspicion.observer)
        val known = entries[key]
        if (known != null && known.suspicion.version >= suspicion.version) return false
        known?.let { keysByPosition -= it.changePosition }
        entries[key] = Entry(suspicion, nextPosition, now, source)
        keysByPosition[nextPosition++] = key
        return true
    }

    /** Returns the members that at least one observer suspects. */
    fun targets(): Set<MemberId> = entries.values.filter {
        it.suspicion.active
    }.mapTo(HashSet()) { it.suspicion.target }

    /** Returns the observers that suspect [target] in its [incarnation]. */
    fun observers(target: MemberId, incarnation: Long): List<MemberId> = entries.values
        .map { it.suspicion }
        .filter { it.target == target && it.active && it.incarnation == incarnation }
        .map { it.observer }

    /** Removes the suspicions of [target], which is known to be dead or is alive in a new incarnation. */
    fun removeTarget(target: MemberId) = removeIf { it.suspicion.target == target }

    /** Removes suspicions that have not been refreshed within [MembershipLimits.suspicionLifetimeMs]. */
    fun expire(now: TimeMs) = removeIf { now - it.updatedAt > limits.suspicionLifetimeMs }

    /** Returns the suspicions that changed after [position], except those received on the link [receiver]. */
    internal fun updatesAfter(position: Long, receiver: LinkId): List<Suspicion> =
        keysByPosition.tailMap(position, false).values.map(entries::getValue).filter {
            it.source != receiver
        }.map { it.suspicion }

    private fun removeIf(condition: (Entry) -> Boolean) {
        val removed = entries.filterValues(condition)
        removed.forEach { (key, entry) ->
            entries -= key
            keysByPosition -= entry.changePosition
        }
    }
}
