/** An in-memory buffer of the most recent state changes of one process. */
package org.hickorytiller.timeline

import org.hickorytiller.core.HostId
import org.hickorytiller.core.ProcessId
import org.hickorytiller.core.wallTimeMs

/** Records an event; the type under which other components receive [Timeline.record]. */
typealias RecordEvent = (kind: EventKind, detail: String, position: LogPosition?) -> Unit

/**
 * A ring buffer of the last [capacity] events. Confined to the event loop.
 *
 * @param wallClock wall clock in milliseconds since 1970
 */
class Timeline(
    private val host: HostId,
    private val process: ProcessId,
    private val capacity: Int = DEFAULT_CAPACITY,
    private val wallClock: () -> Long = ::wallTimeMs,
) {
    private val events = ArrayDeque<TimelineEvent>()

    /** Number of events recorded so far, including overwritten ones. */
    var recorded = 0L
        private set

    /** Adds an event and removes the oldest one if the buffer is full. Truncates [detail] to [MAX_DETAIL_CHARS]. */
    fun record(kind: EventKind, detail: String, position: LogPosition? = null) {
        recorded++
        if (events.size == capacity) events.removeFirst()
        events += TimelineEvent(host, process, recorded, wallClock(), kind, detail.take(MAX_DETAIL_CHARS), position)
    }

    /** Returns the events with a sequence greater than [after], oldest first. */
    fun since(after: Long = 0): List<TimelineEvent> = events.filter { it.sequence > after }

    companion object {
        /** About 1 MiB at 250 bytes per event; a router records a few events per minute. */
        const val DEFAULT_CAPACITY = 4096

        /** Limits the memory used by an event whose detail contains input. */
        const val MAX_DETAIL_CHARS = 500
    }
}
