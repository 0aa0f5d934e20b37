/** A request to run on a backend server, and the functions through which the dispatcher deals with its surroundings. */
package org.hickorytiller.dispatch

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.RequestClass
import org.hickorytiller.core.TimeMs
import org.hickorytiller.http.RequestHead
import org.hickorytiller.http.ResponseHead
import org.hickorytiller.quarantine.RequestFingerprint

/**
 * A request to run.
 *
 * @property isIdempotent whether it may be sent again after it may have run
 * @property isStreamed whether the answer is a stream of events that can be resumed
 * @property deadline when the caller has no use for the answer any more
 */
class DispatchRequest(
    val head: RequestHead,
    val body: ByteArray,
    val isIdempotent: Boolean,
    val isStreamed: Boolean,
    val requestClass: RequestClass,
    val deadline: TimeMs,
    val fingerprint: RequestFingerprint,
) {
    /** Times after which an attempt counts as stalled. */
    var timeouts: ProgressTimeouts = ProgressTimeouts.of(requestClass)

    /** Time to the first token after which a second server is asked too; null for never. Ignored if not idempotent. */
    var hedgeAfterMs: Long? = null
}

/** Says which servers a request may be sent to. */
typealias ServerFilter = (BackendServer) -> Boolean

/** Waits for a slot on a server that passes the filter; null if there is none in time. */
typealias AcquireSlot = suspend (ServerFilter) -> BackendServer?

/** Takes a slot that is free and for which nobody waits; null if there is none. */
typealias TryAcquireSlot = (ServerFilter) -> BackendServer?

/** Whether the pool has a server that passes the filter and may receive new work, with a free slot or not. */
typealias ServerExists = (ServerFilter) -> Boolean

/** Gives the slot on a server back and tells how the attempt went. */
typealias ReleaseSlot = (BackendServer, AttemptReport) -> Unit

/** Receives tokens as they are passed on: tokens of the prompt, and generated tokens. */
typealias OnTokens = (promptTokens: Int, generatedTokens: Int) -> Unit

/** Learns which attempt uses the slot acquired last. */
typealias OnAttempt = (AttemptId) -> Unit

/** Receives work of a server that served no caller. */
typealias OnWasted = (WastedWork) -> Unit

/**
 * How an attempt went, for the choice of servers.
 *
 * @property firstTokenMs time to the first token or whole answer; null if there was none
 * @property failure why it ended; null if it completed
 */
data class AttemptReport(val firstTokenMs: Long?, val tokens: Int, val durationMs: Long, val failure: FailureKind?)

/** [tokens] that were generated for nobody, and the time that a slot was in use for it. */
data class WastedWork(val kind: FailureKind, val tokens: Int, val durationMs: Long)

/**
 * Where a streamed answer goes. Each function returns false if the caller is gone.
 *
 * @property startStream receives the head of a streamed answer, once its first event is there
 * @property sendEvent receives one whole event
 */
class EventStreamSink(val startStream: suspend (ResponseHead) -> Boolean, val sendEvent: suspend (ByteArray) -> Boolean)

/** The slots that a request may use and what is counted for it. */
class DispatchContext(
    val acquire: AcquireSlot,
    val exists: ServerExists,
    val release: ReleaseSlot,
    val sink: EventStreamSink,
    val onTokens: OnTokens = { _, _ -> },
    val onAttempt: OnAttempt = {},
    val tryAcquire: TryAcquireSlot = { null },
)
