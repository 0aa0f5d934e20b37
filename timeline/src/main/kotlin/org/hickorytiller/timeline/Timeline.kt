/** The events of one process, kept in memory for the most recent changes of state. */
package org.hickorytiller.timeline

import org.hickorytiller.core.HostId
import org.hickorytiller.core.ProcessId
import org.hickorytiller.core.wallTimeMs

/** Records an event; the form in which other slices receive [Timeline.record]. */
typealias RecordEvent = (kind: EventKind, detail: String, position: LogPosition?) -> Unit

/**
 * A ring of the last [capacity] events. Confined to the event loop.
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

    /** Number of events recorded so far, those that were overwritten included. */
    var recorded = 0L
        private set

    /** Adds an event and drops the oldest one if the ring is full. Details are cut at [MAX_DETAIL_CHARS]. */
    fun record(kind: EventKind, detail: String, position: LogPosition? = null) {
        recorded++
        if (events.size == capacity) events.removeFirst()
        events += TimelineEvent(host, process, recorded, wallClock(), kind, detail.take(MAX_DETAIL_CHARS), position)
    }

    /** The events with a sequence above [after], oldest first. */
    fun since(after: Long = 0): List<TimelineEvent> = events.filter { it.sequence > after }

    companion object {
        /** About 1 MiB at 250 bytes an event; a router records a few events a minute. */
        const val DEFAULT_CAPACITY = 4096

        /** Bounds the memory of an event whose detail quotes input. */
        const val MAX_DETAIL_CHARS = 500
    }
}
