/** The protocol to backend servers and to the caller, as function types that the relay uses. */
package org.hickorytiller.relay

import arrow.core.Either
import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.Verdict
import org.hickorytiller.http.ResponseHead

/** Why an attempt got no complete response, and whether the request may have run. */
enum class ExchangeFailure(val code: String, val verdict: Verdict) {
    /** No connection could be established. */
    UNREACHABLE("unreachable", Verdict.NOT_RUN),

    /** The server reports that it has not run the request, for example because it is full. */
    REFUSED("refused", Verdict.NOT_RUN),

    /** The address belongs to another server now. */
    WRONG_SERVER("wrong_server", Verdict.NOT_RUN),

    /** The connection was closed, or the response is not valid. */
    LOST("lost", Verdict.MAY_HAVE_RUN),

    /** Nothing was received within the timeout. */
    TIMEOUT("timeout", Verdict.MAY_HAVE_RUN),
}

/**
 * One request to one server.
 *
 * @property timeoutMs time until the deadline of the request
 * @property responseHeadTimeoutMs time within which the response head must be received
 * @property resumeAfter event after which the stream is resumed; null to start at the beginning
 * @property movedRun run that the attempt continues; null if it starts a new one
 * @property isAddressRepeated whether the request was sent to the same address before. A late copy of the response to
 *   that attempt bears the same request id, so it must not arrive on the connection of this one
 */
class Attempt(
    val server: BackendServer,
    val request: RelayRequest,
    val timeoutMs: Long,
    val responseHeadTimeoutMs: Long,
    val resumeAfter: EventId?,
    val movedRun: MovedRun? = null,
    val isAddressRepeated: Boolean = false,
)

/** Receives the next bytes of a response within the given milliseconds; null at its end. */
typealias ReceiveBytes = suspend (Long) -> Either<ExchangeFailure, ByteArray?>

/**
 * A response whose head was received.
 *
 * @property endsWithConnection whether only the end of the connection ends the response, as a crash would
 * @property release must be called once: it keeps the connection if the response was read to its end and otherwise
 *   closes it, which cancels the work of the server
 */
class StartedResponse(
    val head: ResponseHead,
    val receive: ReceiveBytes,
    val endsWithConnection: Boolean = false,
    val release: () -> Unit,
)

/** Sends the request of an attempt and receives the response head. */
typealias SendAttempt = suspend (Attempt) -> Either<ExchangeFailure, StartedResponse>

/** Relays a response to the caller. Each function returns false if the caller has disconnected. */
class ResponseSink(
    val sendResponse: suspend (ResponseHead, ByteArray) -> Boolean,
    val startStream: suspend (ResponseHead) -> Boolean,
    val sendEvents: suspend (ByteArray) -> Boolean,
    val endStream: suspend () -> Boolean,
)
