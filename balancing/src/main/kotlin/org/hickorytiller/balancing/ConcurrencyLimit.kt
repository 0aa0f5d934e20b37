/**
 * Limit of the concurrent requests on a backend server, adapted to its latency: additive increase while the latency is
 * close to the median of the pool, multiplicative decrease when it exceeds [ConcurrencyLimit.OVERLOAD_RATIO] times the
 * median.
 */
package org.hickorytiller.balancing

internal class ConcurrencyLimit(slots: Int) {
    private var slots = slots
    private var limit = slots.toDouble()
    private var responsesSinceDecrease = 0

    val value: Int get() = limit.toInt()

    /** Applies a new number of slots. A limit equal to the old number becomes [newSlots]; a lower one is not raised. */
    fun resize(newSlots: Int) {
        if (newSlots == slots) return
        limit = if (limit >= slots) newSlots.toDouble() else minOf(limit, newSlots.toDouble())
        slots = newSlots
    }

    /** Records the [ratio] of the latency of one response to the median, with [inFlight] requests on the server. */
    fun observe(ratio: Double, inFlight: Int) {
        responsesSinceDecrease++
        // A slow response of a nearly idle server is no sign of too many requests.
        val overloaded = ratio > OVERLOAD_RATIO && inFlight * 2 >= limit
        // At most one decrease per round of as many responses as the limit.
        if (overloaded && responsesSinceDecrease >= limit) {
            limit = maxOf(minOf(slots.toDouble(), maxOf(1.0, slots * MIN_SLOTS_FRACTION)), limit * DECREASE_FACTOR)
            responsesSinceDecrease = 0
        } else if (!overloaded) {
            limit = minOf(slots.toDouble(), limit + 1 / maxOf(1.0, limit))
        }
    }

    private companion object {
        const val OVERLOAD_RATIO = 1.8
        const val DECREASE_FACTOR = 0.85

        // The platform declares the number of slots, so the limit stays above a fraction of it.
        const val MIN_SLOTS_FRACTION = 0.25
    }
}
