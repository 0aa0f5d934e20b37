/**
 * Proves how recent this host's view of the configuration is. A withdrawn key must stop working on every host within a
 * time limit, even on a host that was disconnected or suspended, so requests with a key are served only with a recent
 * proof.
 *
 * The age counts from the time at which a successful read was sent, since its response reflects at least the state at
 * that time. A proof becomes void when the monotonic and the wall clock differ about the time since the read was sent;
 * the next read gives a new one.
 */
package org.hickorytiller.routes

import org.hickorytiller.core.Clock
import org.hickorytiller.core.ClockReading
import org.hickorytiller.core.WallClock

/**
 * @property maxAgeMs maximum age of a valid proof
 * @property maxClockDivergenceMs allowed difference between the clocks, which ordinary drift does not reach
 */
data class FreshnessRules(val maxAgeMs: Long, val maxClockDivergenceMs: Long = 150)

/** The newest proof of this host. */
class FreshnessProof(private val clock: Clock, private val wallClock: WallClock, private val rules: FreshnessRules) {
    private var newest: ClockReading? = null

    /** Returns the current reading of both clocks, to be taken before a read is sent. */
    fun now() = ClockReading(clock(), wallClock())

    /** Records that a read sent at [sentAt] succeeded. */
    fun recordRead(sentAt: ClockReading) {
        val known = newest
        if (known == null || isVoid(known) || sentAt.monotonic > known.monotonic) newest = sentAt
    }

    /** Returns the age of the newest proof in milliseconds; null if there is none or it is void. */
    fun ageMs(): Long? = newest?.takeUnless(::isVoid)?.let { clock() - it.monotonic }

    /** Whether the configuration is recent enough to serve requests with a key. */
    fun isFresh(): Boolean = ageMs()?.let { it <= rules.maxAgeMs } ?: false

    private fun isVoid(reading: ClockReading) = !reading.clocksAgreeWith(now(), rules.maxClockDivergenceMs)
}
