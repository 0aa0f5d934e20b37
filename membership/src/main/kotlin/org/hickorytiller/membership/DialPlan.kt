/** Decides which peer addresses this process connects to. */
package org.hickorytiller.membership

import org.hickorytiller.core.HostId
import org.hickorytiller.core.TimeMs
import org.hickorytiller.peering.MemberId
import org.hickorytiller.peering.MemberRole
import org.hickorytiller.peering.MemberState

/** An entry of the platform's host list, which lags. It is an address to probe, not a sign that the host is alive. */
data class Contact(val host: HostId, val peerAddress: String)

/** Selects the addresses to connect to. Confined to the event loop. */
class DialPlan(private val limits: MembershipLimits) {
    private var probeIndex = 0
    private var probeStartedAt: TimeMs? = null

    /**
     * Returns the addresses to keep a link to: the neighbours that this process chose, and, one after the other, the
     * addresses of [contacts] and dead routers that no live member has, so that the sides of a partition reconnect
     * after it heals.
     *
     * @param inbound members that have a link to this process; of two members that chose each other, only the one with
     *   the lower id keeps its outbound link
     */
    fun addresses(
        table: MemberTable,
        topology: PeerTopology,
        inbound: Set<MemberId>,
        contacts: List<Contact>,
        now: TimeMs,
    ): Set<String> {
        val localRecord = table.localRecord
        val chosen =
            topology.outboundPeers(localRecord.id)
                .filterNot { it in inbound && it.toString() < localRecord.id.toString() }
        val outboundAddresses =
            chosen.mapNotNullTo(LinkedHashSet()) { id -> table[id]?.peerAddress?.takeIf { it.isNotEmpty() } }
        return outboundAddresses + probeAddresses(table, contacts, now)
    }

    private fun probeAddresses(table: MemberTable, contacts: List<Contact>, now: TimeMs): List<String> {
        val routers = table.records().filter { it.id.role == MemberRole.ROUTER && it.peerAddress.isNotEmpty() }
        val (dead, live) = routers.partition { it.state == MemberState.DEAD }
        val excluded = live.mapTo(HashSet()) { it.peerAddress } + table.localRecord.peerAddress
        val candidates = (contacts.map { it.peerAddress } + dead.map { it.peerAddress }).distinct() - excluded
        if (candidates.isEmpty()) return emptyList()
        val startedAt = probeStartedAt
        if (startedAt == null || now - startedAt >= limits.probeIntervalMs) {
            probeIndex++
            probeStartedAt = now
        }
        val count = if (live.any { it.id != table.localRecord.id }) 1 else minOf(limits.initialProbes, candidates.size)
        return List(count) { candidates[(probeIndex + it) % candidates.size] }
    }
}
