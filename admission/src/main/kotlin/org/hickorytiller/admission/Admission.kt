/**
 * Admission of one router over all pools: limits, queues, grants, preemption, and what is exchanged with peers. The
 * decisions are those of [AdmissionQueue], [Limits] and [PeerShares].
 */
package org.hickorytiller.admission

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.ClassId
import org.hickorytiller.core.Clock
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.ProcessId
import org.hickorytiller.core.RequestClass

/** Number of requests that the pool can take right now. */
typealias FreeSlots = (PoolId) -> Int

/** Number of slots of the pool that this router may use, free or not. */
typealias TotalSlots = (PoolId) -> Int

/**
 * What admission does with one request.
 *
 * @property start takes a slot; false if there is none after all
 * @property refused receives the refusal; the request has not run
 * @property preempt stops the running request; [Admission.ended] has to follow
 */
class Waiter(val start: () -> Boolean, val refused: (Refused) -> Unit, val preempt: () -> Unit)

/**
 * Admission of one router. Confined to the event loop.
 *
 * @param freeSlots free slots within this router's quota
 * @param spareSlots requests beyond the quota that the servers would queue; only the most urgent tier of a pool gets
 *   them, so that it does not wait for the next exchange of quotas
 */
class Admission(
    private val clock: Clock,
    private val freeSlots: FreeSlots,
    private val totalSlots: TotalSlots = freeSlots,
    private val spareSlots: FreeSlots = { 0 },
    private val rules: AdmissionRules = AdmissionRules(),
    private val weightOf: WeightOf = { 1.0 },
    private val limits: Limits = Limits(),
    private val shares: PeerShares = PeerShares(ProcessId(""), rules) { emptyList() },
) {
    private class Request(val ticket: Ticket, val waiter: Waiter)

    private val queues = HashMap<PoolId, AdmissionQueue>()
    private val requests = HashMap<TicketId, Request>()
    private var nextId = 0L
    private var sequence = 0L

    /** Number of requests that wait for [pool]. */
    fun waiting(pool: PoolId): Int = queues[pool]?.size ?: 0

    /** Counters of [pool] by class. */
    fun counters(pool: PoolId): Map<ClassId, ClassCounters> = queues[pool]?.counters ?: emptyMap()

    /** Time until a request of [requestClass] that arrives at [pool] now would start. */
    fun predictedWaitMs(pool: PoolId, requestClass: RequestClass): Long =
        queue(pool).predictedWaitMs(requestClass, clock())

    /** An identifier for a new ticket. */
    fun newId() = TicketId(nextId++)

    /** Asks for a slot. [waiter] is told of the start or of the refusal, at once or later. */
    fun request(ticket: Ticket, waiter: Waiter) {
        val now = clock()
        val limited = limits.accept(ticket.customer, ticket.requestClass.id, now)
        if (limited != null) return waiter.refused(limited)
        requests[ticket.id] = Request(ticket, waiter)
        queue(ticket.pool).offer(ticket, now).fold({ refuse(ticket, it) }, { displaced ->
            if (displaced != null) refuse(displaced, overloaded(displaced))
            grantFreeSlots(ticket.pool)
        })
    }

    /**
     * Suspends until [ticket] may start. The slot is taken by [start] at the moment of the grant, so no other request
     * can take it meanwhile; [undo] gives it back if the caller is cancelled before it learns of the grant. After a
     * start, [ended] has to follow. [preempt] is called if the running request has to stop for a more urgent one.
     */
    suspend fun <T : Any> admit(
        ticket: Ticket,
        start: () -> T?,
        undo: (T) -> Unit,
        preempt: () -> Unit,
    ): Either<Refused, T> {
        val outcome = CompletableDeferred<Either<Refused, T>>()
        var started: T? = null
        val take = {
            started = start()
            started?.let { outcome.complete(it.right()) } ?: false
        }
        request(ticket, Waiter(take, { outcome.complete(it.left()) }, preempt))
        try {
            while (true) {
                val waitMs = maxOf(1L, ticket.giveUpAt - clock())
                withTimeoutOrNull(waitMs) { outcome.await() }?.let { return it }
                expire(ticket.pool)
            }
        } catch (e: CancellationException) {
            started?.let(undo)
            ended(ticket, complete = false)
            throw e
        }
    }

    /** Gives the free slots of [pool] to waiting requests. To be called whenever slots become free. */
    fun grantFreeSlots(pool: PoolId) {
        val queue = queues[pool] ?: return
        expire(pool)
        repeat(freeSlots(pool)) { start(queue.grant(clock()) ?: return) }
        val stuck = queue.mostUrgentStuck
        if (stuck > 0) repeat(minOf(stuck, spareSlots(pool))) { start(queue.grant(clock()) ?: return) }
        while (true) {
            val victim = queue.preempt(clock()) ?: return
            requests[victim.id]?.waiter?.preempt?.invoke()
        }
    }

    /** Refuses the requests of [pool] that have waited as long as their class allows. */
    fun expire(pool: PoolId) {
        queues[pool]?.expire(clock()) { refuse(it, overloaded(it)) }
    }

    /**
     * Records that the request of [ticket] ended, with a [complete] answer or without, or that its caller left while it
     * waited. Its slot is granted to the next request.
     */
    fun ended(ticket: Ticket, complete: Boolean = true) {
        if (requests.remove(ticket.id) == null) return
        limits.ended(ticket.customer, ticket.requestClass.id)
        val queue = queue(ticket.pool)
        queue.cancel(ticket.id)
        queue.ended(ticket.id, clock(), complete)
        grantFreeSlots(ticket.pool)
    }

    /** Charges the customer of [ticket] for [tokens] streamed to it. */
    fun charge(ticket: Ticket, tokens: Int) {
        val now = clock()
        queue(ticket.pool).charge(ticket.id, tokens, now)
        limits.spend(ticket.customer, ticket.requestClass.id, tokens.toLong(), now)
    }

    /** The report to peers. [inFlight] is this router's in-flight requests by backend server. */
    fun demand(inFlight: Map<BackendServerId, Int> = emptyMap()): PeerReport {
        val customers = ArrayList<CustomerReport>()
        val now = clock()
        queues.forEach { (pool, queue) ->
            queue.reportChanged(now) { requestClass, customer, tokens ->
                val running = limits.concurrent(customer, requestClass)
                val perMinute = limits.requestsPerMinute(customer, requestClass, now)
                customers += CustomerReport(pool, requestClass, customer, tokens.toLong(), running, perMinute)
            }
        }
        val demand = queues.flatMap { (pool, queue) -> queue.demand(pool, now) }
        return PeerReport(++sequence, demand, customers, inFlight).also(shares::reported)
    }

    /** Takes the report of the peer [process]. Slots that it leaves free are granted. */
    fun applyPeerReport(process: ProcessId, report: PeerReport) {
        if (shares.apply(process, report, clock(), ::foldIn)) queues.keys.forEach(::grantFreeSlots)
    }

    /** Forgets the peer [process], which is dead or has left, and grants its slots. */
    fun removePeer(process: ProcessId) {
        shares.remove(process, ::foldIn)
        queues.keys.forEach(::grantFreeSlots)
    }

    /** Drops figures of customers that have been idle for long. To be called every few minutes. */
    fun forgetIdle() {
        limits.forgetIdle(clock())
        shares.forgetIdle(clock())
    }

    private fun foldIn(change: PeerChange) {
        val now = clock()
        limits.addRemote(change.customer, change.requestClass, change.requests, change.running, now)
        if (change.tokens <= 0.0) return
        limits.spend(change.customer, change.requestClass, change.tokens.toLong(), now)
        queue(change.pool).chargeRemote(change.requestClass, change.customer, change.tokens, now)
    }

    private fun start(ticket: Ticket) {
        val request = requests[ticket.id] ?: return
        if (request.waiter.start()) return
        queue(ticket.pool).ended(ticket.id, clock(), complete = false)
        refuse(ticket, Refused(Refusal.NO_BACKEND_SERVER, RETRY_MS))
    }

    private fun refuse(ticket: Ticket, refused: Refused) {
        val request = requests.remove(ticket.id) ?: return
        limits.ended(ticket.customer, ticket.requestClass.id)
        request.waiter.refused(refused)
    }

    private fun overloaded(ticket: Ticket): Refused {
        val waitMs = predictedWaitMs(ticket.pool, ticket.requestClass)
        return Refused(Refusal.OVERLOADED, maxOf(RETRY_MS, waitMs))
    }

    private fun queue(pool: PoolId): AdmissionQueue =
        queues.getOrPut(pool) { AdmissionQueue(rules, weightOf, { spareSlots(pool) }) { totalSlots(pool) } }

    private companion object {
        const val RETRY_MS = 500L
    }
}
