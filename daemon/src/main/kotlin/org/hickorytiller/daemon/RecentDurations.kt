/** Estimates the duration of a route's responses from the latest ones, for a process that is about to stop. */
package org.hickorytiller.daemon

import org.hickorytiller.routes.RouteId

/** The durations of the latest complete responses of each route. Confined to the event loop. */
internal class RecentDurations {
    private val byRoute =
        object : LinkedHashMap<RouteId, ArrayDeque<Long>>() {
            override fun removeEldestEntry(eldest: Map.Entry<RouteId, ArrayDeque<Long>>) = size > MAX_ROUTES
        }

    /** Records that a response of [route] took [durationMs] from the receipt of its request. */
    fun record(route: RouteId, durationMs: Long) {
        val durationsMs = byRoute.getOrPut(route) { ArrayDeque() }
        durationsMs.addLast(durationMs)
        if (durationsMs.size > SAMPLES) durationsMs.removeFirst()
    }

    /** Returns the longest of the latest durations of [route]; null if there was no complete response. */
    fun longestMs(route: RouteId): Long? = byRoute[route]?.max()

    private companion object {
        // The longest of twenty is about the 95th percentile, so one slow response does not count for long.
        const val SAMPLES = 20

        // Routes come and go with the configuration.
        const val MAX_ROUTES = 4_096
    }
}
