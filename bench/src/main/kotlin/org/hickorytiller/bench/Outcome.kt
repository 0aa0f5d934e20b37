/** What became of one request. */
package org.hickorytiller.bench

internal enum class End { OPEN, COMPLETE, REFUSED, PREEMPTED, TIMED_OUT, FAILED, LIMITED, LOG_DOWN }

internal class Outcome(val arrival: Arrival) {
    var end = End.OPEN
    var firstTokenMs = Double.NaN
    var betweenTokensMs = 0.0
    var tokens = 0
    var tokensOnReclaimable = 0
    var wastedTokens = 0
    var attempts = 0

    /** Whether the request met the targets of its class. */
    val attained: Boolean
        get() {
            val target = arrival.traffic.requestClass
            return end == End.COMPLETE &&
                firstTokenMs - arrival.atMs <= target.firstTokenTargetMs &&
                betweenTokensMs <= target.betweenTokensTargetMs
        }
}
