/**
 * Admission of one router over all pools: limits, queues, grants, preemption, and what is exchanged with peers. The
 * decisions are those of [AdmissionQueue], [CustomerLimiter] and [PeerSlotQuotas].
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
 * @property acquireSlot takes a slot; false if there is none after all
 * @property refused receives the refusal; the request has not run
 * @property preempt stops the running request; [Admission.ended] has to follow
 */
class AdmissionCallbacks(
    val acquireSlot: () -> Boolean,
    val refused: (AdmissionRefusal) -> Unit,
    val preempt: () -> Unit,
)

/**
 * Admission of one router. Confined to the event loop.
 *
 * @param freeSlots free slots within this router's quota
 * @param slotsBeyondQuota requests beyond the quota that the servers would queue; only the most urgent tier of a pool
 *   gets them, so that it does not wait for the next exchange of quotas
 */
class Admission(
    private val clock: Clock,
    private val freeSlots: FreeSlots,
    private val totalSlots: TotalSlots = freeSlots,
    private val slotsBeyondQuota: FreeSlots = { 0 },
    private val rules: AdmissionRules = AdmissionRules(),
    private val weightOf: WeightOf = { 1.0 },
    private val limiter: CustomerLimiter = CustomerLimiter(),
    private val slotQuotas: PeerSlotQuotas = PeerSlotQuotas(ProcessId(""), rules) { emptyList() },
) {
    private class Request(val ticket: Ticket, val callbacks: AdmissionCallbacks)

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

    /** Asks for a slot. [callbacks] is told of the start or of the refusal, at once or later. */
    fun request(ticket: Ticket, callbacks: AdmissionCallbacks) {
        val now = clock()
        val limited = limiter.accept(ticket.customer, ticket.requestClass.id, now)
        if (limited != null) return callbacks.refused(limited)
        requests[ticket.id] = Request(ticket, callbacks)
        queue(ticket.pool).offer(ticket, now).fold({ refuse(ticket, it) }, { displaced ->
            if (displaced != null) refuse(displaced, overloaded(displaced))
            grantFreeSlots(ticket.pool)
        })
    }

    /**
     * Suspends until [ticket] may start. The slot is taken by [acquireSlot] at the moment of the grant, so no other
     * request can take it meanwhile; [releaseSlot] gives it back if the caller is cancelled before it learns of the
     * grant. After a start, [ended] has to follow. [preempt] is called if the running request has to stop for a more
     * urgent one.
     */
    suspend fun <T : Any> admit(
        ticket: Ticket,
        acquireSlot: () -> T?,
        releaseSlot: (T) -> Unit,
        preempt: () -> Unit,
    ): Either<AdmissionRefusal, T> {
        val outcome = CompletableDeferred<Either<AdmissionRefusal, T>>()
        var started: T? = null
        val take = {
            started = acquireSlot()
            started?.let { outcome.complete(it.right()) } ?: false
        }
        request(ticket, AdmissionCallbacks(take, { outcome.complete(it.left()) }, preempt))
        try {
            while (true) {
                val waitMs = maxOf(1L, ticket.giveUpAt - clock())
                withTimeoutOrNull(waitMs) { outcome.await() }?.let { return it }
                expire(ticket.pool)
            }
        } catch (e: CancellationException) {
            started?.let(releaseSlot)
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
        if (stuck > 0) repeat(minOf(stuck, slotsBeyondQuota(pool))) { start(queue.grant(clock()) ?: return) }
        while (true) {
            val victim = queue.preempt(clock()) ?: return
            requests[victim.id]?.callbacks?.preempt?.invoke()
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
        limiter.ended(ticket.customer, ticket.requestClass.id)
        val queue = queue(ticket.pool)
        queue.cancel(ticket.id)
        queue.ended(ticket.id, clock(), complete)
        grantFreeSlots(ticket.pool)
    }

    /** Charges the customer of [ticket] for [tokens] streamed to it. */
    fun charge(ticket: Ticket, tokens: Int) {
        val now = clock()
        queue(ticket.pool).charge(ticket.id, tokens, now)
        limiter.spend(ticket.customer, ticket.requestClass.id, tokens.toLong(), now)
    }

    /** The report to peers. [inFlight] is this router's in-flight requests by backend server. */
    fun nextPeerReport(inFlight: Map<BackendServerId, Int> = emptyMap()): PeerReport {
        val customers = ArrayList<CustomerReport>()
        val now = clock()
        queues.forEach { (pool, queue) ->
            queue.reportChanged(now) { requestClass, customer, tokens ->
                val running = limiter.concurrent(customer, requestClass)
                val perMinute = limiter.requestsPerMinute(customer, requestClass, now)
                customers += CustomerReport(pool, requestClass, customer, tokens.toLong(), running, perMinute)
            }
        }
        val demand = queues.flatMap { (pool, queue) -> queue.demand(pool, now) }
        return PeerReport(++sequence, demand, customers, inFlight).also(slotQuotas::reported)
    }

    /** Takes the report of the peer [process]. Slots that it leaves free are granted. */
    fun applyPeerReport(process: ProcessId, report: PeerReport) {
        if (slotQuotas.apply(process, report, clock(), ::foldIn)) queues.keys.forEach(::grantFreeSlots)
    }

    /** Forgets the peer [process], which is dead or has left, and grants its slots. */
    fun removePeer(process: ProcessId) {
        slotQuotas.remove(process, ::foldIn)
        queues.keys.forEach(::grantFreeSlots)
    }

    /** Drops figures of customers that have been idle for long. To be called every few minutes. */
    fun forgetIdle() {
        limiter.forgetIdle(clock())
        slotQuotas.forgetIdle(clock())
    }

    private fun foldIn(change: PeerChange) {
        val now = clock()
        limiter.addRemote(change.customer, change.requestClass, change.requests, change.running, now)
        if (change.tokens <= 0.0) return
        limiter.spend(change.customer, change.requestClass, change.tokens.toLong(), now)
        queue(change.pool).chargeRemote(change.requestClass, change.customer, change.tokens, now)
    }

    private fun start(ticket: Ticket) {
        val request = requests[ticket.id] ?: return
        if (request.callbacks.acquireSlot()) return
        queue(ticket.pool).ended(ticket.id, clock(), complete = false)
        refuse(ticket, AdmissionRefusal(RefusalReason.NO_BACKEND_SERVER, RETRY_MS))
    }

    private fun refuse(ticket: Ticket, refused: AdmissionRefusal) {
        val request = requests.remove(ticket.id) ?: return
        limiter.ended(ticket.customer, ticket.requestClass.id)
        request.callbacks.refused(refused)
    }

    private fun overloaded(ticket: Ticket): AdmissionRefusal {
        val waitMs = predictedWaitMs(ticket.pool, ticket.requestClass)
        return AdmissionRefusal(RefusalReason.OVERLOADED, maxOf(RETRY_MS, waitMs))
    }

    private fun queue(pool: PoolId): AdmissionQueue =
        queues.getOrPut(pool) { AdmissionQueue(rules, weightOf, { slotsBeyondQuota(pool) }) { totalSlots(pool) } }

    private companion object {
        const val RETRY_MS = 500L
    }
}
