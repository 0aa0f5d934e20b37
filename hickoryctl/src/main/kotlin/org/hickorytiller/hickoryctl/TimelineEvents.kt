/** Merges and prints the timeline events that routers return. */
package org.hickorytiller.hickoryctl

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.databind.JsonNode
import org.hickorytiller.core.HostId
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.ProcessId
import org.hickorytiller.core.StreamName
import org.hickorytiller.timeline.EventKind
import org.hickorytiller.timeline.LogPosition
import org.hickorytiller.timeline.TimelineEvent
import org.hickorytiller.timeline.mergeTimelines
import java.time.Instant

/**
 * Merges the events of several processes in causal order. The events stay as received from the routers, so kinds that
 * this version does not know are shown, too.
 */
internal fun mergeEvents(timelines: List<JsonNode>): Either<String, List<JsonNode>> {
    val malformed = timelines.flatten().firstOrNull { !isEvent(it) }
    if (timelines.any { !it.isArray } || malformed != null) {
        return "a router answered something that is no event: ${malformed ?: "no list"}".left()
    }
    val byId = timelines.flatten().associateBy {
        ProcessId(it.path("process").asText()) to it.path("sequence").asLong()
    }
    val merged = mergeTimelines(timelines.map { timeline -> timeline.map(::toTimelineEvent) })
    return merged.map { byId.getValue(it.process to it.sequence) }.right()
}

/** Describes [event] in one line. */
internal fun describeEvent(event: JsonNode): String {
    val position = event.path("stream").takeIf {
        it.isTextual
    }?.let { " [${it.asText()} ${event.path("offset")}]" }.orEmpty()
    return "${Instant.ofEpochMilli(event.path("wallMs").asLong())} ${event.path("host").asText()} " +
        "${event.path("process").asText()}#${event.path("sequence")} ${event.path("kind").asText()} " +
        "${event.path("detail").asText()}$position"
}

private fun isEvent(node: JsonNode) = node.path("process").isTextual &&
    node.path("sequence").isIntegralNumber &&
    node.path("wallMs").isIntegralNumber &&
    node.path("stream").isTextual == node.path("offset").isIntegralNumber

/** Returns the event with the properties that the causal order depends on; kind and detail are not among them. */
private fun toTimelineEvent(node: JsonNode): TimelineEvent {
    val stream = node.path("stream").takeIf { it.isTextual }
    return TimelineEvent(
        HostId(node.path("host").asText()),
        ProcessId(node.path("process").asText()),
        node.path("sequence").asLong(),
        node.path("wallMs").asLong(),
        EventKind.entries.first(),
        "",
        stream?.let { LogPosition(StreamName(it.asText()), LogOffset(node.path("offset").asLong())) },
    )
}
