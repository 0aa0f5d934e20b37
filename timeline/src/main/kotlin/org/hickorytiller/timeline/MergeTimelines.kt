/** Merges the timelines of several processes into one sequence in which a cause precedes its effects. */
package org.hickorytiller.timeline

import org.hickorytiller.core.ProcessId
import java.util.PriorityQueue

/**
 * Merges [timelines]: events of one process by sequence, events with a position in the same stream by offset, all
 * others by wall clock. Events that occur more than once are kept once. If the two orders contradict each other
 * (a process may read a stream again), the sequence within the process wins. No event is lost.
 */
fun mergeTimelines(timelines: List<List<TimelineEvent>>): List<TimelineEvent> {
    val distinct = timelines.flatten().distinctBy { it.process to it.sequence }
    return CausalOrder(distinct).sort()
}

/** Topological sort of [events]; among the events that may come next, the one with the earliest wall clock does. */
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
            val next = ready.poll() ?: leastBlocked()
            merged += next
            settle(next)
        }
        return merged
    }

    /** Makes the next event of [process] ready, or blocked while an earlier offset of its stream is outstanding. */
    private fun advance(process: ProcessId) {
        val event = processQueues.getValue(process).removeFirstOrNull() ?: return
        if (waitsForOffset(event)) blocked[process] = event else ready += event
    }

    private fun settle(event: TimelineEvent) {
        advance(event.process)
        val position = event.position ?: return
        val counts = offsetCounts.getValue(position.stream)
        if (counts.merge(position.offset.value, -1, Int::plus) == 0) counts.remove(position.offset.value)
        val freed = blocked.values.filter { it.position?.stream == position.stream && !waitsForOffset(it) }
        freed.forEach { blocked.remove(it.process) }
        ready += freed
    }

    private fun waitsForOffset(event: TimelineEvent): Boolean {
        val position = event.position ?: return false
        return offsetCounts.getValue(position.stream).firstKey() < position.offset.value
    }

    // Only a contradiction between a process and a stream leaves nothing ready.
    private fun leastBlocked(): TimelineEvent = blocked.values.minWith(displayOrder).also { blocked.remove(it.process) }

    private companion object {
        val displayOrder = compareBy<TimelineEvent>({ it.wallTimeMs }, { it.process.value }, { it.sequence })

        fun queueBySequence(events: List<TimelineEvent>) = ArrayDeque(events.sortedBy { it.sequence })
    }
}
