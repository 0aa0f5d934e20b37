/** A request to run on a backend server, and the functions through which the dispatcher gets slots and reports. */
package org.hickorytiller.dispatch

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.RequestClass
import org.hickorytiller.core.TimeMs
import org.hickorytiller.http.RequestHead
import org.hickorytiller.http.ResponseHead
import org.hickorytiller.quarantine.Fingerprint

/**
 * A request to run.
 *
 * @property isIdempotent whether the request may be retried after it may have run
 * @property isStreamed whether the response is a stream of events that can be resumed
 * @property deadline time after which the response is useless to the caller
 * @property parts fingerprints of the parts of the prompt that other requests may share
 */
class DispatchRequest(
    val head: RequestHead,
    val body: ByteArray,
    val isIdempotent: Boolean,
    val isStreamed: Boolean,
    val requestClass: RequestClass,
    val deadline: TimeMs,
    val fingerprint: Fingerprint,
    val parts: List<Fingerprint> = emptyList(),
) {
    /** Times after which an attempt counts as stalled. */
    var timeouts: ProgressTimeouts = ProgressTimeouts.of(requestClass)

    /** Time without a first token after which a hedge is sent; null for never. Ignored if not idempotent. */
    var hedgeAfterMs: Long? = null
}

/** Matches the servers that a request may be sent to. */
typealias ServerFilter = (BackendServer) -> Boolean

/** Waits for a slot on a server that the filter matches. Returns null if none becomes free in time. */
typealias AcquireSlot = suspend (ServerFilter) -> BackendServer?

/** Acquires a free slot for which no request waits. Returns null if there is none. */
typealias TryAcquireSlot = (ServerFilter) -> BackendServer?

/** Whether the pool has a server that the filter matches and that may receive new work, with a free slot or not. */
typealias ServerExists = (ServerFilter) -> Boolean

/** Releases the slot on a server and reports the result of the attempt. */
typealias ReleaseSlot = (BackendServer, AttemptReport) -> Unit

/** Called with the numbers of prompt tokens and generated tokens as they are relayed. */
typealias OnTokens = (promptTokens: Int, generatedTokens: Int) -> Unit

/** Called with the id of an attempt when it starts on the slot just acquired. */
typealias OnAttempt = (AttemptId) -> Unit

/** Called for each failed attempt with the tokens and slot time that it wasted. */
typealias OnWasted = (WastedWork) -> Unit

/**
 * Result of an attempt, for server selection.
 *
 * @property firstTokenMs time to the first token or complete response; null if there was none
 * @property failure why the attempt failed; null if it completed
 */
data class AttemptReport(val firstTokenMs: Long?, val tokens: Int, val durationMs: Long, val failure: FailureKind?)

/** A failed attempt: the [tokens] that it wasted, and the time for which it occupied a slot. */
data class WastedWork(val kind: FailureKind, val tokens: Int, val durationMs: Long)

/**
 * Relays a streamed response to the caller. Each function returns false if the caller has disconnected.
 *
 * @property startStream sends the response head; called when the first event has been received
 * @property sendEvent sends one complete event
 */
class EventStreamSink(val startStream: suspend (ResponseHead) -> Boolean, val sendEvent: suspend (ByteArray) -> Boolean)

/** The functions for slots, the response stream and accounting of one request. */
class DispatchContext(
    val acquire: AcquireSlot,
    val exists: ServerExists,
    val release: ReleaseSlot,
    val sink: EventStreamSink,
    val onTokens: OnTokens = { _, _ -> },
    val onAttempt: OnAttempt = {},
    val tryAcquire: TryAcquireSlot = { null },
)
