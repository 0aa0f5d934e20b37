/** The waiting and running requests of one class in one pool. */
package org.hickorytiller.admission

import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.RequestClass
import org.hickorytiller.core.TimeMs
import kotlin.math.exp
import kotlin.math.roundToInt

internal class ClassQueue(requestClass: RequestClass, rules: AdmissionRules, weightOf: (CustomerId) -> Double) {
    /** The class as it is configured now. */
    var requestClass = requestClass
        private set
    val share = FairShare(rules, weightOf)
    val deadlines = IndexedHeap<Entry>(0) { a, b -> a.ticket.giveUpAt < b.ticket.giveUpAt }
    val running = EntryList()
    val counters = ClassCounters()

    /** Service time and length of an answer, as moving averages over the requests that ended. */
    var serviceMs = rules.initialServiceMs.toDouble()
        private set
    var answerTokens = rules.initialTokens.toDouble()
        private set
    private var ended = 0L
    private var offeredMs = 0.0
    private var offeredAt = TimeMs(0)

    /** When the class last had a grant, or began to wait. */
    var waitingSince = TimeMs(0)

    /** When a request was last accepted to wait for the floor rule. */
    var floorSeatAt: TimeMs? = null

    /** Running requests that were told to stop, and still hold their slots. */
    var stopping = 0

    val waiting: Int get() = deadlines.size

    fun reconfigure(newest: RequestClass) {
        if (newest !== requestClass) requestClass = newest
    }

    /** Counts an arrival, accepted or not. */
    fun offered(now: TimeMs) {
        counters.offered++
        offeredMs = offeredMs * exp(-(now - offeredAt) / OFFERED_WINDOW_MS) + serviceMs
        offeredAt = now
    }

    /** Slots that the arrivals of the last seconds would keep busy. */
    fun offeredSlots(now: TimeMs): Int =
        (offeredMs * exp(-(now - offeredAt) / OFFERED_WINDOW_MS) / OFFERED_WINDOW_MS).roundToInt()

    fun add(entry: Entry, now: TimeMs) {
        if (waiting == 0) waitingSince = now
        deadlines.put(entry)
        share.enqueue(entry, answerTokens, now)
    }

    fun removeWaiting(entry: Entry) {
        deadlines.remove(entry)
        share.dequeue(entry)
    }

    fun start(entry: Entry, now: TimeMs) {
        removeWaiting(entry)
        entry.startedAt = now
        share.started(entry.account)
        running.addLast(entry)
        waitingSince = now
        counters.granted++
    }

    /** Ends a running request. An incomplete one says nothing about the service time. */
    fun end(entry: Entry, now: TimeMs, complete: Boolean) {
        running.remove(entry)
        share.ended(entry.account)
        val startedAt = entry.startedAt ?: return
        if (entry.preempted) stopping--
        if (complete && !entry.preempted) observe(now - startedAt, entry.tokens)
    }

    /** The request of the class that has run for the shortest time and may be stopped. */
    fun newestIdempotent(): Entry? {
        var entry = running.last
        while (entry != null && (entry.preempted || !entry.ticket.idempotent)) entry = entry.previous
        return entry
    }

    private fun observe(tookMs: Long, tokens: Long) {
        ended++
        val part = maxOf(1.0 / ended, MOVING_AVERAGE_PART)
        serviceMs += part * (maxOf(1L, tookMs) - serviceMs)
        answerTokens += part * (maxOf(1L, tokens) - answerTokens)
    }

    private companion object {
        const val MOVING_AVERAGE_PART = 0.02

        // A shorter window follows single arrivals, a longer one misses the start of a burst.
        const val OFFERED_WINDOW_MS = 2_000.0
    }
}

/**
 * Whether the tier of [queue] and the more urgent ones together have fewer requests than [slots]. The prediction
 * follows the quota of the last exchange and may lag behind what really runs.
 */
internal fun hasRoom(classes: List<ClassQueue>, queue: ClassQueue, slots: Int): Boolean {
    var requests = 0
    for (other in classes) {
        if (other.requestClass.tier <= queue.requestClass.tier) requests += other.waiting + other.running.size
    }
    return requests < slots
}
