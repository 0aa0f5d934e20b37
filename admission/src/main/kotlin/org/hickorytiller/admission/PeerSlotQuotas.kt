/**
 * The newest reports of the peers and the quotas that follow from them. A silent peer keeps its quota until it is
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

/** Slots of the backend servers of a pool that run. */
typealias ServersOf = (PoolId) -> List<ServerSlots>

/** What a peer's service to a customer has grown by since its previous report; [running] may be negative. */
internal data class PeerChange(
    val pool: PoolId,
    val requestClass: ClassId,
    val customer: CustomerId,
    val tokens: Double,
    val requests: Double,
    val running: Int,
)

/** Reports by process. [self] is this process. */
class PeerSlotQuotas(
    private val self: ProcessId,
    private val rules: AdmissionRules = AdmissionRules(),
    private val serversOf: ServersOf,
) {
    private data class CustomerKey(val pool: PoolId, val requestClass: ClassId, val customer: CustomerId)

    private class Known(val report: CustomerReport, val at: TimeMs)

    private class Peer(var report: PeerReport) {
        val customers = HashMap<CustomerKey, Known>()
    }

    private val peers = HashMap<ProcessId, Peer>()
    private val quotas = HashMap<PoolId, Map<BackendServerId, Int>>()
    private var own = PeerReport(0)

    /** Number of peers that have reported and are not declared dead. */
    val peerCount: Int get() = peers.size

    /** Slots of each server of [pool] that this router may use; null while there is no peer to share with. */
    fun quotas(pool: PoolId): Map<BackendServerId, Int>? {
        if (peers.isEmpty()) return null
        return quotas.getOrPut(pool) { computeQuotas(pool) }
    }

    /** Requests in flight of all peers by backend server. */
    fun peersInFlight(): Map<BackendServerId, Int> {
        val sums = HashMap<BackendServerId, Int>()
        peers.values.forEach { peer ->
            peer.report.inFlight.forEach { (id, count) -> sums.merge(id, count, Int::plus) }
        }
        return sums
    }

    /** Records the report that this router sends. Quotas count what was sent, not what has changed since. */
    internal fun reported(report: PeerReport) {
        own = report
        quotas.clear()
    }

    /** Takes a peer's report; false if it is not newer than the one that is known. */
    internal fun apply(process: ProcessId, report: PeerReport, now: TimeMs, onChange: (PeerChange) -> Unit): Boolean {
        val known = peers[process]
        if (process == self || known != null && report.sequence <= known.report.sequence) return false
        val peer = known ?: Peer(report).also { peers[process] = it }
        peer.report = report
        report.customers.forEach { newest ->
            val key = CustomerKey(newest.pool, newest.requestClass, newest.customer)
            onChange(change(newest, peer.customers.put(key, Known(newest, now)), now))
        }
        quotas.clear()
        return true
    }

    /** Forgets a peer that is dead or has left. What it charged stays and decays. */
    internal fun remove(process: ProcessId, onChange: (PeerChange) -> Unit) {
        val peer = peers.remove(process) ?: return
        peer.customers.values.forEach { known ->
            val last = known.report
            onChange(PeerChange(last.pool, last.requestClass, last.customer, 0.0, 0.0, -last.running))
        }
        quotas.clear()
    }

    /** Computes the quotas anew, because the backend servers have changed. */
    fun serversChanged() = quotas.clear()

    /** Forgets customers of peers that have been idle for long. */
    internal fun forgetIdle(now: TimeMs) {
        peers.values.forEach { peer ->
            peer.customers.values.removeIf { it.report.running == 0 && now - it.at > FORGET_AFTER_MS }
        }
    }

    // Figures decay at the sender, so the previous ones are decayed likewise before they are compared.
    private fun change(newest: CustomerReport, previous: Known?, now: TimeMs): PeerChange {
        val last = previous?.report
        val elapsedMs = now - (previous?.at ?: now)
        val tokensLeft = 2.0.pow(-elapsedMs.toDouble() / rules.serviceHalfLifeMs)
        val requestsLeft = exp(-elapsedMs / MINUTE_MS)
        return PeerChange(
            newest.pool,
            newest.requestClass,
            newest.customer,
            tokens = maxOf(0.0, newest.chargedTokens - tokensLeft * (last?.chargedTokens ?: 0L)),
            requests = maxOf(0.0, newest.requestsPerMinute - requestsLeft * (last?.requestsPerMinute ?: 0)),
            running = newest.running - (last?.running ?: 0),
        )
    }

    private fun computeQuotas(pool: PoolId): Map<BackendServerId, Int> {
        val demands = HashMap<ProcessId, List<ClassDemand>>()
        demands[self] = own.demand.filter { it.pool == pool }
        peers.forEach { (process, peer) -> demands[process] = peer.report.demand.filter { it.pool == pool } }
        return divideSlots(serversOf(pool), demands, self)
    }

    private companion object {
        const val MINUTE_MS = 60_000.0

        // After ten half-lives a forgotten figure that comes back is below a thousandth of its value.
        const val FORGET_AFTER_MS = 600_000L
    }
}
