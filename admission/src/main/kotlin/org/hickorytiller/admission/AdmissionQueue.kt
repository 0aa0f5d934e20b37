/**
 * The requests of one pool that wait for a slot, in order of tier, then of the service that their customers have had.
 * Pure decisions: the caller says how many slots are free and what time it is.
 */
package org.hickorytiller.admission

import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.TimeMs

/** Waiting requests of one pool. */
class AdmissionQueue {
    private val waiting = mutableListOf<Ticket>()
    private val charged = HashMap<CustomerId, Double>()

    /** Number of waiting requests. */
    val size: Int get() = waiting.size

    /** Adds a request. */
    fun offer(ticket: Ticket) {
        if (waiting.none { it.customer == ticket.customer }) raiseToLeastServed(ticket.customer)
        waiting += ticket
    }

    /** Removes and returns the next request for a free slot; null if none waits. */
    fun poll(): Ticket? {
        val next = waiting.minWithOrNull(
            compareBy({
                it.requestClass.tier
            }, { charged[it.customer] ?: 0.0 }, { it.arrivedAt }),
        )
        if (next != null) waiting -= next
        return next
    }

    /** Removes a request that no longer waits. */
    fun remove(id: TicketId) {
        waiting.removeAll { it.id == id }
    }

    /** Removes and returns the requests that can no longer start in time. */
    fun expire(now: TimeMs): List<Ticket> {
        val expired = waiting.filter { it.startBy <= now }
        waiting -= expired.toSet()
        return expired
    }

    /** Charges [customer] for [tokens] that were streamed to it. */
    fun charge(customer: CustomerId, tokens: Int) {
        charged.merge(customer, tokens.toDouble(), Double::plus)
    }

    private fun raiseToLeastServed(customer: CustomerId) {
        val least = waiting.minOfOrNull { charged[it.customer] ?: 0.0 } ?: return
        charged.merge(customer, least, ::maxOf)
    }
}
