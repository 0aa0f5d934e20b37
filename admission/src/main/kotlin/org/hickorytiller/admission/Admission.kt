/**
 * Admission of one router over all pools: limits, queues, grants, preemption and the reports exchanged with peers. The
 * decisions are made by [AdmissionQueue], [CustomerLimiter] and [PeerSlotQuotas].
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

/** Number of requests that may be sent to the pool now. */
typealias FreeSlots = (PoolId) -> Int

/** Number of slots of the pool that this router may use, free or not. */
typealias TotalSlots = (PoolId) -> Int

/**
 * Called by admission to start, refuse or preempt one request.
 *
 * @property acquireSlot acquires a slot; false if none is available in spite of the grant
 * @property onRefused receives the refusal; the request has not run
 * @property preempt stops the running request; [Admission.ended] must be called afterwards
 */
class AdmissionCallbacks(
    val acquireSlot: () -> Boolean,
    val onRefused: (AdmissionRefusal) -> Unit,
    val preempt: () -> Unit,
)

/**
 * Admission of one router. Confined to the event loop.
 *
 * @param freeSlots free slots within this router's quota
 * @param slotsBeyondQuota number of requests beyond the quota that the servers of a pool may queue; only its most
 *   urgent tier may use them, because that tier must not wait for the next exchange of quotas
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

    /** Returns the number of requests waiting for [pool]. */
    fun waiting(pool: PoolId): Int = queues[pool]?.size ?: 0

    /** Returns the counters of [pool] by class. */
    fun counters(pool: PoolId): Map<ClassId, ClassCounters> = queues[pool]?.counters ?: emptyMap()

    /** Predicts how long a request of [requestClass] that arrives at [pool] now would wait for a slot. */
    fun predictedWaitMs(pool: PoolId, requestClass: RequestClass): Long =
        queue(pool).predictedWaitMs(requestClass, clock())

    /** Returns an unused identifier for a ticket. */
    fun newId() = TicketId(nextId++)

    /** Requests a slot. The start or the refusal is reported through [callbacks], immediately or later. */
    fun request(ticket: Ticket, callbacks: AdmissionCallbacks) {
        val now = clock()
        val limited = limiter.accept(ticket.customer, ticket.requestClass.id, now)
        if (limited != null) return callbacks.onRefused(limited)
        requests[ticket.id] = Request(ticket, callbacks)
        queue(ticket.pool).offer(ticket, now).fold({ refuse(ticket, it) }, { displaced ->
            if (displaced != null) refuse(displaced, overloaded(displaced))
            grantFreeSlots(ticket.pool)
        })
    }

    /**
     * Suspends until [ticket] may start. [acquireSlot] acquires the slot at the moment of the grant, so no other
     * request can take it before this coroutine resumes; [releaseSlot] releases it if the coroutine is cancelled before
     * that. After a start, [ended] must be called. [preempt] is called if the running request has to stop for a more
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
        val acquire = {
            started = acquireSlot()
            started?.let { outcome.complete(it.right()) } ?: false
        }
        request(ticket, AdmissionCallbacks(acquire, { outcome.complete(it.left()) }, preempt))
        try {
            while (true) {
                val waitMs = maxOf(1L, ticket.expiresAt - clock())
                withTimeoutOrNull(waitMs) { outcome.await() }?.let { return it }
                expire(ticket.pool)
            }
        } catch (e: CancellationException) {
            started?.let(releaseSlot)
            ended(ticket, complete = false)
            throw e
        }
    }

    /** Grants the free slots of [pool] to waiting requests. Must be called whenever slots become free. */
    fun grantFreeSlots(pool: PoolId) {
        val queue = queues[pool] ?: return
        expire(pool)
        repeat(freeSlots(pool)) { start(queue.grant(clock()) ?: return) }
        val blocked = queue.blockedMostUrgentCount
        if (blocked > 0) repeat(minOf(blocked, slotsBeyondQuota(pool))) { start(queue.grant(clock()) ?: return) }
        while (true) {
            val victim = queue.preempt(clock()) ?: return
            requests[victim.id]?.callbacks?.preempt?.invoke()
        }
    }

    /** Refuses the requests of [pool] that have waited for the full timeout of their class. */
    fun expire(pool: PoolId) {
        queues[pool]?.expire(clock()) { refuse(it, overloaded(it)) }
    }

    /**
     * Records that the request of [ticket] ended, with or without a [complete] response, or that its caller
     * disconnected while it waited. Its slot is granted to the next request.
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

    /** Creates the next report to peers. [inFlight] is the requests in flight from this router by backend server. */
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
        return PeerReport(++sequence, demand, customers, inFlight).also(slotQuotas::recordSent)
    }

    /** Applies a report of the peer [process], and grants the slots that the new quotas leave free. */
    fun applyPeerReport(process: ProcessId, report: PeerReport) {
        if (slotQuotas.apply(process, report, clock(), ::addPeerChange)) queues.keys.forEach(::grantFreeSlots)
    }

    /** Removes the peer [process], which is dead or has left, and grants the slots that this frees. */
    fun removePeer(process: ProcessId) {
        slotQuotas.remove(process, ::addPeerChange)
        queues.keys.forEach(::grantFreeSlots)
    }

    /** Removes the state of customers that have been idle for a long time. Must be called every few minutes. */
    fun forgetIdle() {
        limiter.forgetIdle(clock())
        slotQuotas.forgetIdle(clock())
    }

    private fun addPeerChange(change: PeerChange) {
        val now = clock()
        limiter.addRemote(change.customer, change.requestClass, change.requests, change.runningChange, now)
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
        request.callbacks.onRefused(refused)
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
