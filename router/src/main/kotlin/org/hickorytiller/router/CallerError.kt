/** Errors that callers receive. Each code is documented in docs/errors.md. */
package org.hickorytiller.router

import org.hickorytiller.admission.AdmissionRefusal
import org.hickorytiller.admission.RefusalReason
import org.hickorytiller.core.Verdict
import org.hickorytiller.dispatch.DispatchFailure
import org.hickorytiller.dispatch.FailureKind
import org.hickorytiller.dispatch.IntentRefusal
import org.hickorytiller.http.HttpFault
import org.hickorytiller.http.HttpStatus

/** An error with its HTTP [status], stable [code], a human-readable [message], and the [verdict] on the request. */
internal data class CallerError(
    val status: Int,
    val code: String,
    val message: String,
    val verdict: Verdict = Verdict.NOT_RUN,
    val retryAfterSeconds: Int? = null,
) {
    companion object {
        private const val RETRY_AFTER_SECONDS = 1

        fun badRequest(code: String, message: String) = CallerError(HttpStatus.BAD_REQUEST, code, message)

        fun unavailable(code: String, message: String, verdict: Verdict = Verdict.NOT_RUN) =
            CallerError(HttpStatus.SERVICE_UNAVAILABLE, code, message, verdict, RETRY_AFTER_SECONDS)

        val notReady = unavailable("not_ready", "the configuration has not been read yet")

        val stopping = unavailable("stopping", "this router stops before the request would have ended")

        fun of(refusal: AdmissionRefusal): CallerError {
            val retryAfterSeconds = ((refusal.retryAfterMs + MS_PER_SECOND - 1) / MS_PER_SECOND).toInt()
            return when (refusal.reason) {
                RefusalReason.RATE_LIMITED -> CallerError(
                    HttpStatus.TOO_MANY_REQUESTS,
                    refusal.reason.code,
                    "the customer is over its limit",
                    retryAfterSeconds = retryAfterSeconds,
                )
                RefusalReason.KEY_WITHDRAWN -> keyWithdrawn(Verdict.NOT_RUN)
                else -> unavailable(refusal.reason.code, "no capacity for this request")
                    .copy(retryAfterSeconds = retryAfterSeconds)
            }
        }

        fun keyWithdrawn(verdict: Verdict) =
            CallerError(HttpStatus.UNAUTHORIZED, "key_withdrawn", "the key was withdrawn", verdict)

        fun callerDisconnected(verdict: Verdict) =
            CallerError(HttpStatus.BAD_REQUEST, "caller_gone", "the caller closed its side of the connection", verdict)

        fun quarantined(remainingMs: Long) = CallerError(
            HttpStatus.UNPROCESSABLE_CONTENT,
            "request_quarantined",
            "this request crashed backend servers; it is refused for ${remainingMs / MS_PER_SECOND + 1} s",
        )

        fun of(failure: DispatchFailure): CallerError {
            val retryAfter = if (failure.verdict == Verdict.NOT_RUN) RETRY_AFTER_SECONDS else null
            return CallerError(statusOf(failure.kind), failure.code, failure.message, failure.verdict, retryAfter)
        }

        /**
         * Returns the error for a request that was not granted the right to run. For [IntentRefusal.Ran] the recorded
         * response is sent instead if it was recorded whole.
         */
        fun of(refusal: IntentRefusal): CallerError = when (refusal) {
            is IntentRefusal.Undecided -> unavailable(refusal.code, "it cannot be decided now whether the request ran")
            IntentRefusal.KeyReused -> CallerError(
                HttpStatus.UNPROCESSABLE_CONTENT,
                "idempotency_key_reused",
                "the Idempotency-Key was used for a different request",
            )
            IntentRefusal.InProgress -> CallerError(
                HttpStatus.CONFLICT,
                "request_in_progress",
                "the request is in progress through another connection",
                Verdict.MAY_HAVE_RUN,
                RETRY_AFTER_SECONDS,
            )
            IntentRefusal.MayHaveRun -> CallerError(
                HttpStatus.CONFLICT,
                "may_have_run",
                "the request was sent before and its outcome is not known",
                Verdict.MAY_HAVE_RUN,
            )
            is IntentRefusal.Ran -> CallerError(
                HttpStatus.CONFLICT,
                "already_ran",
                "the request ran before with status ${refusal.outcome.status}; its answer is too large to be repeated",
                Verdict.RAN,
            )
        }

        /** Returns the error for a request that could not be received; null if no caller can receive it. */
        fun of(fault: HttpFault): CallerError? = when (fault) {
            HttpFault.MALFORMED -> badRequest("malformed_request", "the request is not valid HTTP")
            HttpFault.HEAD_TOO_LARGE -> CallerError(
                HttpStatus.HEADER_FIELDS_TOO_LARGE,
                "head_too_large",
                "the request line and the header fields are too large",
            )
            HttpFault.BODY_TOO_LARGE ->
                CallerError(HttpStatus.CONTENT_TOO_LARGE, "body_too_large", "the body is too large")
            HttpFault.TIMEOUT ->
                CallerError(HttpStatus.REQUEST_TIMEOUT, "request_timeout", "the request was not complete in time")
            HttpFault.CLOSED ->
                badRequest("incomplete_request", "the connection ended before the request was complete")
            HttpFault.UNKNOWN_EXPECTATION -> CallerError(
                HttpStatus.EXPECTATION_FAILED,
                "unknown_expectation",
                "the only expectation that is met is 100-continue",
            )
            HttpFault.NO_MEMORY ->
                CallerError(HttpStatus.SERVICE_UNAVAILABLE, "no_memory", "the router has no memory left for the body")
            HttpFault.UNREACHABLE -> null
        }

        private fun statusOf(kind: FailureKind) = when (kind) {
            FailureKind.NO_SERVER, FailureKind.UNREACHABLE, FailureKind.PREEMPTED, FailureKind.MOVED ->
                HttpStatus.SERVICE_UNAVAILABLE
            FailureKind.NO_FIRST_TOKEN, FailureKind.STALLED, FailureKind.DEADLINE -> HttpStatus.GATEWAY_TIMEOUT
            else -> HttpStatus.BAD_GATEWAY
        }

        private const val MS_PER_SECOND = 1_000
    }
}
