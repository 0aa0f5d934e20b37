/** Simulated routers that run the production code for admission, slot quotas and balancing, with peer reports. */
package org.hickorytiller.bench

import org.hickorytiller.admission.Admission
import org.hickorytiller.admission.AdmissionCallbacks
import org.hickorytiller.admission.CustomerLimiter
import org.hickorytiller.admission.CustomerLimits
import org.hickorytiller.admission.PeerSlotQuotas
import org.hickorytiller.admission.RefusalReason
import org.hickorytiller.admission.ServerSlots
import org.hickorytiller.admission.Ticket
import org.hickorytiller.balancing.BackendServerTable
import org.hickorytiller.balancing.LoadReport
import org.hickorytiller.balancing.SelectionRequest
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.ProcessId

internal class HickoryRouters(private val simulation: Simulation, count: Int) : SimulatedRouters {
    private val time = simulation.time
    private val routers = List(count) { Router(it) }
    private val byId = simulation.servers.associateBy { it.listing.id }

    /** Largest number of responses of the slow engine that a router needed to classify the engine as a straggler. */
    var stragglerResponses = 0
        private set

    init {
        routers.forEach { it.refreshServers() }
        time.every(EXCHANGE_INTERVAL_MS) { exchange() }
        time.every(EXCHANGE_INTERVAL_MS) { routers.forEach { it.refreshServers() } }
        var reports = 0
        time.every(EXCHANGE_INTERVAL_MS) { if (!simulation.scenario.dropsReports || reports++ % 3 != 0) reportLoad() }
    }

    override fun submit(result: RequestResult) = routers[result.arrival.router % routers.size].submit(result)

    override fun announceEviction(domain: FailureDomain) =
        routers.forEach { it.table.evictionAnnounced(domain, NOTICE_MS + RUN_MS) }

    private fun exchange() {
        routers.forEach { sender ->
            val report = sender.admission.nextPeerReport(sender.table.inFlight())
            routers.filter { it !== sender }.forEach { receiver ->
                time.after(simulation.deployment.latencyMs) { receiver.applyReport(sender.process, report) }
            }
        }
    }

    private fun reportLoad() {
        val lagMs = simulation.scenario.reportLagMs
        val reports = simulation.servers.map { it.listing.id to LoadReport(lagMs, it.runningCount, it.waiting) }
        time.after(lagMs.toDouble()) {
            routers.forEach { router -> reports.forEach { (id, report) -> router.table.report(id, report) } }
        }
    }

    private inner class Router(index: Int) {
        val process = ProcessId("router-$index")
        private val slotQuotas: PeerSlotQuotas = PeerSlotQuotas(process) { pool -> slots(pool) }
        val table: BackendServerTable = BackendServerTable({ time.now }, quotasOf = slotQuotas::quotas)
        val admission = Admission(
            { time.now },
            table::freeSlots,
            table::totalSlots,
            table::slotsBeyondQuota,
            limiter = CustomerLimiter { customer, requestClass ->
                // The limit is well above the fair share of the abusive customer, so fair queueing has to contain it.
                if (requestClass == null && customer == CUSTOMERS.last()) ABUSER_LIMITS else CustomerLimits.NONE
            },
            slotQuotas = slotQuotas,
        )
        private val slowResponses = HashMap<BackendServerId, Int>()

        private fun slots(pool: PoolId) = table.available(pool).map { ServerSlots(it.id, it.slots) }

        fun refreshServers() {
            table.replace(simulation.servers.map { it.listing })
            slotQuotas.serversChanged()
        }

        fun applyReport(sender: ProcessId, report: org.hickorytiller.admission.PeerReport) {
            admission.applyPeerReport(sender, report)
            table.replacePeersInFlight(slotQuotas.peersInFlight())
        }

        fun submit(result: RequestResult) {
            val arrival = result.arrival
            if (simulation.scenario.hasLogOutage &&
                !arrival.traffic.idempotent &&
                arrival.atMs in FAULT_AT_MS until FAULT_END_MS
            ) {
                result.end = RequestEnd.LOG_DOWN
                return
            }
            requestAdmission(result)
        }

        private fun requestAdmission(result: RequestResult) {
            val arrival = result.arrival
            val requestClass = arrival.traffic.requestClass
            val targetMs = requestClass.firstTokenTargetMs
            val spareMs = maxOf(targetMs / 4, targetMs - table.medianTimeToFirstTokenMs(arrival.traffic.pool))
            val ticket = Ticket(
                admission.newId(),
                arrival.customer,
                requestClass,
                arrival.traffic.pool,
                time.now,
                time.now + spareMs,
                arrival.traffic.idempotent,
            )
            var preempt: () -> Unit = {}
            val callbacks = AdmissionCallbacks(
                acquireSlot = {
                    val preemptRunning = start(ticket, result)
                    preempt = preemptRunning ?: {}
                    preemptRunning != null
                },
                onRefused = {
                    result.end =
                        if (it.reason == RefusalReason.RATE_LIMITED) RequestEnd.LIMITED else RequestEnd.REFUSED
                },
                preempt = { preempt() },
            )
            admission.request(ticket, callbacks)
            time.after(requestClass.timeoutMs.toDouble()) { admission.expire(arrival.traffic.pool) }
        }

        /** Sends the request to a server and returns a function that preempts it, or null if no server has a slot. */
        private fun start(ticket: Ticket, result: RequestResult): (() -> Unit)? {
            val traffic = result.arrival.traffic
            val topTier = simulation.deployment.traffic
                .filter { it.pool == traffic.pool }
                .minOf { it.requestClass.tier }
            val isLossCostly = !traffic.idempotent || traffic.requestClass.tier == topTier
            val prefix = if (traffic.idempotent) longArrayOf(result.arrival.prefix + 1L) else LongArray(0)
            val chosen =
                table.choose(
                    SelectionRequest(
                        traffic.pool,
                        isLossCostly,
                        mayExceedQuota = traffic.requestClass.tier == topTier,
                        prefix = prefix,
                    ),
                )?.id
                    ?: return null
            val server = byId.getValue(chosen)
            table.started(chosen)
            result.attempts++
            val recordEnd = { complete: Boolean ->
                table.ended(chosen)
                admission.ended(ticket, complete)
            }
            val serverRequest = simulation.serverRequest(
                result,
                server,
                priority = traffic.requestClass.tier.value,
                onFirstToken = { tookMs -> recordFirstToken(server, tookMs) },
                onDone = { betweenMs ->
                    if (betweenMs > 0) table.recordInterTokenLatency(chosen, betweenMs)
                    recordEnd(true)
                },
                onFailed = {
                    table.failed(chosen)
                    recordEnd(false)
                    if (simulation.mayRetry(result)) requestAdmission(result) else result.end = RequestEnd.FAILED
                },
                onTokens = { admission.charge(ticket, it) },
            )
            time.after(simulation.deployment.latencyMs) { if (!serverRequest.isEnded) server.send(serverRequest) }
            return {
                server.stop(serverRequest)
                result.end = RequestEnd.PREEMPTED
                result.wastedTokens += result.tokens
                time.after(simulation.deployment.latencyMs) { recordEnd(false) }
            }
        }

        private fun recordFirstToken(server: VirtualServer, tookMs: Double) {
            val id = server.listing.id
            val isSlow = simulation.scenario.slowFactor > 1 && server.slowFactor > 1
            val wasStraggler = table.isStraggler(id)
            table.recordTimeToFirstToken(id, tookMs.toLong())
            if (!isSlow || wasStraggler) return
            slowResponses.merge(id, 1, Int::plus)
            if (table.isStraggler(id)) stragglerResponses = maxOf(stragglerResponses, slowResponses.getValue(id))
        }
    }

    private companion object {
        const val EXCHANGE_INTERVAL_MS = 500L
        val ABUSER_LIMITS = CustomerLimits(requestsPerMinute = 2_000)
    }
}
