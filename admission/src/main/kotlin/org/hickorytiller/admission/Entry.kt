/** Entry of the admission queue for a request that waits or runs. */
package org.hickorytiller.admission

import org.hickorytiller.core.TimeMs

/**
 * @property predictedMs service time that was added to the predicted load for it; 0 if it is not part of that load
 * @property isFloorAdmitted whether it was queued for a grant by the floor rule, because more urgent tiers occupy all
 *   slots
 */
internal class Entry(
    val ticket: Ticket,
    val account: Account,
    val queue: ClassQueue,
    val predictedMs: Double,
    val isFloorAdmitted: Boolean,
) : HeapNode() {
    /** Weighted service in scaled units by which this request increases [Account.queued] while it waits. */
    var queuedService = 0.0
    var startedAt: TimeMs? = null
    var tokens = 0L
    var isPreempted = false

    internal var previous: Entry? = null
    internal var next: Entry? = null
}

/** A doubly linked list of entries with removal in constant time. An entry is in one list at a time. */
internal class EntryList {
    var first: Entry? = null
        private set
    var last: Entry? = null
        private set
    var size = 0
        private set

    fun addLast(entry: Entry) {
        entry.previous = last
        entry.next = null
        last?.next = entry
        last = entry
        if (first == null) first = entry
        size++
    }

    fun remove(entry: Entry) {
        val before = entry.previous
        val after = entry.next
        if (before == null) first = after else before.next = after
        if (after == null) last = before else after.previous = before
        entry.previous = null
        entry.next = null
        size--
    }

    inline fun forEach(action: (Entry) -> Unit) {
        var entry = first
        while (entry != null) {
            action(entry)
            entry = entry.next
        }
    }
}
