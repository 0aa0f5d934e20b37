/**
 * Routers of the baseline policies: without priorities, admission control or fair sharing. A request is cancelled at
 * the timeout of its class.
 */
package org.hickorytiller.bench

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.PoolId

internal class BaselineRouters(private val simulation: Simulation, private val policy: Policy) : SimulatedRouters {
    private val chooseServer = List(ROUTER_COUNT) { baselineSelection(policy, it.toLong()) }
    private val inFlight = List(ROUTER_COUNT) { HashMap<BackendServer, Int>() }
    private val waiting = HashMap<PoolId, ArrayDeque<Attempt>>()

    override fun submit(result: RequestResult) {
        val attempt = Attempt(result)
        simulation.time.after(result.arrival.traffic.requestClass.timeoutMs.toDouble()) { timeOut(attempt) }
        offer(attempt)
    }

    private class Attempt(val result: RequestResult) {
        var serverRequest: ServerRequest? = null
        var server: VirtualServer? = null
    }

    private fun offer(attempt: Attempt) {
        if (policy != Policy.FIRST_COME) return send(attempt)
        waiting.getOrPut(attempt.result.arrival.traffic.pool) { ArrayDeque() }.addLast(attempt)
        startWaiting(attempt.result.arrival.traffic.pool)
    }

    private fun startWaiting(pool: PoolId) {
        val queue = waiting[pool] ?: return
        while (queue.isNotEmpty()) {
            if (queue.first().result.end != RequestEnd.OPEN) {
                queue.removeFirst()
                continue
            }
            val free =
                simulation.runningServers(pool).filter { it.inFlight < it.listing.slots }.minByOrNull { it.inFlight }
                    ?: return
            sendTo(queue.removeFirst(), free)
        }
    }

    private fun send(attempt: Attempt) {
        val arrival = attempt.result.arrival
        val runningServers = simulation.runningServers(arrival.traffic.pool)
        val listings = runningServers.map { it.listing }
        val chosen = chooseServer[arrival.router](listings, inFlight[arrival.router]) ?: return refuse(attempt)
        sendTo(attempt, runningServers.first { it.listing === chosen })
    }

    private fun refuse(attempt: Attempt) {
        attempt.result.end = RequestEnd.REFUSED
    }

    private fun sendTo(attempt: Attempt, server: VirtualServer) {
        val result = attempt.result
        val counts = inFlight[result.arrival.router]
        val listing = server.listing
        result.attempts++
        counts.merge(listing, 1, Int::plus)
        val recordEnd = {
            counts.computeIfPresent(listing) { _, count -> count - 1 }
            if (policy == Policy.FIRST_COME) simulation.time.after(0.0) { startWaiting(result.arrival.traffic.pool) }
        }
        val serverRequest = simulation.serverRequest(
            result,
            server,
            priority = 0,
            onFirstToken = {},
            onDone = { recordEnd() },
            onFailed = {
                recordEnd()
                if (simulation.mayRetry(result)) offer(attempt) else result.end = RequestEnd.FAILED
            },
        )
        attempt.serverRequest = serverRequest
        attempt.server = server
        simulation.time.after(simulation.deployment.latencyMs) {
            if (!serverRequest.isEnded) server.send(serverRequest)
        }
    }

    private fun timeOut(attempt: Attempt) {
        val result = attempt.result
        if (result.end != RequestEnd.OPEN) return
        result.end = RequestEnd.TIMED_OUT
        result.wastedTokens += result.tokens
        val serverRequest = attempt.serverRequest ?: return
        attempt.server?.stop(serverRequest)
        attempt.server?.listing?.let { listing ->
            inFlight[result.arrival.router].computeIfPresent(listing) { _, count -> count - 1 }
        }
        if (policy == Policy.FIRST_COME) startWaiting(result.arrival.traffic.pool)
    }
}

/** Whether the platform's list has the server as running, so that it accepts requests. */
internal val VirtualServer.isListedRunning: Boolean get() = listing.state == BackendServerState.RUNNING
