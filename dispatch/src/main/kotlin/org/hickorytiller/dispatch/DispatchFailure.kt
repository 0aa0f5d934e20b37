/** How an attempt to run a request on a backend server failed. */
package org.hickorytiller.dispatch

import org.hickorytiller.core.Verdict

/** A failed attempt with its stable [code], a [message] for people, and the [verdict] on the request. */
data class DispatchFailure(val code: String, val message: String, val verdict: Verdict)
