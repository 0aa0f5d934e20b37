/** Errors that callers receive. */
package org.hickorytiller.router

import org.hickorytiller.admission.Refusal
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
        fun of(refusal: Refusal) = when (refusal) {
            Refusal.RATE_LIMITED -> CallerError(
                HttpStatus.TOO_MANY_REQUESTS,
                refusal.code,
                "the customer is over its limit",
                retryAfterSeconds = 1,
            )
            Refusal.KEY_WITHDRAWN -> CallerError(HttpStatus.UNAUTHORIZED, refusal.code, "the key was withdrawn")
            else -> CallerError(
                HttpStatus.SERVICE_UNAVAILABLE,
                refusal.code,
                "no capacity for this request",
                retryAfterSeconds = 1,
            )
        }

        fun of(failure: DispatchFailure) =
            CallerError(HttpStatus.BAD_GATEWAY, failure.code, failure.message, failure.verdict)
    }
}
