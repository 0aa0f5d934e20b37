/** How and at which point a request failed. The point of failure decides whether the request may have run. */
package org.hickorytiller.dispatch

import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.Verdict
import org.hickorytiller.http.HttpFault

/** Why an attempt to run a request on a backend server ended without a complete response. */
enum class FailureKind(val code: String, val verdict: Verdict) {
    /** No server could be chosen. */
    NO_SERVER("no_backend_server", Verdict.NOT_RUN),

    /** No connection to the server could be established; no byte was sent. */
    UNREACHABLE("backend_unreachable", Verdict.NOT_RUN),

    /** A pooled connection was closed before the response head was received. */
    STALE_CONNECTION("backend_lost", Verdict.MAY_HAVE_RUN),

    /** The server closed the connection before the end of its response. */
    LOST("backend_lost", Verdict.MAY_HAVE_RUN),

    /** No response, or no first token, was received in time. */
    NO_FIRST_TOKEN("backend_stalled", Verdict.MAY_HAVE_RUN),

    /** The response began and then made no progress. */
    STALLED("backend_stalled", Verdict.MAY_HAVE_RUN),

    /** The response is not valid, or belongs to a different request. */
    BAD_RESPONSE("backend_bad_answer", Verdict.MAY_HAVE_RUN),

    /** The response is larger than the limit. */
    RESPONSE_TOO_LARGE("backend_answer_too_large", Verdict.RAN),

    /** The server responded that it cannot serve the request. */
    SERVER_ERROR("backend_error", Verdict.MAY_HAVE_RUN),

    /** The caller's deadline has passed. */
    DEADLINE("deadline_exceeded", Verdict.MAY_HAVE_RUN),

    /** The router cancelled the attempt to use its slot for a request of a higher tier. */
    PREEMPTED("preempted", Verdict.MAY_HAVE_RUN),

    /** The router cancelled the attempt because the server or its failure domain is going to be removed. */
    MOVED("backend_leaving", Verdict.MAY_HAVE_RUN),

    /** The caller disconnected. */
    CALLER_GONE("caller_gone", Verdict.MAY_HAVE_RUN),
    ;

    /** Whether the router itself cancelled the attempt to serve the request elsewhere or later. */
    val isCancelledByRouter: Boolean get() = this == PREEMPTED || this == MOVED

    /** Whether the server is at fault, and not the caller, an idle connection or the router. */
    val isServerFailure: Boolean
        get() = when (this) {
            UNREACHABLE, LOST, NO_FIRST_TOKEN, STALLED, BAD_RESPONSE, SERVER_ERROR -> true
            else -> false
        }
}

/**
 * A failed request with its stable [code], a human-readable [message], and the [verdict] on the request over all its
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

/** The progress of an attempt, which decides the meaning of a connection failure. */
internal enum class Phase { BEFORE_HEAD, BEFORE_FIRST_TOKEN, IN_BODY }

/** Returns the kind of failure that [fault] means in [phase]. */
internal fun failureKind(phase: Phase, fault: HttpFault, connectionReused: Boolean): FailureKind = when (fault) {
    HttpFault.CLOSED ->
        if (phase == Phase.BEFORE_HEAD && connectionReused) FailureKind.STALE_CONNECTION else FailureKind.LOST
    HttpFault.TIMEOUT -> if (phase == Phase.IN_BODY) FailureKind.STALLED else FailureKind.NO_FIRST_TOKEN
    HttpFault.BODY_TOO_LARGE, HttpFault.NO_MEMORY -> FailureKind.RESPONSE_TOO_LARGE
    HttpFault.UNREACHABLE -> FailureKind.UNREACHABLE
    HttpFault.MALFORMED, HttpFault.HEAD_TOO_LARGE, HttpFault.UNKNOWN_EXPECTATION -> FailureKind.BAD_RESPONSE
}
