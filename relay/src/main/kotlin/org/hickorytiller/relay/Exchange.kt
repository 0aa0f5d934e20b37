/** What the relay needs of the protocol to backend servers, as function types. */
package org.hickorytiller.relay

import arrow.core.Either
import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.Verdict
import org.hickorytiller.http.ResponseHead

/** Why a server gave no whole answer, and what that says about the request. */
enum class ExchangeFailure(val code: String, val verdict: Verdict) {
    /** No connection could be established. */
    UNREACHABLE("unreachable", Verdict.NOT_RUN),

    /** The server says that it has not run the request, for example because it is full. */
    REFUSED("refused", Verdict.NOT_RUN),

    /** Another server has the address. */
    WRONG_SERVER("wrong_server", Verdict.NOT_RUN),

    /** The connection ended, or something that is no answer came. */
    LOST("lost", Verdict.MAY_HAVE_RUN),

    /** Nothing came for too long. */
    TIMEOUT("timeout", Verdict.MAY_HAVE_RUN),
}

/**
 * One request to one server.
 *
 * @property timeoutMs time that the server has for the request
 * @property answerTimeoutMs time until the answer must begin
 * @property resumeAfter event after which a stream goes on
 */
class Attempt(
    val server: BackendServer,
    val request: RelayRequest,
    val timeoutMs: Long,
    val answerTimeoutMs: Long,
    val resumeAfter: EventId?,
)

/** Receives the next bytes of an answer within the given milliseconds; null at its end. */
typealias ReceiveBytes = suspend (Long) -> Either<ExchangeFailure, ByteArray?>

/**
 * An answer that has begun. [release] must be called once; it keeps the connection if the answer was read to its end
 * and closes it otherwise, which tells the server that nobody waits any more.
 */
class OpenAnswer(val head: ResponseHead, val receive: ReceiveBytes, val release: () -> Unit)

/** Sends an attempt and receives the head of the answer. */
typealias SendAttempt = suspend (Attempt) -> Either<ExchangeFailure, OpenAnswer>

/** Passes an answer on to the caller. Each function returns false if the caller is gone. */
class ResponseSink(
    val sendResponse: suspend (ResponseHead, ByteArray) -> Boolean,
    val startStream: suspend (ResponseHead) -> Boolean,
    val sendEvents: suspend (ByteArray) -> Boolean,
    val endStream: suspend () -> Boolean,
)
