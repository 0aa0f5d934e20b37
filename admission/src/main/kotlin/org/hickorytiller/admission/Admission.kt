/**
 * Lets the task of a connection wait until its request gets a slot. The decisions are those of [AdmissionQueue].
 */
package org.hickorytiller.admission

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.hickorytiller.core.Clock
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.PoolId

/** Number of requests that the pool can take right now. */
typealias FreeSlots = (PoolId) -> Int

/** Admission of one router. Confined to the event loop. */
class Admission(private val clock: Clock, private val freeSlots: FreeSlots) {
    private val queues = HashMap<PoolId, AdmissionQueue>()
    private val grants = HashMap<TicketId, CompletableDeferred<Unit>>()
    private var nextId = 0L

    /** Number of requests that wait for [pool]. */
    fun waiting(pool: PoolId): Int = queues[pool]?.size ?: 0

    /** An identifier for a new ticket. */
    fun newId() = TicketId(nextId++)

    /** Suspends until [ticket] may start, and then runs [start] before any other request can take the slot. */
    suspend fun <T> admit(ticket: Ticket, start: () -> T): Either<Refusal, T> {
        val queue = queues.getOrPut(ticket.pool) { AdmissionQueue() }
        if (queue.size == 0 && freeSlots(ticket.pool) > 0) return start().right()
        val granted = CompletableDeferred<Unit>()
        queue.offer(ticket)
        grants[ticket.id] = granted
        try {
            withTimeoutOrNull(ticket.startBy - clock()) { granted.await() } ?: return Refusal.OVERLOADED.left()
            return start().right()
        } finally {
            queue.remove(ticket.id)
            grants -= ticket.id
        }
    }

    /** Gives the free slots of [pool] to waiting requests. To be called whenever slots become free. */
    fun grantFreeSlots(pool: PoolId) {
        val queue = queues[pool] ?: return
        var free = freeSlots(pool)
        while (free > 0) {
            val ticket = queue.poll() ?: return
            grants.remove(ticket.id)?.complete(Unit)
            free--
        }
    }

    /** Charges [customer] for [tokens] streamed from [pool]. */
    fun charge(pool: PoolId, customer: CustomerId, tokens: Int) {
        queues.getOrPut(pool) { AdmissionQueue() }.charge(customer, tokens)
    }
}
