/** Records changes of the configuration and of the backend servers in the timeline. */
package org.hickorytiller.router

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import org.hickorytiller.configuration.CONFIGURATION_STREAM
import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.LogOffset
import org.hickorytiller.platform.ListBackendServers
import org.hickorytiller.timeline.EventKind
import org.hickorytiller.timeline.LogPosition
import org.hickorytiller.timeline.RecordEvent
import org.hickorytiller.timeline.RouterMetrics
import org.hickorytiller.timeline.Timeline

/** The timeline and the metrics of a process. */
internal class ProcessEvents(val timeline: Timeline, val metrics: RouterMetrics)

/** Checks the configuration every [CONFIGURATION_INTERVAL_MS] and records it if it has changed. Does not return. */
internal suspend fun recordConfigurations(configuration: ConfigurationTask, record: RecordEvent): Nothing {
    var recorded: LogOffset? = null
    while (true) {
        val offset = configuration.state.offset
        if (configuration.isReady && offset != recorded) {
            recorded = offset
            record(EventKind.CONFIGURATION_IN_FORCE, "offset $offset", LogPosition(CONFIGURATION_STREAM, offset))
        }
        delay(CONFIGURATION_INTERVAL_MS)
    }
}

/** Wraps [list] so that the differences between consecutive lists are recorded. */
internal fun recordBackendServers(list: ListBackendServers, record: RecordEvent): ListBackendServers {
    var known = emptyMap<BackendServerId, BackendServer>()
    return {
        list().onRight { listed ->
            val current = listed.associateBy { it.id }
            differences(known, current).forEach { (kind, server) ->
                record(kind, "${server.id} in ${server.failureDomain}", null)
                log.info { "backend server ${server.id}: ${kind.name.lowercase()}" }
            }
            known = current
        }
    }
}

/** Returns the events that lead from one list of backend servers to the next. */
internal fun differences(
    before: Map<BackendServerId, BackendServer>,
    after: Map<BackendServerId, BackendServer>,
): List<Pair<EventKind, BackendServer>> {
    val added = (after - before.keys).values.map { EventKind.BACKEND_SERVER_ADDED to it }
    val removed = (before - after.keys).values.map { EventKind.BACKEND_SERVER_REMOVED to it }
    val leaving =
        after.values
            .filter { it.state == BackendServerState.LEAVING && before[it.id]?.state != BackendServerState.LEAVING }
            .map { EventKind.BACKEND_SERVER_LEAVING to it }
    return added + leaving + removed
}

private val log = KotlinLogging.logger {}
private const val CONFIGURATION_INTERVAL_MS = 250L
