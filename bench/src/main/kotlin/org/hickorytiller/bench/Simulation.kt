/** The simulated deployment of one run: its servers, faults, and the request records that all policies share. */
package org.hickorytiller.bench

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.PoolId
import java.net.InetSocketAddress

/** The routers of a deployment under one policy. */
internal interface SimulatedRouters {
    fun submit(result: RequestResult)

    /** Announces that the reclaimable servers of [domain] are going to be evicted. */
    fun announceEviction(domain: FailureDomain) = Unit
}

internal class Simulation(val deployment: DeploymentSpec, val scenario: Scenario) {
    val time = VirtualTimeScheduler()
    val servers =
        servers(ENGINES, deployment.engines, ENGINE_SLOTS) + servers(SERVICES, deployment.services, SERVICE_SLOTS)
    private val byPool = servers.groupBy { it.listing.pool }

    /** Returns the servers of [pool] that the platform lists as running. */
    fun runningServers(pool: PoolId): List<VirtualServer> = byPool.getValue(pool).filter { it.isListedRunning }

    private fun servers(pool: PoolId, count: Int, slots: Int) = List(count) { index ->
        val listing = BackendServer(
            BackendServerId("$pool-$index"),
            pool,
            InetSocketAddress.createUnresolved("$pool-$index", 1),
            FailureDomain("zone-${index % deployment.failureDomains}"),
            BackendServerState.RUNNING,
            slots,
            reclaimable = pool == ENGINES && index % 3 == 1,
        )
        VirtualServer(time, listing)
    }

    /** Schedules the faults of the scenario. */
    fun scheduleFaults(routers: SimulatedRouters) {
        val engine = servers.first()
        time.at(FAULT_AT_MS) { engine.slowFactor = scenario.slowFactor }
        time.at(FAULT_END_MS) { engine.slowFactor = 1.0 }
        if (!scenario.evictsDomain) return
        val domain = FailureDomain("zone-1")
        val evicted = servers.filter { it.listing.failureDomain == domain && it.listing.reclaimable }
        time.at(FAULT_AT_MS) { routers.announceEviction(domain) }
        // The platform's list lags behind the notice.
        time.at(FAULT_AT_MS + LIST_LAG_MS) {
            evicted.forEach { it.listing = it.listing.copy(state = BackendServerState.LEAVING) }
        }
        time.at(FAULT_AT_MS + NOTICE_MS) { evicted.forEach { it.crash(downMs = null) } }
    }

    /** Whether a request whose server crashed may be retried. */
    fun mayRetry(result: RequestResult) = result.arrival.traffic.idempotent && result.attempts < MAX_ATTEMPTS

    /** Creates a request for [server] that updates [result]. An engine resumes after the tokens of earlier attempts. */
    @Suppress("LongParameterList")
    fun serverRequest(
        result: RequestResult,
        server: VirtualServer,
        priority: Int,
        onFirstToken: (Double) -> Unit,
        onDone: (Double) -> Unit,
        onFailed: () -> Unit,
        onTokens: (Int) -> Unit = {},
    ): ServerRequest {
        val sentAtMs = time.nowMs
        val callbacks = RequestCallbacks(
            onFirstToken = {
                if (result.firstTokenMs.isNaN()) result.firstTokenMs = time.nowMs + deployment.latencyMs
                onFirstToken(time.nowMs - sentAtMs)
            },
            onTokens = {
                result.tokens += it
                if (server.listing.reclaimable) result.tokensOnReclaimable += it
                onTokens(it)
            },
            onDone = {
                result.betweenTokensMs = it
                result.end = RequestEnd.COMPLETE
                onDone(it)
            },
            onFailed = onFailed,
        )
        return ServerRequest(result.arrival, priority, result.tokens, callbacks)
    }

    private companion object {
        const val LIST_LAG_MS = 2_000L
        const val MAX_ATTEMPTS = 2
    }
}
