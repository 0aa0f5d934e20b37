/** How a request ended, for the response to the caller, the log and the metrics. */
package org.hickorytiller.relay

import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.Verdict

/** Why a request ended as it did. */
enum class OutcomeReason(val code: String) {
    ANSWERED("answered"),
    SERVER_ERROR("server_error"),
    NO_SERVER("no_server"),
    REFUSED("refused"),
    UNREACHABLE("unreachable"),
    LOST("lost"),

    /** The request crashed several servers before. */
    QUARANTINED("quarantined"),
    DEADLINE("deadline"),
    STREAM_BROKEN("stream_broken"),
    CALLER_GONE("caller_gone"),

    /** The process ended before the request did. */
    STOPPING("stopping"),
}

/**
 * @property verdict whether the request may have run
 * @property hasResponseStarted whether a part of a response was relayed, so that no other response may follow
 * @property sendCount number of servers that the request was sent to
 * @property server the last server that was tried
 * @property retryAfterMs time until a server accepts the request, if all servers have asked for time
 * @property firstByteMs time from the receipt of the request to the first response head; null if there was none
 */
data class RelayOutcome(
    val reason: OutcomeReason,
    val verdict: Verdict,
    val hasResponseStarted: Boolean,
    val sendCount: Int,
    val server: BackendServerId?,
    val firstByteMs: Long?,
    val retryAfterMs: Long? = null,
)
