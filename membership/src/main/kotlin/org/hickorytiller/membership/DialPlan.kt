/** Decides which peer addresses this process connects to. */
package org.hickorytiller.membership

import org.hickorytiller.core.HostId
import org.hickorytiller.core.TimeMs
import org.hickorytiller.peering.MemberId
import org.hickorytiller.peering.MemberRole
import org.hickorytiller.peering.MemberState

/** An entry of the platform's lagging list of hosts. It says where to try, never whether a host is alive. */
data class Contact(val host: HostId, val peerAddress: String)

/** Confined to the event loop. */
class DialPlan(private val limits: MembershipLimits) {
    private var probeIndex = 0
    private var probeSince: TimeMs? = null

    /**
     * The addresses to keep a link to: the chosen neighbours, and [contacts] and dead routers one after the other, so
     * that the sides of a healed partition find each other.
     *
     * @param inbound members that have a link to this process; of two members that chose each other only the one with
     *   the lower name keeps its link
     */
    fun addresses(
        table: MemberTable,
        topology: PeerTopology,
        inbound: Set<MemberId>,
        contacts: List<Contact>,
        now: TimeMs,
    ): Set<String> {
        val own = table.own
        val chosen =
            topology.outboundPeers(own.id).filterNot { it in inbound && it.toString() < own.id.toString() }
        val dialled = chosen.mapNotNullTo(LinkedHashSet()) { id -> table[id]?.peerAddress?.takeIf { it.isNotEmpty() } }
        return dialled + probes(table, contacts, now)
    }

    private fun probes(table: MemberTable, contacts: List<Contact>, now: TimeMs): List<String> {
        val routers = table.records().filter { it.id.role == MemberRole.ROUTER && it.peerAddress.isNotEmpty() }
        val (dead, live) = routers.partition { it.state == MemberState.DEAD }
        val covered = live.mapTo(HashSet()) { it.peerAddress } + table.own.peerAddress
        val candidates = (contacts.map { it.peerAddress } + dead.map { it.peerAddress }).distinct() - covered
        if (candidates.isEmpty()) return emptyList()
        val since = probeSince
        if (since == null || now - since >= limits.probeIntervalMs) {
            probeIndex++
            probeSince = now
        }
        val count = if (live.any { it.id != table.own.id }) 1 else minOf(limits.firstContacts, candidates.size)
        return List(count) { candidates[(probeIndex + it) % candidates.size] }
    }
}
