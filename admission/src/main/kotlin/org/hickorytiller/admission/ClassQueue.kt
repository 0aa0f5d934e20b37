/** The waiting and running requests of one class in one pool. */
package org.hickorytiller.admission

import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.RequestClass
import org.hickorytiller.core.TimeMs
import kotlin.math.exp
import kotlin.math.roundToInt

internal class ClassQueue(requestClass: RequestClass, rules: AdmissionRules, weightOf: (CustomerId) -> Double) {
    /** The class in its current configuration. */
    var requestClass = requestClass
        private set
    val share = FairShare(rules, weightOf)
    val deadlines = IndexedHeap<Entry>(0) { a, b -> a.ticket.expiresAt < b.ticket.expiresAt }
    val running = EntryList()
    val counters = ClassCounters()

    /** Service time, as a moving average over the completed requests. */
    var serviceMs = rules.initialServiceMs.toDouble()
        private set

    /** Response length in tokens, as a moving average over the completed requests. */
    var responseTokens = rules.initialTokens.toDouble()
        private set
    private var ended = 0L

    /** Sum of the service times of the recent arrivals, decayed to [offeredAt]. */
    private var decayedArrivalServiceMs = 0.0
    private var offeredAt = TimeMs(0)

    /** Time of the last grant to the class, or of the first arrival at its empty queue if that is later. */
    var waitingSince = TimeMs(0)

    /** When a request was last queued for a grant by the floor rule. */
    var floorAdmittedAt: TimeMs? = null

    /** Number of preempted requests that still hold their slots. */
    var stoppingCount = 0

    val waiting: Int get() = deadlines.size

    fun reconfigure(configured: RequestClass) {
        if (configured !== requestClass) requestClass = configured
    }

    /** Counts an arrival, accepted or not. */
    fun recordArrival(now: TimeMs) {
        counters.offered++
        decayedArrivalServiceMs = decayedArrivalServiceMs * exp(-(now - offeredAt) / OFFERED_WINDOW_MS) + serviceMs
        offeredAt = now
    }

    /** Number of slots that the recent arrivals would occupy on average. */
    fun offeredSlots(now: TimeMs): Int =
        (decayedArrivalServiceMs * exp(-(now - offeredAt) / OFFERED_WINDOW_MS) / OFFERED_WINDOW_MS).roundToInt()

    fun add(entry: Entry, now: TimeMs) {
        if (waiting == 0) waitingSince = now
        deadlines.put(entry)
        share.enqueue(entry, responseTokens, now)
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

    /**
     * Ends a running request. Only a complete one is included in the averages, since an incomplete one does not show
     * the service time.
     */
    fun end(entry: Entry, now: TimeMs, complete: Boolean) {
        running.remove(entry)
        share.ended(entry.account)
        val startedAt = entry.startedAt ?: return
        if (entry.isPreempted) stoppingCount--
        if (complete && !entry.isPreempted) observe(now - startedAt, entry.tokens)
    }

    /** Returns the most recently started request that may be preempted, so that the least work is lost. */
    fun newestIdempotent(): Entry? {
        var entry = running.last
        while (entry != null && (entry.isPreempted || !entry.ticket.idempotent)) entry = entry.previous
        return entry
    }

    private fun observe(tookMs: Long, tokens: Long) {
        ended++
        val weight = maxOf(1.0 / ended, MOVING_AVERAGE_WEIGHT)
        serviceMs += weight * (maxOf(1L, tookMs) - serviceMs)
        responseTokens += weight * (maxOf(1L, tokens) - responseTokens)
    }

    private companion object {
        const val MOVING_AVERAGE_WEIGHT = 0.02

        // A shorter window would follow single arrivals; a longer one would miss the start of a burst.
        const val OFFERED_WINDOW_MS = 2_000.0
    }
}

/**
 * Whether the tier of [queue] and the more urgent ones together have fewer waiting and running requests than [slots].
 * Complements the predicted load, which follows the quota of the last exchange and may lag behind the running requests.
 */
internal fun hasRoom(classes: List<ClassQueue>, queue: ClassQueue, slots: Int): Boolean {
    var requests = 0
    for (other in classes) {
        if (other.requestClass.tier <= queue.requestClass.tier) requests += other.waiting + other.running.size
    }
    return requests < slots
}
