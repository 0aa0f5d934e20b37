/**
 * Number of requests that a backend server gets at once, adapted to the latency that it shows: additive increase while
 * the latency is near the best, multiplicative decrease when it is a multiple of it.
 */
package org.hickorytiller.balancing

internal class ConcurrencyLimit(slots: Int) {
    private var slots = slots
    private var limit = slots.toDouble()
    private var sinceDecrease = 0

    val value: Int get() = limit.toInt()

    /** Takes a changed number of slots. */
    fun resize(newSlots: Int) {
        if (newSlots == slots) return
        limit = if (limit >= slots) newSlots.toDouble() else minOf(limit, newSlots.toDouble())
        slots = newSlots
    }

    /** Takes the latency of one answer relative to the median of the model, with [inFlight] requests on the server. */
    fun observe(ratio: Double, inFlight: Int) {
        sinceDecrease++
        // A slow answer of a nearly idle server says nothing about too many requests.
        // One decrease for each round of answers.
        val overloaded = ratio > OVERLOAD_RATIO && inFlight * 2 >= limit
        if (overloaded && sinceDecrease >= limit) {
            limit = maxOf(minOf(slots.toDouble(), maxOf(1.0, slots * LEAST_PART)), limit * DECREASE)
            sinceDecrease = 0
        } else if (!overloaded) {
            limit = minOf(slots.toDouble(), limit + 1 / maxOf(1.0, limit))
        }
    }

    private companion object {
        const val OVERLOAD_RATIO = 1.8
        const val DECREASE = 0.85

        // The slots are what the platform states, so the limit never falls far below them.
        const val LEAST_PART = 0.25
    }
}
