/**
 * The only source of time. Code that makes decisions receives a [Clock] or a [TimeMs] and never reads the system clock,
 * so that tests and the policy benchmark can run in virtual time.
 */
package org.hickorytiller.core

/** A point in time in milliseconds on the monotonic clock of one process. Not comparable between processes. */
@JvmInline
value class TimeMs(val value: Long) : Comparable<TimeMs> {
    operator fun plus(durationMs: Long) = TimeMs(value + durationMs)

    operator fun minus(durationMs: Long) = TimeMs(value - durationMs)

    /** Returns the time from [earlier] to this point in milliseconds; negative if [earlier] is later. */
    operator fun minus(earlier: TimeMs): Long = value - earlier.value

    override fun compareTo(other: TimeMs) = value.compareTo(other.value)
}

/** Returns the current time. A function type, so that a test can pass a settable variable. */
typealias Clock = () -> TimeMs

/**
 * The monotonic clock of this process. It advances while the process is suspended, so a lease can expire meanwhile. For
 * the suspension of a host see [ClockReading].
 */
val monotonicClock: Clock = { TimeMs(System.nanoTime() / NANOS_PER_MS) }

/**
 * Returns the wall clock in milliseconds since 1970: for display, timeline events, process ids and incarnations, and
 * for the detection of a suspension by [ClockReading]. It can jump, so time limits are measured with [monotonicClock].
 */
fun wallTimeMs(): Long = System.currentTimeMillis()

private const val NANOS_PER_MS = 1_000_000L
