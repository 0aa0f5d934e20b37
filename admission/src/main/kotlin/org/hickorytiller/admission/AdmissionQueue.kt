/**
 * The waiting and running requests of one pool: strict priority of tiers, a floor rule that keeps classes from
 * starving, fair shares of the customers within a class, early refusals, and the choice of running requests to preempt.
 * Has no clock and does no I/O: the caller passes the number of slots and the time.
 */
package org.hickorytiller.admission

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.hickorytiller.core.ClassId
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.RequestClass
import org.hickorytiller.core.TimeMs

/** Weight of a customer relative to others; greater than 0. */
typealias WeightOf = (CustomerId) -> Double

/**
 * Admission queue of one pool.
 *
 * @param slots number of slots that this router may use in the pool, free or not
 * @param slotsBeyondQuota requests of the most urgent tier that the pool accepts in addition to [slots]
 */
class AdmissionQueue(
    private val rules: AdmissionRules = AdmissionRules(),
    private val weightOf: WeightOf = { 1.0 },
    private val slotsBeyondQuota: () -> Int = { 0 },
    private val slots: () -> Int,
) {
    private val entries = HashMap<TicketId, Entry>()
    private val classes = ArrayList<ClassQueue>()
    private val load = PredictedLoad()
    private var advancedTo: TimeMs? = null
    private var grantsSinceFloor = 0

    /** Number of waiting requests. */
    val size: Int get() = classes.sumOf { it.waiting }

    /** Number of running requests. */
    val running: Int get() = classes.sumOf { it.running.size }

    /** Counters by class. */
    val counters: Map<ClassId, ClassCounters>
        get() = classes.associate { it.requestClass.id to it.counters }

    /** Returns the demand of this router by class. */
    fun demand(pool: PoolId, now: TimeMs): List<ClassDemand> = classes.map {
        val requestClass = it.requestClass
        ClassDemand(pool, requestClass.id, requestClass.tier, it.waiting, it.running.size, it.offeredSlots(now))
    }

    /** Passes each customer of each class that has changed since the previous call, with its decayed tokens. */
    internal fun reportChanged(now: TimeMs, report: (ClassId, CustomerId, Double) -> Unit) {
        classes.forEach { queue ->
            queue.share.reportChanged(now) { account, tokens ->
                report(queue.requestClass.id, account.customer, tokens)
            }
        }
    }

    /**
     * Queues [ticket], or refuses it if it would not start by [Ticket.startBy]. If [ticket] displaces a waiting request
     * whose customer is further over its share, returns that request, which the caller has to refuse; otherwise null.
     */
    fun offer(ticket: Ticket, now: TimeMs): Either<AdmissionRefusal, Ticket?> {
        advance(now)
        val queue = queueOf(ticket.requestClass)
        queue.recordArrival(now)
        val available = slotsFor(queue)
        if (slots() + slotsBeyondQuota() <= 0) return refuse(queue, RefusalReason.NO_BACKEND_SERVER, NO_SERVER_RETRY_MS)
        val waitMs = load.waitMs(ticket.requestClass.tier, available)
        if (waitMs == 0L || now + waitMs <= ticket.startBy || hasRoom(classes, queue, available)) {
            load.add(ticket.requestClass.tier, queue.serviceMs)
            enqueue(Entry(ticket, queue.share.account(ticket.customer), queue, queue.serviceMs, false), now)
            return null.right()
        }
        if (admitByFloor(queue, now)) {
            enqueue(Entry(ticket, queue.share.account(ticket.customer), queue, 0.0, true), now)
            return null.right()
        }
        val displaced =
            queue.share.displacedBy(ticket.customer, queue.responseTokens, now)
                ?: return refuse(queue, RefusalReason.OVERLOADED, now + waitMs - ticket.startBy)
        removeEntry(displaced)
        queue.counters.displaced++
        val account = queue.share.account(ticket.customer)
        enqueue(Entry(ticket, account, queue, displaced.predictedMs, displaced.isFloorAdmitted), now)
        return displaced.ticket.right()
    }

    /** Predicts how long a request of [requestClass] that arrives now would wait for a slot. */
    fun predictedWaitMs(requestClass: RequestClass, now: TimeMs): Long {
        advance(now)
        return load.waitMs(requestClass.tier, slots())
    }

    /**
     * Number of waiting requests of the most urgent tier if they are blocked, that is, if this router runs no less
     * urgent request whose slot will become free for that tier; otherwise 0.
     */
    val blockedMostUrgentCount: Int
        get() {
            val top = classes.firstOrNull()?.requestClass?.tier ?: return 0
            if (classes.any { it.requestClass.tier != top && it.running.size > 0 }) return 0
            return classes.sumOf { if (it.requestClass.tier == top) it.waiting else 0 }
        }

    /** Grants a free slot to the next request, which counts as running from now on; null if none waits. */
    fun grant(now: TimeMs): Ticket? {
        advance(now)
        val mostUrgent = classes.firstOrNull { it.waiting > 0 } ?: return null
        val starving = starving(mostUrgent, now)
        val queue = starving ?: mostUrgent
        if (starving == null) {
            grantsSinceFloor++
        } else {
            grantsSinceFloor = 0
            queue.counters.floorGrants++
        }
        val entry = queue.share.first()?.waiting?.first ?: return null
        queue.start(entry, now)
        return entry.ticket
    }

    /** Removes a waiting request whose caller disconnected. */
    fun cancel(id: TicketId) {
        val entry = entries[id] ?: return
        if (entry.startedAt != null) return
        removeEntry(entry)
        entry.queue.counters.cancelled++
        if (entry.predictedMs > 0) load.remove(entry.ticket.requestClass.tier, entry.predictedMs)
    }

    /**
     * Removes the requests that have waited for the full timeout of their class and passes each to [refused]. An
     * accepted request is not refused earlier: delays beyond the prediction are mostly caused by less urgent requests,
     * so an earlier refusal would shed a higher tier in favour of a lower one.
     */
    fun expire(now: TimeMs, refused: (Ticket) -> Unit) {
        advance(now)
        classes.forEach { queue ->
            while (true) {
                val entry = queue.deadlines.top ?: break
                if (now < entry.ticket.expiresAt) break
                removeEntry(entry)
                queue.counters.expired++
                refused(entry.ticket)
            }
        }
    }

    /** Charges the customer of a running request for [tokens] that were streamed to it. */
    fun charge(id: TicketId, tokens: Int, now: TimeMs) {
        val entry = entries[id] ?: return
        entry.tokens += tokens
        entry.queue.counters.tokens += tokens
        if (rules.mechanisms.chargeWhileStreaming) entry.queue.share.charge(entry.account, tokens, now)
    }

    /** Records that a running request released its slot, and whether its response was [complete]. */
    fun ended(id: TicketId, now: TimeMs, complete: Boolean = true) {
        advance(now)
        val entry = entries.remove(id) ?: return
        if (entry.startedAt == null) return
        if (!rules.mechanisms.chargeWhileStreaming) {
            entry.queue.share.charge(entry.account, entry.tokens.toInt(), now)
        }
        entry.queue.end(entry, now, complete)
        if (entry.predictedMs > 0 && !entry.isPreempted) {
            load.recordEnd(entry.ticket.requestClass.tier, entry.predictedMs, now - (entry.startedAt ?: now), complete)
        }
    }

    /**
     * Chooses a running idempotent request to preempt for a more urgent tier that would otherwise start too late; null
     * if none has to be or can be preempted. Must only be called while no slot is free. The caller stops the request
     * and then calls [ended].
     */
    fun preempt(now: TimeMs): Ticket? {
        val urgent = classes.firstOrNull { it.waiting > 0 } ?: return null
        val nearest = urgent.deadlines.top ?: return null
        val stopping = classes.sumOf { it.stoppingCount }
        val slackMs = maxOf(0L, nearest.ticket.startBy - now - PREEMPTION_MARGIN_MS)
        val runningMs = classes.sumOf { it.running.size * it.serviceMs }
        val count = running
        // Slots expected to become free within slackMs, at the mean service time of the running requests.
        val expectedReleases = if (runningMs > 0) slackMs * count / (runningMs / count) else 0.0
        if (urgent.waiting - stopping <= expectedReleases) return null
        for (index in classes.indices.reversed()) {
            val queue = classes[index]
            if (queue.requestClass.tier <= urgent.requestClass.tier) return null
            val victim = queue.newestIdempotent() ?: continue
            victim.isPreempted = true
            queue.stoppingCount++
            queue.counters.preempted++
            queue.counters.wastedTokens += victim.tokens
            return victim.ticket
        }
        return null
    }

    /** Adds [tokens] that another router charged to [customer]. */
    fun chargeRemote(requestClass: ClassId, customer: CustomerId, tokens: Double, now: TimeMs) {
        classes.firstOrNull { it.requestClass.id == requestClass }?.share?.chargeRemote(customer, tokens, now)
    }

    private fun slotsFor(queue: ClassQueue): Int =
        if (queue.requestClass.tier == classes[0].requestClass.tier) slots() + slotsBeyondQuota() else slots()

    private fun enqueue(entry: Entry, now: TimeMs) {
        entries[entry.ticket.id] = entry
        entry.queue.add(entry, now)
    }

    // While more urgent tiers occupy every slot, a class may queue at most one request in each starvation bound; the
    // floor rule grants it no more than that. Less urgent requests do not influence the decision.
    private fun admitByFloor(queue: ClassQueue, now: TimeMs): Boolean {
        val last = queue.floorAdmittedAt
        if (last != null && now - last < rules.starvationBoundMs) return false
        if (!load.isOccupiedAbove(queue.requestClass.tier, slots())) return false
        queue.floorAdmittedAt = now
        return true
    }

    private fun removeEntry(entry: Entry) {
        entries.remove(entry.ticket.id)
        entry.queue.removeWaiting(entry)
    }

    private fun refuse(
        queue: ClassQueue,
        reason: RefusalReason,
        retryAfterMs: Long,
    ): Either<AdmissionRefusal, Ticket?> {
        queue.counters.refused++
        return AdmissionRefusal(reason, maxOf(MIN_RETRY_MS, retryAfterMs)).left()
    }

    private fun starving(mostUrgent: ClassQueue, now: TimeMs): ClassQueue? {
        if (!rules.mechanisms.floor || grantsSinceFloor < rules.grantsPerFloorGrant - 1) return null
        var longest: ClassQueue? = null
        for (queue in classes) {
            if (queue === mostUrgent || queue.waiting == 0) continue
            if (now - queue.waitingSince < rules.starvationBoundMs) continue
            if (longest == null || queue.waitingSince < longest.waitingSince) longest = queue
        }
        return longest
    }

    private fun advance(now: TimeMs) {
        if (advancedTo == now) return
        advancedTo = now
        load.advance(now, slots(), slotsBeyondQuota())
    }

    private fun queueOf(requestClass: RequestClass): ClassQueue {
        for (queue in classes) {
            if (queue.requestClass.id == requestClass.id) {
                if (queue.requestClass.tier == requestClass.tier) return queue.also { it.reconfigure(requestClass) }
                queue.reconfigure(requestClass)
                classes.sortBy { it.requestClass.tier }
                return queue
            }
        }
        val queue = ClassQueue(requestClass, rules, weightOf)
        classes += queue
        classes.sortBy { it.requestClass.tier }
        return queue
    }

    private companion object {
        const val MIN_RETRY_MS = 100L

        // The list of backend servers is refreshed every 500 ms, so an earlier retry would see the same list.
        const val NO_SERVER_RETRY_MS = 1_000L

        // Covers the time between cancelling a request and the release of its slot.
        const val PREEMPTION_MARGIN_MS = 100L
    }
}
