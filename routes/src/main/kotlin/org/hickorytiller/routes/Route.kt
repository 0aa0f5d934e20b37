/** Routes: which requests go to which pools of backend servers, and what is promised to their callers. */
package org.hickorytiller.routes

import org.hickorytiller.core.PoolId

/** Name of a route, unique in a configuration. */
@JvmInline
value class RouteId(val value: String) {
    override fun toString() = value
}

/** How a route's answers reach the caller. */
enum class AnswerForm {
    /** The answer is passed on once it is complete. */
    BUFFERED,

    /** The answer is a series of events, passed on as they arrive. */
    STREAM,
}

/** A pool that takes [weight] parts of a route's requests. */
data class WeightedPool(val pool: PoolId, val weight: Int)

/**
 * @property host the host name that callers ask for
 * @property pathPrefix begins and ends with a slash
 * @property isIdempotent whether a request may run more than once
 * @property canResume whether a broken stream may be continued after its last whole event, on any server
 * @property timeoutMs longest time that a caller is kept waiting
 * @property targetMs time to the answer, or to the first event of a stream, that the class is meant to meet
 * @property eventGapTargetMs longest pause between two events of a stream that is on time; 0 if there is no such target
 * @property priority a lower number is more urgent
 * @property maxAttempts number of servers that one request may be sent to
 * @property isPublic whether requests need no key
 */
data class Route(
    val id: RouteId,
    val host: String,
    val pathPrefix: String,
    val form: AnswerForm,
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
    /** Whether a request whose answer was lost may be sent to another server. */
    val isRetryable: Boolean get() = if (form == AnswerForm.STREAM) canResume else isIdempotent
}
