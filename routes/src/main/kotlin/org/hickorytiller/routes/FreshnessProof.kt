/**
 * Proves how old this host's view of the configuration is. A withdrawn key must stop working within a bound on every
 * host, also on one that was cut off or suspended, so keyed requests are served only under a recent proof.
 *
 * The age counts from when a successful read was sent: the answer shows at least the state of that moment. A
 * proof is void as soon as the clocks disagree about the time since it was made. A new read then gives a new one.
 */
package org.hickorytiller.routes

import org.hickorytiller.core.Clock
import org.hickorytiller.core.ClockReading
import org.hickorytiller.core.WallClock

/**
 * @property maxAgeMs age from which a proof is too old
 * @property maxClockDivergenceMs difference between the clocks' readings that ordinary drift does not reach
 */
data class FreshnessRules(val maxAgeMs: Long, val maxClockDivergenceMs: Long = 150)

/** The newest proof of this host. */
class FreshnessProof(private val clock: Clock, private val wallClock: WallClock, private val rules: FreshnessRules) {
    private var newest: ClockReading? = null

    /** The present moment; to be taken before a read is sent. */
    fun now() = ClockReading(clock(), wallClock())

    /** Records that a read sent at [sentAt] succeeded. */
    fun recordRead(sentAt: ClockReading) {
        val known = newest
        if (known == null || isVoid(known) || sentAt.monotonic > known.monotonic) newest = sentAt
    }

    /** Age of the newest valid proof in milliseconds; null if there is none. */
    fun ageMs(): Long? = newest?.takeUnless(::isVoid)?.let { clock() - it.monotonic }

    /** Whether requests may rely on the configuration. */
    fun isFresh(): Boolean = ageMs()?.let { it <= rules.maxAgeMs } ?: false

    private fun isVoid(reading: ClockReading) = !reading.clocksAgreeWith(now(), rules.maxClockDivergenceMs)
}
