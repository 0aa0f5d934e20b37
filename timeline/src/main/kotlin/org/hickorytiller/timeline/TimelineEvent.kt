/** Events of the timeline: state changes that an operator may want to trace across all processes. */
package org.hickorytiller.timeline

import org.hickorytiller.core.HostId
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.ProcessId
import org.hickorytiller.core.StreamName

/** Kind of an event. The names are part of the JSON response of `GET /timeline`. */
enum class EventKind {
    PROCESS_STARTED,
    PROCESS_ENDED,
    CONFIGURATION_IN_FORCE,
    MEMBER_ALIVE,
    MEMBER_LEAVING,
    MEMBER_DEAD,
    MEMBER_REMOVED,
    LINK_OPENED,
    LINK_LOST,
    DRAIN_STARTED,
    DRAIN_CLOSING,
    DRAIN_ENDED,
    KEY_WITHDRAWN,
    BACKEND_SERVER_ADDED,
    BACKEND_SERVER_LEAVING,
    BACKEND_SERVER_REMOVED,
    FAILURE_DOMAIN_EVICTED,
    LEASE_GAINED,
    LEASE_LOST,
    ORDER_PLACED,
    ORDER_SETTLED,
    LATE_WRITE,
    WINDOW_FIXED,
    REQUEST_QUARANTINED,
    LOG_UNAVAILABLE,
    LOG_AVAILABLE,
}

/** Position of a record in a stream of the log, for an event that was caused by the record or caused it. */
data class LogPosition(val stream: StreamName, val offset: LogOffset)

/**
 * One event.
 *
 * @property sequence number of the event within its process, from 1
 * @property wallTimeMs wall clock of the process in milliseconds since 1970; the clocks of hosts may differ
 * @property position position of the related log record, if there is one
 */
data class TimelineEvent(
    val host: HostId,
    val process: ProcessId,
    val sequence: Long,
    val wallTimeMs: Long,
    val kind: EventKind,
    val detail: String,
    val position: LogPosition? = null,
)
