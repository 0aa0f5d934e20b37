/** The virtual deployment of one run: servers, faults, and the bookkeeping that all policies share. */
package org.hickorytiller.bench

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.PoolId
import java.net.InetSocketAddress

/** Routers under some policy. */
internal interface Routers {
    fun arrive(outcome: Outcome)

    /** Tells of a notice that [domain] is going to be evicted. */
    fun evictionNotice(domain: FailureDomain) = Unit
}

internal class Cell(val shape: Shape, val scenario: Scenario) {
    val time = VirtualTime()
    val servers = servers(ENGINES, shape.engines, ENGINE_SLOTS) + servers(SERVICES, shape.services, SERVICE_SLOTS)
    private val byPool = servers.groupBy { it.listed.pool }

    /** The servers of [pool] that the list names as running. */
    fun usable(pool: PoolId): List<VirtualServer> = byPool.getValue(pool).filter { it.runs }

    private fun servers(pool: PoolId, count: Int, slots: Int) = List(count) { index ->
        val listed = BackendServer(
            BackendServerId("$pool-$index"),
            pool,
            InetSocketAddress.createUnresolved("$pool-$index", 1),
            FailureDomain("zone-${index % shape.failureDomains}"),
            BackendServerState.RUNNING,
            slots,
            reclaimable = pool == ENGINES && index % 3 == 1,
        )
        VirtualServer(time, listed)
    }

    /** Plans the faults of the scenario. */
    fun plan(routers: Routers) {
        val engine = servers.first()
        time.at(FAULT_AT_MS) { engine.slowFactor = scenario.slowFactor }
        time.at(FAULT_END_MS) { engine.slowFactor = 1.0 }
        if (!scenario.evicts) return
        val domain = FailureDomain("zone-1")
        val lost = servers.filter { it.listed.failureDomain == domain && it.listed.reclaimable }
        time.at(FAULT_AT_MS) { routers.evictionNotice(domain) }
        // The platform's list lags behind the notice.
        time.at(FAULT_AT_MS + LIST_LAG_MS) {
            lost.forEach { it.listed = it.listed.copy(state = BackendServerState.LEAVING) }
        }
        time.at(FAULT_AT_MS + NOTICE_MS) { lost.forEach { it.crash(downMs = null) } }
    }

    /** Whether a request whose server was lost may be sent again. */
    fun mayRetry(outcome: Outcome) = outcome.arrival.traffic.idempotent && outcome.attempts < MAX_ATTEMPTS

    /** A request on [server], with the bookkeeping of [outcome]. An engine resumes what an earlier one produced. */
    @Suppress("LongParameterList")
    fun work(
        outcome: Outcome,
        server: VirtualServer,
        priority: Int,
        onFirst: (Double) -> Unit,
        onDone: (Double) -> Unit,
        onFailed: () -> Unit,
        onTokens: (Int) -> Unit = {},
    ): Work {
        val sentAtMs = time.nowMs
        val progress = Progress(
            firstToken = {
                if (outcome.firstTokenMs.isNaN()) outcome.firstTokenMs = time.nowMs + shape.latencyMs
                onFirst(time.nowMs - sentAtMs)
            },
            tokens = {
                outcome.tokens += it
                if (server.listed.reclaimable) outcome.tokensOnReclaimable += it
                onTokens(it)
            },
            done = {
                outcome.betweenTokensMs = it
                outcome.end = End.COMPLETE
                onDone(it)
            },
            failed = onFailed,
        )
        return Work(outcome.arrival, priority, outcome.tokens, progress)
    }

    private companion object {
        const val LIST_LAG_MS = 2_000L
        const val MAX_ATTEMPTS = 2
    }
}
