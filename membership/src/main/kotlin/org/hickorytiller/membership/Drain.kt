/**
 * The planned stop of a process that serves callers. Callers keep an address for the lifetime of the answer, so a
 * process goes on serving them for that long, and ends when nothing is in flight. Pure decisions in the given time.
 */
package org.hickorytiller.membership

import org.hickorytiller.core.TimeMs

/** Where a process is on its way to its end. */
enum class DrainPhase {
    /** Not asked to stop. */
    SERVING,

    /** Leaving is announced; callers may still hold the address. */
    ANNOUNCED,

    /** No address answer names this process any more; connections are closed with their next response. */
    CLOSING,

    /** Nothing is in flight, or the limit has been reached. */
    ENDED,
}

/**
 * @property addressLifetimeMs time for which a caller may keep an address answer
 * @property propagationMs time in which every router learns that this one is leaving
 * @property quietMs time without a request after which the process may end; a request may be on its way on a
 *   connection that the caller keeps open
 * @property limitMs time from the announcement after which the process ends although requests are in flight; above the
 *   longest time-out of a class, so that it is reached only by a request that hangs
 */
data class DrainLimits(
    val addressLifetimeMs: Long,
    val propagationMs: Long = 2_000,
    val quietMs: Long = 1_000,
    val limitMs: Long = 900_000,
)

/** The requests in flight of a process and its drain. Confined to the event loop. */
class Drain(private val limits: DrainLimits) {
    private var announcedAt: TimeMs? = null
    private var lastActivity = TimeMs(Long.MIN_VALUE / 2)

    /** Number of requests in flight, from the reception of the head to the end of the response. */
    var inFlight = 0
        private set

    /** Whether the process has been asked to stop. */
    val isDraining: Boolean get() = announcedAt != null

    /** Begins the drain. Returns false if it has begun already. */
    fun begin(now: TimeMs): Boolean {
        if (isDraining) return false
        announcedAt = now
        return true
    }

    /** Records the start of a request. Returns whether its response has to announce the end of the connection. */
    fun requestStarted(now: TimeMs): Boolean {
        inFlight++
        lastActivity = now
        return phase(now) >= DrainPhase.CLOSING
    }

    /** Records the end of a request. */
    fun requestEnded(now: TimeMs) {
        inFlight--
        lastActivity = now
    }

    /** The phase at [now]. It can go back from [DrainPhase.ENDED] to closing if a request comes in before the exit. */
    fun phase(now: TimeMs): DrainPhase {
        val since = announcedAt ?: return DrainPhase.SERVING
        val elapsedMs = now - since
        val quiet = inFlight == 0 && now - lastActivity >= limits.quietMs
        return when {
            elapsedMs >= limits.limitMs -> DrainPhase.ENDED
            elapsedMs < limits.addressLifetimeMs + limits.propagationMs -> DrainPhase.ANNOUNCED
            quiet -> DrainPhase.ENDED
            else -> DrainPhase.CLOSING
        }
    }
}
