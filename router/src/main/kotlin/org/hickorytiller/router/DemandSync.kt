/**
 * Exchanges demand, charges and requests in flight between the routers of a deployment, so that they divide the slots
 * of the backend servers and apply fair shares to customers without a central counter. A report replaces the previous
 * one.
 */
package org.hickorytiller.router

import kotlinx.coroutines.delay
import org.hickorytiller.admission.Admission
import org.hickorytiller.admission.ClassDemand
import org.hickorytiller.admission.CustomerReport
import org.hickorytiller.admission.PeerReport
import org.hickorytiller.admission.PeerSlotQuotas
import org.hickorytiller.balancing.BackendServerTable
import org.hickorytiller.core.ProcessId
import org.hickorytiller.peering.CustomerCharge
import org.hickorytiller.peering.DemandReport
import org.hickorytiller.peering.LinkHandler
import org.hickorytiller.peering.MemberRole
import org.hickorytiller.peering.PeerIdentity
import org.hickorytiller.peering.ServerInFlight
import org.hickorytiller.peering.ClassDemand as PeerClassDemand

/** Sends reports of this router and applies those of its peers. Confined to the event loop. */
internal class DemandSync(
    private val admission: Admission,
    private val slotQuotas: PeerSlotQuotas,
    private val servers: BackendServerTable,
) {
    private var latest: DemandReport? = null

    /** Creates a report every [REPORT_INTERVAL_MS]. Does not return. */
    suspend fun run(): Nothing {
        while (true) {
            latest = admission.nextPeerReport(servers.inFlight()).toMessage()
            delay(REPORT_INTERVAL_MS)
        }
    }

    /** Removes long-idle admission state every [FORGET_INTERVAL_MS]. Does not return. */
    suspend fun forgetIdle(): Nothing {
        while (true) {
            delay(FORGET_INTERVAL_MS)
            admission.forgetIdle()
        }
    }

    /** Creates the handler of the link to [peer]. Reports are exchanged with routers only. */
    fun open(peer: PeerIdentity): LinkHandler {
        if (peer.id.role != MemberRole.ROUTER) return LinkHandler()
        var sentSequence = -1L
        return LinkHandler(
            fill = { builder ->
                val report = latest
                if (report != null && report.sequence != sentSequence) {
                    builder.demand = report
                    sentSequence = report.sequence
                }
            },
            consume = { message -> message.demand?.let { apply(peer.process, it) } },
        )
    }

    /** Divides the slots of [process], which is dead or was replaced, among the other routers. */
    fun remove(process: ProcessId) {
        admission.removePeer(process)
        servers.replacePeersInFlight(slotQuotas.peersInFlight())
    }

    private fun apply(process: ProcessId, report: DemandReport) {
        admission.applyPeerReport(process, report.toPeerReport())
        servers.replacePeersInFlight(slotQuotas.peersInFlight())
    }

    private fun PeerReport.toMessage() = DemandReport(
        sequence,
        demand.map {
            PeerClassDemand(it.pool, it.requestClass, it.tier, it.waiting, it.running, it.offeredSlots)
        },
        customers.map {
            CustomerCharge(
                it.pool,
                it.requestClass,
                it.customer,
                it.chargedTokens,
                it.running,
                it.requestsPerMinute,
            )
        },
        inFlight.map { ServerInFlight(it.key, it.value) },
    )

    private fun DemandReport.toPeerReport() = PeerReport(
        sequence,
        classes.map { ClassDemand(it.pool, it.requestClass, it.tier, it.waiting, it.running, it.offeredSlots) },
        customers.map {
            CustomerReport(
                it.pool,
                it.requestClass,
                it.customer,
                it.chargedTokens,
                it.running,
                it.requestsPerMinute,
            )
        },
        backends.associate { it.backendServer to it.inFlight },
    )

    private companion object {
        const val REPORT_INTERVAL_MS = 500L
        const val FORGET_INTERVAL_MS = 60_000L
    }
}
