/** The outcome of one request. */
package org.hickorytiller.bench

/** How a request ended; [OPEN] while it waits or runs. */
internal enum class RequestEnd { OPEN, COMPLETE, REFUSED, PREEMPTED, TIMED_OUT, FAILED, LIMITED, LOG_DOWN }

internal class RequestResult(val arrival: Arrival) {
    var end = RequestEnd.OPEN
    var firstTokenMs = Double.NaN
    var betweenTokensMs = 0.0
    var tokens = 0
    var tokensOnReclaimable = 0
    var wastedTokens = 0
    var attempts = 0

    /** Whether the request completed within the targets of its class. */
    val meetsTargets: Boolean
        get() {
            val target = arrival.traffic.requestClass
            return end == RequestEnd.COMPLETE &&
                firstTokenMs - arrival.atMs <= target.firstTokenTargetMs &&
                betweenTokensMs <= target.betweenTokensTargetMs
        }
}
