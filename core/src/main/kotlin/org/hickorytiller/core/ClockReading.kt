/**
 * A simultaneous reading of both clocks of a process. The monotonic clock stands still while a host is suspended and
 * the wall clock may jump, so a promise with a time limit, such as a lease, becomes invalid as soon as the clocks
 * disagree about the time since it was made.
 */
package org.hickorytiller.core

/** Returns the wall clock in milliseconds since 1970. */
typealias WallClock = () -> Long

/** A simultaneous reading of the monotonic and the wall clock. */
data class ClockReading(val monotonic: TimeMs, val wallMs: Long) {
    /** Returns whether the elapsed time until [later] agrees on both clocks within [toleranceMs] of ordinary drift. */
    fun clocksAgreeWith(later: ClockReading, toleranceMs: Long): Boolean {
        val monotonicMs = later.monotonic - monotonic
        return later.wallMs - wallMs - monotonicMs in -toleranceMs..toleranceMs
    }
}
