/** Runs events in virtual time. Events at equal times run in the order of their addition, so runs are deterministic. */
package org.hickorytiller.bench

import org.hickorytiller.core.TimeMs
import java.util.PriorityQueue

internal class VirtualTimeScheduler {
    private class Event(val atMs: Double, val order: Long, val action: () -> Unit)

    private val events = PriorityQueue<Event>(compareBy({ it.atMs }, { it.order }))
    private var order = 0L

    /** Current virtual time in milliseconds. */
    var nowMs = 0.0
        private set

    val now: TimeMs get() = TimeMs(nowMs.toLong())

    fun after(delayMs: Double, action: () -> Unit) {
        events += Event(nowMs + delayMs, order++, action)
    }

    fun at(timeMs: Long, action: () -> Unit) = after(timeMs - nowMs, action)

    fun every(intervalMs: Long, action: () -> Unit) {
        after(intervalMs.toDouble()) {
            action()
            if (nowMs < LAST_MS) every(intervalMs, action)
        }
    }

    fun run() {
        while (true) {
            val event = events.poll() ?: return
            nowMs = event.atMs
            event.action()
        }
    }

    private companion object {
        // By this time the last requests have ended or timed out.
        const val LAST_MS = RUN_MS + 100_000.0
    }
}
