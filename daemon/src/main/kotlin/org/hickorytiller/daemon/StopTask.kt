/**
 * A planned stop. Callers cache the directory's responses, so the host first leaves the directory and goes on serving
 * until those responses have expired. Then it stops accepting connections and waits for the requests in flight.
 */
package org.hickorytiller.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.delay
import org.hickorytiller.core.Clock

/**
 * @property acceptMs time for which connections are still accepted: callers use a directory response for up to three
 *   times its lifetime
 * @property limitMs time after which the process ends even if requests are still in flight
 */
internal data class StopRules(val acceptMs: Long, val limitMs: Long)

/** The stop of one process. Confined to the event loop. */
internal class StopTask(
    private val clock: Clock,
    private val rules: StopRules,
    private val inFlight: InFlight,
    private val leaveDirectory: () -> Unit,
    private val stopAccepting: () -> Unit,
) {
    private val done = CompletableDeferred<Unit>()

    /** Whether a stop has begun. */
    var isStopping = false
        private set

    /** Completes when the process may end. */
    val ended: Deferred<Unit> get() = done

    /** Stops the process; returns when it may end. */
    suspend fun stop() {
        if (isStopping) return
        isStopping = true
        val startedAt = clock()
        log.info { "event=stop_begun inFlight=${inFlight.count}" }
        leaveDirectory()
        delay(rules.acceptMs)
        stopAccepting()
        while (inFlight.count > 0 && clock() - startedAt < rules.limitMs) delay(POLL_MS)
        log.info { "event=stop_ended afterMs=${clock() - startedAt} inFlight=${inFlight.count}" }
        delay(LOG_FLUSH_MS)
        done.complete(Unit)
    }

    private companion object {
        val log = KotlinLogging.logger {}
        const val POLL_MS = 20L

        // Lets the log thread write the last lines.
        const val LOG_FLUSH_MS = 250L
    }
}
