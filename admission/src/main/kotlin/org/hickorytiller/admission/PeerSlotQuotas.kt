/**
 * The latest reports of the peers and the quotas that are computed from them. A silent peer keeps its quota until it is
 * declared dead.
 */
package org.hickorytiller.admission

import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.ClassId
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.ProcessId
import org.hickorytiller.core.TimeMs
import kotlin.math.exp
import kotlin.math.pow

/** Returns the slots of the running backend servers of a pool. */
typealias ServersOf = (PoolId) -> List<ServerSlots>

/** Growth of a peer's service to a customer since its previous report; [runningChange] may be negative. */
internal data class PeerChange(
    val pool: PoolId,
    val requestClass: ClassId,
    val customer: CustomerId,
    val tokens: Double,
    val requests: Double,
    val runningChange: Int,
)

/** Slot quotas of the process [self], from its demand and the latest reports of its peers. */
class PeerSlotQuotas(
    private val self: ProcessId,
    private val rules: AdmissionRules = AdmissionRules(),
    private val serversOf: ServersOf,
) {
    private data class CustomerKey(val pool: PoolId, val requestClass: ClassId, val customer: CustomerId)

    private class ReceivedReport(val report: CustomerReport, val at: TimeMs)

    private class Peer(var report: PeerReport) {
        val customers = HashMap<CustomerKey, ReceivedReport>()
    }

    private val peers = HashMap<ProcessId, Peer>()
    private val quotas = HashMap<PoolId, Map<BackendServerId, Int>>()
    private var localReport = PeerReport(0)

    /** Number of peers that have reported and have not been removed. */
    val peerCount: Int get() = peers.size

    /** Returns the slots of each server of [pool] that this router may use; null while there are no peers. */
    fun quotas(pool: PoolId): Map<BackendServerId, Int>? {
        if (peers.isEmpty()) return null
        return quotas.getOrPut(pool) { computeQuotas(pool) }
    }

    /** Returns the requests in flight from all peers by backend server. */
    fun peersInFlight(): Map<BackendServerId, Int> {
        val sums = HashMap<BackendServerId, Int>()
        peers.values.forEach { peer ->
            peer.report.inFlight.forEach { (id, count) -> sums.merge(id, count, Int::plus) }
        }
        return sums
    }

    /** Records the report that this router sends. Quotas use the demand as it was sent, not its changes since then. */
    internal fun recordSent(report: PeerReport) {
        localReport = report
        quotas.clear()
    }

    /** Applies a peer's report. Returns false if it is not newer than the last one or comes from this process. */
    internal fun apply(process: ProcessId, report: PeerReport, now: TimeMs, onChange: (PeerChange) -> Unit): Boolean {
        val known = peers[process]
        if (process == self || known != null && report.sequence <= known.report.sequence) return false
        val peer = known ?: Peer(report).also { peers[process] = it }
        peer.report = report
        report.customers.forEach { latest ->
            val key = CustomerKey(latest.pool, latest.requestClass, latest.customer)
            onChange(changeSince(latest, peer.customers.put(key, ReceivedReport(latest, now)), now))
        }
        quotas.clear()
        return true
    }

    /** Removes a peer that is dead or has left. The tokens that it charged stay and decay. */
    internal fun remove(process: ProcessId, onChange: (PeerChange) -> Unit) {
        val peer = peers.remove(process) ?: return
        peer.customers.values.forEach { known ->
            val last = known.report
            onChange(PeerChange(last.pool, last.requestClass, last.customer, 0.0, 0.0, -last.running))
        }
        quotas.clear()
    }

    /** Discards the computed quotas, because the backend servers have changed. */
    fun serversChanged() = quotas.clear()

    /** Removes the figures of peers for customers that have been idle for a long time. */
    internal fun forgetIdle(now: TimeMs) {
        peers.values.forEach { peer ->
            peer.customers.values.removeIf { it.report.running == 0 && now - it.at > FORGET_AFTER_MS }
        }
    }

    // Figures decay at the sender, so the previous ones are decayed by the same factor before the comparison.
    private fun changeSince(latest: CustomerReport, previous: ReceivedReport?, now: TimeMs): PeerChange {
        val last = previous?.report
        val elapsedMs = now - (previous?.at ?: now)
        val remainingTokensFactor = 2.0.pow(-elapsedMs.toDouble() / rules.serviceHalfLifeMs)
        val remainingRequestsFactor = exp(-elapsedMs / MINUTE_MS)
        return PeerChange(
            latest.pool,
            latest.requestClass,
            latest.customer,
            tokens = maxOf(0.0, latest.chargedTokens - remainingTokensFactor * (last?.chargedTokens ?: 0L)),
            requests = maxOf(0.0, latest.requestsPerMinute - remainingRequestsFactor * (last?.requestsPerMinute ?: 0)),
            runningChange = latest.running - (last?.running ?: 0),
        )
    }

    private fun computeQuotas(pool: PoolId): Map<BackendServerId, Int> {
        val demands = HashMap<ProcessId, List<ClassDemand>>()
        demands[self] = localReport.demand.filter { it.pool == pool }
        peers.forEach { (process, peer) -> demands[process] = peer.report.demand.filter { it.pool == pool } }
        return divideSlots(serversOf(pool), demands, self)
    }

    private companion object {
        const val MINUTE_MS = 60_000.0

        // After ten half-lives a figure has decayed below a thousandth of its value, so it can be removed.
        const val FORGET_AFTER_MS = 600_000L
    }
}
