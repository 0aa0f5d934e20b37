/** Merges the timelines of several processes into one sequence in which causes precede their effects. */
package org.hickorytiller.timeline

import org.hickorytiller.core.ProcessId
import java.util.PriorityQueue

/**
 * Merges [timelines]. Events of one process are ordered by sequence, events with a position in the same stream by
 * offset, all others by wall clock. Duplicate events are kept once. If sequence and offset contradict each other, for
 * example because a process has read a stream again, the sequence takes precedence. No event is lost.
 */
fun mergeTimelines(timelines: List<List<TimelineEvent>>): List<TimelineEvent> {
    val distinct = timelines.flatten().distinctBy { it.process to it.sequence }
    return CausalOrder(distinct).sort()
}

/** Topological sort of [events] that selects the event with the earliest wall clock among those that may come next. */
private class CausalOrder(private val events: List<TimelineEvent>) {
    private val processQueues = events.groupBy { it.process }.mapValues { queueBySequence(it.value) }
    private val offsetCounts = events.mapNotNull { it.position }.groupBy { it.stream }.mapValues { (_, positions) ->
        positions.groupingBy { it.offset.value }.eachCountTo(java.util.TreeMap())
    }
    private val ready = PriorityQueue(displayOrder)
    private val blocked = LinkedHashMap<ProcessId, TimelineEvent>()

    fun sort(): List<TimelineEvent> {
        val merged = ArrayList<TimelineEvent>(events.size)
        processQueues.keys.forEach(::advance)
        while (merged.size < events.size) {
            val next = ready.poll() ?: takeBlocked()
            merged += next
            onMerged(next)
        }
        return merged
    }

    /** Adds the next event of [process] to [ready], or to [blocked] if an earlier offset of its stream is unmerged. */
    private fun advance(process: ProcessId) {
        val event = processQueues.getValue(process).removeFirstOrNull() ?: return
        if (waitsForOffset(event)) blocked[process] = event else ready += event
    }

    private fun onMerged(event: TimelineEvent) {
        advance(event.process)
        val position = event.position ?: return
        val counts = offsetCounts.getValue(position.stream)
        if (counts.merge(position.offset.value, -1, Int::plus) == 0) counts.remove(position.offset.value)
        val unblocked = blocked.values.filter { it.position?.stream == position.stream && !waitsForOffset(it) }
        unblocked.forEach { blocked.remove(it.process) }
        ready += unblocked
    }

    private fun waitsForOffset(event: TimelineEvent): Boolean {
        val position = event.position ?: return false
        return offsetCounts.getValue(position.stream).firstKey() < position.offset.value
    }

    // No event is ready only if the order within a process contradicts the order of a stream.
    private fun takeBlocked(): TimelineEvent = blocked.values.minWith(displayOrder).also { blocked.remove(it.process) }

    private companion object {
        val displayOrder = compareBy<TimelineEvent>({ it.wallTimeMs }, { it.process.value }, { it.sequence })

        fun queueBySequence(events: List<TimelineEvent>) = ArrayDeque(events.sortedBy { it.sequence })
    }
}
