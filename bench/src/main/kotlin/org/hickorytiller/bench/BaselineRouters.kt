/** Routers of the baselines: no classes, no refusals, no shares. Callers give up at the timeout of their class. */
package org.hickorytiller.bench

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.PoolId

internal class BaselineRouters(private val cell: Cell, private val policy: Policy) : Routers {
    private val choices = List(ROUTERS) { baselineChoice(policy, it.toLong()) }
    private val inFlight = List(ROUTERS) { HashMap<BackendServer, Int>() }
    private val waiting = HashMap<PoolId, ArrayDeque<Attempt>>()

    override fun arrive(outcome: Outcome) {
        val attempt = Attempt(outcome)
        cell.time.after(outcome.arrival.traffic.requestClass.timeoutMs.toDouble()) { timeOut(attempt) }
        offer(attempt)
    }

    private class Attempt(val outcome: Outcome) {
        var work: Work? = null
        var server: VirtualServer? = null
    }

    private fun offer(attempt: Attempt) {
        if (policy != Policy.FIRST_COME) return send(attempt)
        waiting.getOrPut(attempt.outcome.arrival.traffic.pool) { ArrayDeque() }.addLast(attempt)
        startWaiting(attempt.outcome.arrival.traffic.pool)
    }

    private fun startWaiting(pool: PoolId) {
        val queue = waiting[pool] ?: return
        while (queue.isNotEmpty()) {
            if (queue.first().outcome.end != End.OPEN) {
                queue.removeFirst()
                continue
            }
            val free = cell.usable(pool).filter { it.inFlight < it.listed.slots }.minByOrNull { it.inFlight } ?: return
            sendTo(queue.removeFirst(), free)
        }
    }

    private fun send(attempt: Attempt) {
        val arrival = attempt.outcome.arrival
        val usable = cell.usable(arrival.traffic.pool)
        val known = usable.map { it.listed }
        val chosen = choices[arrival.router](known, inFlight[arrival.router]) ?: return refuse(attempt)
        sendTo(attempt, usable.first { it.listed === chosen })
    }

    private fun refuse(attempt: Attempt) {
        attempt.outcome.end = End.REFUSED
    }

    private fun sendTo(attempt: Attempt, server: VirtualServer) {
        val outcome = attempt.outcome
        val counts = inFlight[outcome.arrival.router]
        val listed = server.listed
        outcome.attempts++
        counts.merge(listed, 1, Int::plus)
        val ended = {
            counts.computeIfPresent(listed) { _, count -> count - 1 }
            if (policy == Policy.FIRST_COME) cell.time.after(0.0) { startWaiting(outcome.arrival.traffic.pool) }
        }
        val work = cell.work(outcome, server, priority = 0, onFirst = {}, onDone = { ended() }, onFailed = {
            ended()
            if (cell.mayRetry(outcome)) offer(attempt) else outcome.end = End.FAILED
        })
        attempt.work = work
        attempt.server = server
        cell.time.after(cell.shape.latencyMs) { if (!work.stopped) server.send(work) }
    }

    private fun timeOut(attempt: Attempt) {
        val outcome = attempt.outcome
        if (outcome.end != End.OPEN) return
        outcome.end = End.TIMED_OUT
        outcome.wastedTokens += outcome.tokens
        val work = attempt.work ?: return
        attempt.server?.stop(work)
        attempt.server?.listed?.let { listed ->
            inFlight[outcome.arrival.router].computeIfPresent(listed) { _, count -> count - 1 }
        }
        if (policy == Policy.FIRST_COME) startWaiting(outcome.arrival.traffic.pool)
    }
}

/** Whether the platform's list says that the server takes work. */
internal val VirtualServer.runs: Boolean get() = listed.state == BackendServerState.RUNNING
