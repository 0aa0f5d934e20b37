/**
 * A moment on both clocks of a process. The monotonic clock stands still while a host is suspended and the time of day
 * may jump, so a promise with a time limit is void as soon as the two disagree about the time since it was made.
 */
package org.hickorytiller.core

/** Gives the time of day in milliseconds since 1970. */
typealias WallClock = () -> Long

/** A moment on the monotonic clock and in the time of day. */
data class ClockReading(val monotonic: TimeMs, val wallMs: Long) {
    /** Whether both clocks show the same time from this moment to [later], but for [toleranceMs] of ordinary drift. */
    fun clocksAgreeWith(later: ClockReading, toleranceMs: Long): Boolean {
        val monotonicMs = later.monotonic - monotonic
        return later.wallMs - wallMs - monotonicMs in -toleranceMs..toleranceMs
    }
}
