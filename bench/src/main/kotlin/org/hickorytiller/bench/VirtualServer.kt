/**
 * A simulated backend server with slots, a queue, cached prompt prefixes and faults. Speeds are fixed; only what the
 * routing decisions depend on is modelled.
 */
package org.hickorytiller.bench

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerState
import java.util.PriorityQueue

/** Callbacks for the progress of one request on a server; [onDone] receives the time between tokens in milliseconds. */
internal class RequestCallbacks(
    val onFirstToken: () -> Unit,
    val onTokens: (Int) -> Unit,
    val onDone: (Double) -> Unit,
    val onFailed: () -> Unit,
)

/**
 * One attempt of a request on a server.
 *
 * @property priority order in the server's queue; lower values run first
 * @property skippedTokens tokens that earlier attempts have produced
 */
internal class ServerRequest(
    val arrival: Arrival,
    val priority: Int,
    val skippedTokens: Int,
    val callbacks: RequestCallbacks,
) {
    var arrivalOrder = 0L
    var isEnded = false
}

internal class VirtualServer(private val time: VirtualTimeScheduler, var listing: BackendServer) {
    private val queue = PriorityQueue<ServerRequest>(compareBy({ it.priority }, { it.arrivalOrder }))
    private val running = LinkedHashSet<ServerRequest>()
    private val cachedPrefixes = LinkedHashSet<Int>()
    private var arrivals = 0L
    var slowFactor = 1.0
    var isDown = false
    val inFlight: Int get() = running.size + queue.size
    val waiting: Int get() = queue.size
    val runningCount: Int get() = running.size

    /** Slot time used, in milliseconds. */
    var busyMs = 0.0
        private set

    fun send(request: ServerRequest) {
        if (isDown) return time.after(1.0, request.callbacks.onFailed)
        request.arrivalOrder = arrivals++
        queue += request
        fillSlots()
    }

    fun stop(request: ServerRequest) {
        request.isEnded = true
        queue.remove(request)
        if (running.remove(request)) fillSlots()
    }

    /** Fails all requests in flight and stops the server. It starts again after [downMs], or never if that is null. */
    fun crash(downMs: Double?) {
        isDown = true
        val lostRequests = running.toList() + queue.toList()
        running.clear()
        queue.clear()
        cachedPrefixes.clear()
        lostRequests.forEach {
            it.isEnded = true
            it.callbacks.onFailed()
        }
        if (downMs != null) time.after(downMs) { isDown = false }
        if (downMs == null) listing = listing.copy(state = BackendServerState.LEAVING)
    }

    private fun fillSlots() {
        while (running.size < listing.slots) start(queue.poll() ?: return)
    }

    private fun start(request: ServerRequest) {
        running += request
        val arrival = request.arrival
        if (arrival.crashesServer) return time.after(FIRST_TOKEN_MS) { if (!request.isEnded) crash(CRASH_DOWN_MS) }
        if (arrival.tokens == 0) {
            val tookMs = SERVICE_CALL_MS * arrival.noise
            return time.after(tookMs) { finish(request, tookMs, 0.0) { request.callbacks.onFirstToken() } }
        }
        val isCacheHit = !cachedPrefixes.add(arrival.prefix)
        if (cachedPrefixes.size > MAX_CACHED_PREFIXES) cachedPrefixes.remove(cachedPrefixes.first())
        val firstMs = FIRST_TOKEN_MS * arrival.noise * slowFactor * if (isCacheHit) CACHE_HIT_FACTOR else 1.0
        val betweenMs = BETWEEN_TOKENS_MS * slowFactor
        time.after(firstMs) {
            if (request.isEnded) return@after
            request.callbacks.onFirstToken()
            busyMs += firstMs
            stream(request, maxOf(1, arrival.tokens - request.skippedTokens), betweenMs)
        }
    }

    private fun stream(request: ServerRequest, remaining: Int, betweenMs: Double) {
        val step = minOf(remaining, STEP_TOKENS)
        time.after(step * betweenMs) {
            if (request.isEnded) return@after
            busyMs += step * betweenMs
            request.callbacks.onTokens(step)
            if (request.isEnded) return@after
            if (step == remaining) finish(request, 0.0, betweenMs) {} else stream(request, remaining - step, betweenMs)
        }
    }

    private fun finish(request: ServerRequest, tookMs: Double, betweenMs: Double, beforeDone: () -> Unit) {
        if (request.isEnded) return
        busyMs += tookMs
        request.isEnded = true
        running.remove(request)
        beforeDone()
        request.callbacks.onDone(betweenMs)
        fillSlots()
    }

    private companion object {
        const val STEP_TOKENS = 10
        const val CRASH_DOWN_MS = 10_000.0
        const val MAX_CACHED_PREFIXES = 12
        const val CACHE_HIT_FACTOR = 0.5
    }
}
