/**
 * Graceful shutdown of a process that serves callers. Callers may use an address for the lifetime of the address
 * response, so a process continues to serve them for that long, and ends when no request is in flight. It reads no
 * clock: the caller passes the time.
 */
package org.hickorytiller.membership

import org.hickorytiller.core.TimeMs

/** Phase of a graceful shutdown. */
enum class DrainPhase {
    /** The drain has not begun. */
    SERVING,

    /** The process has announced that it is leaving; callers may still use its address. */
    ANNOUNCED,

    /** No valid address response contains this process; connections are closed with their next response. */
    CLOSING,

    /** No request is in flight, or [DrainLimits.limitMs] has been reached. */
    ENDED,
}

/**
 * @property addressLifetimeMs time for which a caller may use an address response
 * @property propagationMs time within which every router receives the announcement that this one is leaving
 * @property idleBeforeExitMs time without a request after which the process may end; a request may be in transit on a
 *   connection that the caller keeps open
 * @property limitMs time from the announcement after which the process ends even if requests are in flight; above the
 *   longest time-out of a request class, so that only a request that hangs reaches it
 */
data class DrainLimits(
    val addressLifetimeMs: Long,
    val propagationMs: Long = 2_000,
    val idleBeforeExitMs: Long = 1_000,
    val limitMs: Long = 900_000,
)

/** Drain state and the requests in flight of a process. Confined to the event loop. */
class Drain(private val limits: DrainLimits) {
    private var announcedAt: TimeMs? = null
    private var isClosed = false
    private var lastActivityAt = TimeMs(Long.MIN_VALUE / 2)

    /** Number of requests in flight, from the reception of the head to the end of the response. */
    var inFlight = 0
        private set

    /** Whether the drain has begun. */
    val isDraining: Boolean get() = announcedAt != null

    /** Begins the drain. Returns false if it has already begun. */
    fun begin(now: TimeMs): Boolean {
        if (isDraining) return false
        announcedAt = now
        return true
    }

    /** Refuses all further requests, since the process is about to end and nothing waits for them. */
    fun close() {
        isClosed = true
    }

    /** Whether a request that has to end by [deadline] may be served, since the process does not end before it. */
    fun accepts(deadline: TimeMs): Boolean {
        val drainStartedAt = announcedAt ?: return true
        return !isClosed && deadline <= drainStartedAt + limits.limitMs
    }

    /** Records the start of a request. Returns whether its response has to announce that the connection is closed. */
    fun requestStarted(now: TimeMs): Boolean {
        inFlight++
        lastActivityAt = now
        return phase(now) >= DrainPhase.CLOSING
    }

    /** Records the end of a request. */
    fun requestEnded(now: TimeMs) {
        inFlight--
        lastActivityAt = now
    }

    /**
     * Returns the phase at [now]. It can go back from [DrainPhase.ENDED] to [DrainPhase.CLOSING] if a request arrives
     * before the process exits.
     */
    fun phase(now: TimeMs): DrainPhase {
        val drainStartedAt = announcedAt ?: return DrainPhase.SERVING
        val elapsedMs = now - drainStartedAt
        val isIdle = inFlight == 0 && now - lastActivityAt >= limits.idleBeforeExitMs
        return when {
            elapsedMs >= limits.limitMs -> DrainPhase.ENDED
            elapsedMs < limits.addressLifetimeMs + limits.propagationMs -> DrainPhase.ANNOUNCED
            isIdle -> DrainPhase.ENDED
            else -> DrainPhase.CLOSING
        }
    }
}
