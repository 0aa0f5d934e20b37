/** Errors that callers receive. */
package org.hickorytiller.router

import org.hickorytiller.admission.Refusal
import org.hickorytiller.admission.Refused
import org.hickorytiller.core.Verdict
import org.hickorytiller.dispatch.DispatchFailure
import org.hickorytiller.http.HttpStatus

/** An error with its HTTP [status], stable [code], a [message] for people, and the [verdict] on the request. */
internal data class CallerError(
    val status: Int,
    val code: String,
    val message: String,
    val verdict: Verdict = Verdict.NOT_RUN,
    val retryAfterSeconds: Int? = null,
) {
    companion object {
        private const val MS_PER_SECOND = 1_000L

        private fun seconds(durationMs: Long) = ((durationMs + MS_PER_SECOND - 1) / MS_PER_SECOND).toInt()

        fun of(refused: Refused) = when (refused.reason) {
            Refusal.RATE_LIMITED -> CallerError(
                HttpStatus.TOO_MANY_REQUESTS,
                refused.reason.code,
                "the customer is over its limit",
                retryAfterSeconds = seconds(refused.retryAfterMs),
            )
            Refusal.KEY_WITHDRAWN -> CallerError(HttpStatus.UNAUTHORIZED, refused.reason.code, "the key was withdrawn")
            else -> CallerError(
                HttpStatus.SERVICE_UNAVAILABLE,
                refused.reason.code,
                "no capacity for this request",
                retryAfterSeconds = seconds(refused.retryAfterMs),
            )
        }

        fun of(failure: DispatchFailure) =
            CallerError(HttpStatus.BAD_GATEWAY, failure.code, failure.message, failure.verdict)
    }
}
