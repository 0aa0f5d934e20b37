/**
 * A planned stop. Callers cache the directory's responses, so the host first leaves the directory and goes on serving
 * until those responses have expired. Then it stops accepting connections and waits for the requests in flight.
 *
 * Callers may go on using open connections, for example while all hosts stop in turn. A request that may outlast the
 * process is refused, since its caller can still try another host. All times run from the signal, since a busy event
 * loop notes it late. What is in flight at the limit gets an error response, which says whether it may have run, and
 * the connections are no longer read before the process ends.
 */
package org.hickorytiller.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.delay
import org.hickorytiller.core.Clock
import org.hickorytiller.core.TimeMs

/**
 * Times from the request for the stop.
 *
 * @property handoverMs time in which callers may not know of the stop. A request is then refused only if recent
 *   responses of its route took longer than the process has left; later it is refused unless its deadline is earlier
 *   than [limitMs]. The platform excuses the loss of requests that were sent in the first 3 s only.
 * @property acceptMs time for which connections are still accepted: callers use a directory response for up to three
 *   times its lifetime
 * @property limitMs time after which requests in flight are ended with an error response
 * @property endMs time after which the process ends even if responses are not written
 */
internal data class StopRules(val acceptMs: Long, val limitMs: Long, val endMs: Long, val handoverMs: Long = 2_800) {
    companion object {
        /** Returns the rules of a process that is killed [graceMs] after the signal. */
        fun of(graceMs: Long): StopRules {
            val limitMs = graceMs - minOf(LIMIT_MARGIN_MS, graceMs / LIMIT_MARGIN_SHARE)
            return StopRules(
                acceptMs = minOf(ACCEPT_MS, limitMs),
                limitMs = limitMs,
                endMs = graceMs - (graceMs - limitMs) / END_MARGIN_SHARE,
            )
        }

        // Callers use a directory response for up to three times its lifetime of a second.
        private const val ACCEPT_MS = 3_300L

        // Time for the error responses of requests in flight, also on a host whose event loop is late.
        private const val LIMIT_MARGIN_MS = 1_000L

        // The platform excuses the end of responses in the last sixth of the grace period.
        private const val LIMIT_MARGIN_SHARE = 6

        // The last quarter of the margin is for the last log lines.
        private const val END_MARGIN_SHARE = 4
    }
}

/** The functions of the daemon that a stop calls. */
internal class StopActions(val leaveDirectory: () -> Unit, val stopAccepting: () -> Unit, val stopReading: () -> Unit)

/**
 * The stop of one process: [stop] lets requests end by themselves, [ending] completes when they have to end at once,
 * [ended] when they have, and [close] ends the reading from callers. Confined to the event loop.
 */
internal class StopTask(
    private val clock: Clock,
    private val rules: StopRules,
    private val inFlight: InFlight,
    private val actions: StopActions,
) {
    private val endBegun = CompletableDeferred<Unit>()
    private val done = CompletableDeferred<Unit>()
    private var requestedAt: TimeMs? = null
    private var endAt = TimeMs(Long.MAX_VALUE)

    /** Whether a stop has begun. */
    val isStopping: Boolean get() = requestedAt != null

    /** Completes when requests in flight have to end at once. */
    val ending: Deferred<Unit> get() = endBegun

    /** Completes when the process may [close]. */
    val ended: Deferred<Unit> get() = done

    /**
     * Whether a request may be accepted now that has to end by [deadline] and, as far as is known of its route, takes
     * [expectedMs].
     */
    fun accepts(deadline: TimeMs, expectedMs: Long?): Boolean {
        val stopAt = requestedAt ?: return true
        if (endBegun.isCompleted) return false
        val now = clock()
        val limitAt = stopAt + rules.limitMs
        val isHandover = now - stopAt < rules.handoverMs
        val expectedEnd = if (isHandover && expectedMs != null) now + expectedMs else deadline
        return minOf(expectedEnd, deadline) <= limitAt
    }

    /** Stops the process, as was requested at [stopAt]; returns when it may end. */
    suspend fun stop(stopAt: TimeMs) {
        if (isStopping) return
        requestedAt = stopAt
        log.info { "event=stop_begun inFlight=${inFlight.count} delayMs=${clock() - stopAt}" }
        perform("leave_directory", actions.leaveDirectory)
        delay(stopAt + rules.acceptMs - clock())
        perform("stop_accepting", actions.stopAccepting)
        awaitRequests(stopAt + rules.limitMs) { inFlight.count == 0 }
        end(stopAt, stopAt + rules.endMs)
    }

    /** Stops the process at once, after a failure: requests in flight are ended within [withinMs]. */
    suspend fun stopNow(withinMs: Long) {
        val now = clock()
        requestedAt = requestedAt ?: now
        perform("leave_directory", actions.leaveDirectory)
        perform("stop_accepting", actions.stopAccepting)
        end(now, now + withinMs)
        close()
    }

    /**
     * Stops reading from callers, so that the process can end at once: a request that it has not read is safe to send
     * again. Returns when requests that were read before have got their response.
     */
    suspend fun close() {
        perform("stop_reading", actions.stopReading)
        delay(POLL_MS)
        awaitRequests(endAt) { inFlight.unansweredCount == 0 }
    }

    /** Ends all requests with a response, at the latest at [latestEndAt]. */
    private suspend fun end(stopAt: TimeMs, latestEndAt: TimeMs) {
        endAt = minOf(endAt, latestEndAt)
        inFlight.requests.forEach(::logCutOff)
        endBegun.complete(Unit)
        awaitRequests(endAt) { inFlight.unansweredCount == 0 }
        log.info { "event=stop_ended afterMs=${clock() - stopAt} inFlight=${inFlight.count}" }
        done.complete(Unit)
    }

    // A step that fails must not keep the process from responding to its requests.
    private fun perform(step: String, action: () -> Unit) = try {
        action()
    } catch (e: Exception) {
        log.error { "event=stop_step_failed step=$step reason=$e" }
    }

    private suspend fun awaitRequests(limitAt: TimeMs, isDone: () -> Boolean) {
        while (!isDone() && clock() < limitAt) delay(POLL_MS)
    }

    private fun logCutOff(request: InFlightRequest) {
        val now = clock()
        log.warn {
            "event=cut_off id=${request.id} phase=${request.phase.code} ageMs=${now - request.receivedAt} " +
                "remainingMs=${request.deadline?.let { it - now }} expectedMs=${request.expectedMs}"
        }
    }

    private companion object {
        val log = KotlinLogging.logger {}
        const val POLL_MS = 20L
    }
}
