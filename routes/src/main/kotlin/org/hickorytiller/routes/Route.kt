/** Routes: which requests go to which pools of backend servers, and the targets and limits that apply to them. */
package org.hickorytiller.routes

import org.hickorytiller.core.PoolId

/** Name of a route, unique in a configuration. */
@JvmInline
value class RouteId(val value: String) {
    override fun toString() = value
}

/** How the responses of a route are relayed to the caller. */
enum class ResponseMode {
    /** The response is relayed when it is complete. */
    BUFFERED,

    /** The response is a stream of events that are relayed as they are received. */
    STREAM,
}

/** A pool that gets a share of a route's requests in proportion to [weight]. */
data class WeightedPool(val pool: PoolId, val weight: Int)

/**
 * @property host the host name that callers send in their requests
 * @property pathPrefix begins and ends with a slash
 * @property isIdempotent whether a request may run more than once
 * @property canResume whether an interrupted stream may be resumed after its last complete event, on any server
 * @property timeoutMs maximum time that a caller waits
 * @property targetMs target time to the response, or to the first event of a stream
 * @property eventGapTargetMs target for the longest pause between two events of a stream; 0 if there is none
 * @property priority a lower number is more urgent
 * @property maxAttempts maximum number of servers that one request is sent to
 * @property isPublic whether requests need no key
 */
data class Route(
    val id: RouteId,
    val host: String,
    val pathPrefix: String,
    val responseMode: ResponseMode,
    val isIdempotent: Boolean,
    val canResume: Boolean,
    val timeoutMs: Long,
    val targetMs: Long,
    val eventGapTargetMs: Long,
    val priority: Int,
    val pools: List<WeightedPool>,
    val maxAttempts: Int,
    val isPublic: Boolean,
) {
    /** Whether a request whose response was lost may be retried on another server. */
    val isRetryable: Boolean get() = if (responseMode == ResponseMode.STREAM) canResume else isIdempotent
}
