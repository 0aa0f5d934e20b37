/** Drains the process: lets its requests end, runs the shutdown functions and announces the end to peers. */
package org.hickorytiller.router

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.hickorytiller.core.Clock
import org.hickorytiller.core.TimeMs
import org.hickorytiller.http.ServerConnection
import org.hickorytiller.membership.Drain
import org.hickorytiller.membership.DrainPhase
import org.hickorytiller.timeline.EventKind
import org.hickorytiller.timeline.RecordEvent

/**
 * Completes some work before the process exits, for example flushes usage. It may be called more than once, since
 * requests that are received meanwhile are still served.
 */
internal typealias ShutdownFunction = suspend () -> Unit

/** Runs the phases of a drain and counts requests in flight. Confined to the event loop. */
internal class DrainTask(
    private val drain: Drain,
    private val clock: Clock,
    private val announceLeaving: () -> Unit,
    private val announceEnd: suspend () -> Unit,
    private val record: RecordEvent,
) {
    private val shutdownFunctions = ArrayList<Pair<String, ShutdownFunction>>()
    private val begun = CompletableDeferred<Unit>()
    private val completed = CompletableDeferred<Unit>()

    /** Completes when the process may exit. */
    val ended: Deferred<Unit> get() = completed

    /** Adds a function that runs when no request is in flight any more. Functions run in the order of addition. */
    fun onShutdown(name: String, function: ShutdownFunction) {
        shutdownFunctions += name to function
    }

    /** Begins the drain. Returns false if it has begun already. */
    fun begin(): Boolean {
        if (!drain.begin(clock())) return false
        announceLeaving()
        record(EventKind.DRAIN_STARTED, "${drain.inFlight} requests in flight", null)
        log.info { "leaving; ${drain.inFlight} requests in flight" }
        return begun.complete(Unit)
    }

    /** Waits for [begin], then drains the process. */
    suspend fun run() {
        begun.await()
        awaitPhase(DrainPhase.CLOSING)
        record(EventKind.DRAIN_CLOSING, "${drain.inFlight} requests in flight", null)
        do {
            awaitPhase(DrainPhase.ENDED)
            shutdownFunctions.forEach { (name, function) -> shutDown(name, function) }
        } while (drain.phase(clock()) != DrainPhase.ENDED)
        // Requests that arrive while the end is announced would be cut off.
        drain.close()
        record(EventKind.DRAIN_ENDED, "${drain.inFlight} requests in flight", null)
        announceEnd()
        log.info { "drained; ${drain.inFlight} requests in flight" }
        completed.complete(Unit)
    }

    /** Serves one request of [connection] with [serve] and counts it as in flight meanwhile. */
    suspend fun track(connection: ServerConnection, serve: suspend () -> Boolean): Boolean {
        if (drain.requestStarted(clock())) connection.closeAfterResponse = true
        try {
            val isReusable = serve()
            // The process may exit once the request has ended, so its response has to be written by then.
            if (drain.isDraining) connection.flush()
            return isReusable
        } finally {
            drain.requestEnded(clock())
        }
    }

    /** Whether a request may be served that has to end by [deadline]. */
    fun accepts(deadline: TimeMs): Boolean = drain.accepts(deadline)

    /** Returns the phase and the number of requests in flight, for operators. */
    fun status() = mapOf("phase" to drain.phase(clock()).name.lowercase(), "inFlight" to drain.inFlight)

    private suspend fun awaitPhase(phase: DrainPhase) {
        while (drain.phase(clock()) < phase) delay(CHECK_INTERVAL_MS)
    }

    private suspend fun shutDown(name: String, function: ShutdownFunction) {
        try {
            withTimeoutOrNull(SHUTDOWN_TIMEOUT_MS) { function() } ?: log.warn { "$name did not end in time" }
        } catch (e: kotlinx.coroutines.CancellationException) {
            throw e
        } catch (e: Exception) {
            log.warn(e) { "$name failed" }
        }
    }

    private companion object {
        val log = KotlinLogging.logger {}
        const val CHECK_INTERVAL_MS = 50L

        // Longer than the few seconds after which an append is abandoned while the log is unavailable.
        const val SHUTDOWN_TIMEOUT_MS = 10_000L
    }
}
