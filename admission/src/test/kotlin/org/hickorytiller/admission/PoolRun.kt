/** Simulates admission to one pool in virtual time, with given arrivals and service times. */
package org.hickorytiller.admission

import org.hickorytiller.core.ClassId
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.RequestClass
import org.hickorytiller.core.Tier
import org.hickorytiller.core.TimeMs
import java.util.PriorityQueue

internal val POOL = PoolId("chat")

internal fun requestClass(name: String, tier: Int, targetMs: Long = 1_000, timeoutMs: Long = 30_000) = RequestClass(ClassId(name), Tier(tier), targetMs, 28, timeoutMs)

internal class Arrival(
    val atMs: Long,
    val customer: String,
    val requestClass: RequestClass,
    val serviceMs: Long,
    val tokens: Int,
    val idempotent: Boolean = false,
)

internal class Outcome(val arrival: Arrival) {
    var startedAtMs = -1L
    var refusedAtMs = -1L
    var isPreempted = false
    val isRefusedOnArrival: Boolean get() = refusedAtMs == arrival.atMs
    val isTimedOut: Boolean get() = refusedAtMs >= arrival.atMs + arrival.requestClass.timeoutMs
    val waitMs: Long get() = startedAtMs - arrival.atMs
}

internal class PoolRun(private val slots: Int, rules: AdmissionRules = AdmissionRules(), weightOf: WeightOf = { 1.0 }) {
    private class Event(val atMs: Long, val order: Long, val action: () -> Unit)

    private val events = PriorityQueue<Event>(compareBy({ it.atMs }, { it.order }))
    private var order = 0L
    private var nowMs = 0L
    private var inUse = 0
    val admission = Admission({ TimeMs(nowMs) }, { slots - inUse }, { slots }, rules = rules, weightOf = weightOf)
    val outcomes = mutableListOf<Outcome>()
    val tokensByCustomer = HashMap<String, Long>()

    fun run(arrivals: List<Arrival>, untilMs: Long = Long.MAX_VALUE): List<Outcome> {
        arrivals.forEach { schedule(it.atMs) { arrive(it) } }
        while (true) {
            val event = events.poll() ?: break
            if (event.atMs > untilMs) break
            nowMs = event.atMs
            event.action()
        }
        return outcomes
    }

    private fun schedule(timeMs: Long, action: () -> Unit) {
        events += Event(timeMs, order++, action)
    }

    private fun arrive(arrival: Arrival) {
        val outcome = Outcome(arrival).also { outcomes += it }
        val now = TimeMs(nowMs)
        val startBy = now + arrival.requestClass.firstTokenTargetMs
        val ticket =
            Ticket(
                admission.newId(),
                CustomerId(arrival.customer),
                arrival.requestClass,
                POOL,
                now,
                startBy,
                arrival.idempotent,
            )
        val callbacks =
            AdmissionCallbacks(
                acquireSlot = { start(ticket, outcome) },
                onRefused = { outcome.refusedAtMs = nowMs },
                preempt = { stop(ticket, outcome) },
            )
        admission.request(ticket, callbacks)
        checkExpiry(ticket, outcome)
    }

    private fun checkExpiry(ticket: Ticket, outcome: Outcome) {
        if (outcome.startedAtMs >= 0 || outcome.refusedAtMs >= 0) return
        schedule(maxOf(nowMs + 50, ticket.expiresAt.value)) {
            admission.expire(POOL)
            checkExpiry(ticket, outcome)
        }
    }

    private fun start(ticket: Ticket, outcome: Outcome): Boolean {
        inUse++
        outcome.startedAtMs = nowMs
        val arrival = outcome.arrival
        val steps = 10
        for (step in 1..steps) {
            schedule(nowMs + arrival.serviceMs * step / steps) {
                if (!outcome.isPreempted) {
                    tokensByCustomer.merge(arrival.customer, (arrival.tokens / steps).toLong(), Long::plus)
                    admission.charge(ticket, arrival.tokens / steps)
                    if (step == steps) release(ticket, complete = true)
                }
            }
        }
        return true
    }

    private fun stop(ticket: Ticket, outcome: Outcome) {
        outcome.isPreempted = true
        schedule(nowMs) { release(ticket, complete = false) }
    }

    private fun release(ticket: Ticket, complete: Boolean) {
        inUse--
        admission.ended(ticket, complete)
    }
}
