/** The admin resources `/drain` and `/timeline`. */
package org.hickorytiller.router

import org.hickorytiller.core.Verdict
import org.hickorytiller.http.HttpStatus
import org.hickorytiller.http.RequestHead
import org.hickorytiller.http.ServerConnection
import org.hickorytiller.http.respondError
import org.hickorytiller.http.respondJson
import org.hickorytiller.timeline.Timeline
import org.hickorytiller.timeline.TimelineEvent

/** Starts a drain, and lists the events of the timeline. Confined to the event loop. */
internal class OperationsEndpoint(private val drain: DrainTask, private val timeline: Timeline) {
    /** The resources by path. */
    val resources: Map<String, AdminResource> =
        mapOf(
            "/drain" to AdminResource("POST") { connection, _, _ -> beginDrain(connection) },
            "/timeline" to AdminResource("GET") { connection, head, _ -> sendTimeline(connection, head) },
        )

    private suspend fun beginDrain(connection: ServerConnection): Boolean {
        drain.begin()
        return connection.respondJson(HttpStatus.OK, drain.status())
    }

    private suspend fun sendTimeline(connection: ServerConnection, head: RequestHead): Boolean {
        val after = head.query("after") ?: "0"
        val sequence =
            after.toLongOrNull() ?: return connection.respondError(
                HttpStatus.BAD_REQUEST,
                "invalid_request",
                "after has to be the sequence of an event, found \"$after\"",
                Verdict.NOT_RUN,
            )
        return connection.respondJson(HttpStatus.OK, timeline.since(sequence).map(::encode))
    }

    private fun encode(event: TimelineEvent): Map<String, Any> = buildMap {
        put("host", event.host.value)
        put("process", event.process.value)
        put("sequence", event.sequence)
        put("wallMs", event.wallTimeMs)
        put("kind", event.kind.name.lowercase())
        put("detail", event.detail)
        event.position?.let {
            put("stream", it.stream.value)
            put("offset", it.offset.value)
        }
    }
}
