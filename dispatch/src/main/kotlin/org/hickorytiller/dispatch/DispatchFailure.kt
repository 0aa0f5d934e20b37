/** How a request failed, and where. The place of a failure decides whether the request may have run. */
package org.hickorytiller.dispatch

import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.Verdict
import org.hickorytiller.http.HttpFault

/** Where and why an attempt to run a request on a backend server ended without a whole answer. */
enum class FailureKind(val code: String, val verdict: Verdict) {
    /** No server could be chosen. */
    NO_SERVER("no_backend_server", Verdict.NOT_RUN),

    /** No connection to the server could be established; no byte was sent. */
    UNREACHABLE("backend_unreachable", Verdict.NOT_RUN),

    /** The connection had been idle and was closed before any byte of an answer came. */
    STALE_CONNECTION("backend_lost", Verdict.MAY_HAVE_RUN),

    /** The server closed the connection before the end of its answer. */
    LOST("backend_lost", Verdict.MAY_HAVE_RUN),

    /** Nothing, or no first token, came in time. */
    NO_FIRST_TOKEN("backend_stalled", Verdict.MAY_HAVE_RUN),

    /** The answer began and then stopped. */
    STALLED("backend_stalled", Verdict.MAY_HAVE_RUN),

    /** What came is not a valid answer, or answers a different request. */
    BAD_ANSWER("backend_bad_answer", Verdict.MAY_HAVE_RUN),

    /** The answer is larger than the limit. */
    ANSWER_TOO_LARGE("backend_answer_too_large", Verdict.RAN),

    /** The server answered that it cannot serve the request. */
    SERVER_ERROR("backend_error", Verdict.MAY_HAVE_RUN),

    /** The time that the caller allows is over. */
    DEADLINE("deadline_exceeded", Verdict.MAY_HAVE_RUN),

    /** The slot was taken for a request of a higher tier. */
    PREEMPTED("preempted", Verdict.MAY_HAVE_RUN),

    /** The server's failure domain is evicted, or the server leaves. */
    MOVED("backend_leaving", Verdict.MAY_HAVE_RUN),

    /** The caller does not take the answer. */
    CALLER_GONE("caller_gone", Verdict.MAY_HAVE_RUN),
    ;

    /** Whether the router itself ended the attempt to serve the request elsewhere or later. */
    val isEndedByRouter: Boolean get() = this == PREEMPTED || this == MOVED

    /** Whether the server failed, and not the caller, the network path of an idle connection, or the router. */
    val isServerFailure: Boolean
        get() = when (this) {
            UNREACHABLE, LOST, NO_FIRST_TOKEN, STALLED, BAD_ANSWER, SERVER_ERROR -> true
            else -> false
        }
}

/**
 * A failed request with its stable [code], a [message] for people, and the [verdict] on the request over all its
 * attempts.
 */
data class DispatchFailure(
    val kind: FailureKind,
    val message: String,
    val verdict: Verdict = kind.verdict,
    val server: BackendServerId? = null,
) {
    val code: String get() = kind.code
}

/** Where an attempt stood when its connection failed. */
internal enum class Phase { BEFORE_HEAD, BEFORE_FIRST_TOKEN, IN_BODY }

/** The kind of failure that [fault] means in [phase]. */
internal fun failureKind(phase: Phase, fault: HttpFault, connectionReused: Boolean): FailureKind = when (fault) {
    HttpFault.CLOSED ->
        if (phase == Phase.BEFORE_HEAD && connectionReused) FailureKind.STALE_CONNECTION else FailureKind.LOST
    HttpFault.TIMEOUT -> if (phase == Phase.IN_BODY) FailureKind.STALLED else FailureKind.NO_FIRST_TOKEN
    HttpFault.BODY_TOO_LARGE -> FailureKind.ANSWER_TOO_LARGE
    HttpFault.UNREACHABLE -> FailureKind.UNREACHABLE
    HttpFault.MALFORMED, HttpFault.HEAD_TOO_LARGE, HttpFault.UNKNOWN_EXPECTATION -> FailureKind.BAD_ANSWER
}
