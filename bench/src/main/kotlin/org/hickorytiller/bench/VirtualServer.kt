/**
 * A backend server in virtual time: slots, a queue of its own, prompt prefixes in cache, and faults. Speeds are fixed;
 * only what the decisions depend on is modelled.
 */
package org.hickorytiller.bench

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerState
import java.util.PriorityQueue

/** Receives what happens to one request on a server. */
internal class Progress(
    val firstToken: () -> Unit,
    val tokens: (Int) -> Unit,
    val done: (Double) -> Unit,
    val failed: () -> Unit,
)

/**
 * A request on a server.
 *
 * @property priority order in the server's own queue
 * @property skippedTokens tokens that an earlier server has produced
 */
internal class Work(val arrival: Arrival, val priority: Int, val skippedTokens: Int, val progress: Progress) {
    var order = 0L
    var stopped = false
}

internal class VirtualServer(private val time: VirtualTime, var listed: BackendServer) {
    private val queue = PriorityQueue<Work>(compareBy({ it.priority }, { it.order }))
    private val running = LinkedHashSet<Work>()
    private val cached = LinkedHashSet<Int>()
    private var arrivals = 0L
    var slowFactor = 1.0
    var gone = false
    val inFlight: Int get() = running.size + queue.size
    val waiting: Int get() = queue.size
    val runningCount: Int get() = running.size

    /** Slot time used, in milliseconds. */
    var busyMs = 0.0
        private set

    fun send(work: Work) {
        if (gone) return time.after(1.0, work.progress.failed)
        work.order = arrivals++
        queue += work
        startNext()
    }

    fun stop(work: Work) {
        work.stopped = true
        queue.remove(work)
        if (running.remove(work)) startNext()
    }

    /** Ends the process; everything in flight fails. It comes back after [downMs], or never. */
    fun crash(downMs: Double?) {
        gone = true
        val lost = running.toList() + queue.toList()
        running.clear()
        queue.clear()
        cached.clear()
        lost.forEach {
            it.stopped = true
            it.progress.failed()
        }
        if (downMs != null) time.after(downMs) { gone = false }
        if (downMs == null) listed = listed.copy(state = BackendServerState.LEAVING)
    }

    private fun startNext() {
        while (running.size < listed.slots) start(queue.poll() ?: return)
    }

    private fun start(work: Work) {
        running += work
        val arrival = work.arrival
        if (arrival.poison) return time.after(FIRST_TOKEN_MS) { if (!work.stopped) crash(CRASH_DOWN_MS) }
        if (arrival.tokens == 0) {
            val tookMs = SERVICE_CALL_MS * arrival.noise
            return time.after(tookMs) { finish(work, tookMs, 0.0) { work.progress.firstToken() } }
        }
        val hit = !cached.add(arrival.prefix)
        if (cached.size > CACHED_PREFIXES) cached.remove(cached.first())
        val firstMs = FIRST_TOKEN_MS * arrival.noise * slowFactor * if (hit) CACHE_HIT_FACTOR else 1.0
        val betweenMs = BETWEEN_TOKENS_MS * slowFactor
        time.after(firstMs) {
            if (work.stopped) return@after
            work.progress.firstToken()
            busyMs += firstMs
            stream(work, maxOf(1, arrival.tokens - work.skippedTokens), betweenMs)
        }
    }

    private fun stream(work: Work, left: Int, betweenMs: Double) {
        val step = minOf(left, STEP_TOKENS)
        time.after(step * betweenMs) {
            if (work.stopped) return@after
            busyMs += step * betweenMs
            work.progress.tokens(step)
            if (work.stopped) return@after
            if (step == left) finish(work, 0.0, betweenMs) {} else stream(work, left - step, betweenMs)
        }
    }

    private fun finish(work: Work, tookMs: Double, betweenMs: Double, before: () -> Unit) {
        if (work.stopped) return
        busyMs += tookMs
        work.stopped = true
        running.remove(work)
        before()
        work.progress.done(betweenMs)
        startNext()
    }

    private companion object {
        const val STEP_TOKENS = 10
        const val CRASH_DOWN_MS = 10_000.0
        const val CACHED_PREFIXES = 12
        const val CACHE_HIT_FACTOR = 0.5
    }
}
