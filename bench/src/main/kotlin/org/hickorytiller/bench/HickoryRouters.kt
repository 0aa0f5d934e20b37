/** Routers that run the project's decision code: admission, sharing and balancing, with an exchange between peers. */
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

internal class HickoryRouters(private val cell: Cell, count: Int) : Routers {
    private val time = cell.time
    private val routers = List(count) { Router(it) }
    private val byId = cell.servers.associateBy { it.listed.id }

    /** Most answers of the slow engine that a router saw before it took the engine for a straggler. */
    var stragglerAnswers = 0
        private set

    init {
        routers.forEach { it.listServers() }
        time.every(EXCHANGE_MS) { exchange() }
        time.every(EXCHANGE_MS) { routers.forEach { it.listServers() } }
        var reports = 0
        time.every(EXCHANGE_MS) { if (!cell.scenario.gappedReports || reports++ % 3 != 0) reportLoad() }
    }

    override fun arrive(outcome: Outcome) = routers[outcome.arrival.router % routers.size].arrive(outcome)

    override fun evictionNotice(domain: FailureDomain) =
        routers.forEach { it.table.reclaimAnnounced(domain, NOTICE_MS + RUN_MS) }

    private fun exchange() {
        routers.forEach { from ->
            val report = from.admission.nextPeerReport(from.table.inFlight())
            routers.filter { it !== from }.forEach { to ->
                time.after(cell.shape.latencyMs) { to.apply(from.process, report) }
            }
        }
    }

    private fun reportLoad() {
        val lagMs = cell.scenario.reportLagMs
        val reports = cell.servers.map { it.listed.id to LoadReport(lagMs, it.runningCount, it.waiting) }
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
                // The abusive customer has a limit well above its fair share, so that fairness still has work to do.
                if (requestClass == null && customer == CUSTOMERS.last()) ABUSER_LIMITS else CustomerLimits.NONE
            },
            slotQuotas = slotQuotas,
        )
        private val slowAnswers = HashMap<BackendServerId, Int>()

        private fun slots(pool: PoolId) = table.available(pool).map { ServerSlots(it.id, it.slots) }

        fun listServers() {
            table.replace(cell.servers.map { it.listed })
            slotQuotas.serversChanged()
        }

        fun apply(from: ProcessId, report: org.hickorytiller.admission.PeerReport) {
            admission.applyPeerReport(from, report)
            table.replacePeersInFlight(slotQuotas.peersInFlight())
        }

        fun arrive(outcome: Outcome) {
            val arrival = outcome.arrival
            if (cell.scenario.logOutage &&
                !arrival.traffic.idempotent &&
                arrival.atMs in FAULT_AT_MS until FAULT_END_MS
            ) {
                outcome.end = End.LOG_DOWN
                return
            }
            request(outcome)
        }

        private fun request(outcome: Outcome) {
            val arrival = outcome.arrival
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
                    val stop = start(ticket, outcome)
                    preempt = stop ?: {}
                    stop != null
                },
                onRefused = { outcome.end = if (it.reason == RefusalReason.RATE_LIMITED) End.LIMITED else End.REFUSED },
                preempt = { preempt() },
            )
            admission.request(ticket, callbacks)
            time.after(requestClass.timeoutMs.toDouble()) { admission.expire(arrival.traffic.pool) }
        }

        private fun start(ticket: Ticket, outcome: Outcome): (() -> Unit)? {
            val traffic = outcome.arrival.traffic
            val topTier = cell.shape.traffic.filter { it.pool == traffic.pool }.minOf { it.requestClass.tier }
            val isLossCostly = !traffic.idempotent || traffic.requestClass.tier == topTier
            val prefix = if (traffic.idempotent) longArrayOf(outcome.arrival.prefix + 1L) else LongArray(0)
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
            outcome.attempts++
            val ended = { complete: Boolean ->
                table.ended(chosen)
                admission.ended(ticket, complete)
            }
            val work = cell.work(
                outcome,
                server,
                priority = traffic.requestClass.tier.value,
                onFirst = { tookMs -> firstToken(server, tookMs) },
                onDone = { betweenMs ->
                    if (betweenMs > 0) table.recordInterTokenLatency(chosen, betweenMs)
                    ended(true)
                },
                onFailed = {
                    table.failed(chosen)
                    ended(false)
                    if (cell.mayRetry(outcome)) request(outcome) else outcome.end = End.FAILED
                },
                onTokens = { admission.charge(ticket, it) },
            )
            time.after(cell.shape.latencyMs) { if (!work.stopped) server.send(work) }
            return {
                server.stop(work)
                outcome.end = End.PREEMPTED
                outcome.wastedTokens += outcome.tokens
                time.after(cell.shape.latencyMs) { ended(false) }
            }
        }

        private fun firstToken(server: VirtualServer, tookMs: Double) {
            val id = server.listed.id
            val slow = cell.scenario.slowFactor > 1 && server.slowFactor > 1
            val known = table.isStraggler(id)
            table.recordTimeToFirstToken(id, tookMs.toLong())
            if (!slow || known) return
            slowAnswers.merge(id, 1, Int::plus)
            if (table.isStraggler(id)) stragglerAnswers = maxOf(stragglerAnswers, slowAnswers.getValue(id))
        }
    }

    private companion object {
        const val EXCHANGE_MS = 500L
        val ABUSER_LIMITS = CustomerLimits(requestsPerMinute = 2_000)
    }
}
