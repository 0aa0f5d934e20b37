/**
 * The part of a process that makes it a member: it listens for peers, keeps links to its neighbours and follows the
 * platform's host list. Routers and controllers use the same class; a controller does not listen.
 */
package org.hickorytiller.membership

import io.netty.channel.EventLoopGroup
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.hickorytiller.core.Clock
import org.hickorytiller.core.HostId
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.monotonicClock
import org.hickorytiller.core.parseAddress
import org.hickorytiller.peering.LinkHandler
import org.hickorytiller.peering.MemberId
import org.hickorytiller.peering.MemberRecord
import org.hickorytiller.peering.MemberRole
import org.hickorytiller.peering.MemberState
import org.hickorytiller.peering.PeerCallHandlers
import org.hickorytiller.peering.PeerClient
import org.hickorytiller.peering.PeerCounters
import org.hickorytiller.peering.PeerIdentity
import org.hickorytiller.peering.PeerLimits
import org.hickorytiller.peering.PeerLinkRegistry
import org.hickorytiller.peering.PeerServer

/** Reads the platform's host list; null if it cannot be read, and the last one stays in use. */
typealias ReadContacts = suspend () -> List<Contact>?

/** What a process tells its neighbours about itself in every message. */
data class NodeStatus(val loadPermille: Int = 0, val configurationOffset: LogOffset = LogOffset.NONE)

/** The times and sizes of a member. */
data class PeerNodeLimits(val membership: MembershipLimits = MembershipLimits(), val links: PeerLimits = PeerLimits())

/**
 * Confined to the event loop of [group]. Slices connect to [linkRegistry] before [start].
 *
 * @param own record of this process; its peer address is where it listens, empty if it only connects
 * @param status read for each outgoing message
 * @param onChange called for each change of the member table
 */
class PeerNode(
    own: MemberRecord,
    private val group: EventLoopGroup,
    private val scope: CoroutineScope,
    private val readContacts: ReadContacts,
    private val status: () -> NodeStatus = { NodeStatus() },
    private val limits: PeerNodeLimits = PeerNodeLimits(),
    onChange: OnMemberChange = { _, _ -> },
) {
    private val clock: Clock = monotonicClock
    private val plan = DialPlan(limits.membership)
    private val statuses = HashMap<MemberId, NodeStatus>()
    private var contacts = emptyList<Contact>()

    /** Membership as this process sees it. */
    val membership = Membership(own, limits.membership, clock(), onChange)

    /** Where other slices connect. */
    val linkRegistry = PeerLinkRegistry(::identity, membership::accepts)

    /** What became of messages and links. */
    val counters = PeerCounters()

    /** Links to peers, and calls. */
    val client = PeerClient(group, scope, linkRegistry, counters, limits.links)

    init {
        linkRegistry.registerHandler(::openHandler)
    }

    /**
     * Starts listening, unless this process has no peer address, and connecting. To be called once and outside the
     * event loop, since binding blocks. Throws [java.io.IOException] if the address is in use.
     */
    fun start(calls: PeerCallHandlers = PeerCallHandlers()) {
        parseAddress(membership.table.own.peerAddress)?.let { address ->
            PeerServer.Builder(linkRegistry, calls, counters, limits.links).start(group, address)
        }
        scope.launch { followContacts() }
        scope.launch { keepLinks() }
    }

    /** The members that are not dead. */
    fun liveMembers(): List<MemberRecord> = membership.table.liveMembers()

    /** Load of a host's router; null if it is no direct neighbour. */
    fun loadOf(host: HostId): Int? {
        val id = MemberId(host, MemberRole.ROUTER)
        return if (id == membership.table.own.id) status().loadPermille else statuses[id]?.loadPermille
    }

    /** Peers that have a later configuration than [known], the latest first. */
    fun peersWithNewerConfiguration(known: LogOffset): List<MemberRecord> = statuses
        .filterValues { it.configurationOffset > known }
        .entries
        .sortedByDescending { it.value.configurationOffset }
        .mapNotNull { membership.table[it.key] }
        .filter { it.peerAddress.isNotEmpty() }

    /** Announces that this process is leaving. */
    fun announceLeaving() {
        membership.announce(MemberState.LEAVING, clock())
        linkRegistry.flushLinks()
    }

    /** Announces the end of this process, so that nobody has to find it out, and gives the news time to leave. */
    suspend fun announceEnd() {
        membership.announce(MemberState.DEAD, clock())
        linkRegistry.flushLinks()
        delay(FAREWELL_MS)
    }

    private fun identity(): Pair<PeerIdentity, Long> =
        membership.table.own.let { PeerIdentity(it.id, it.process) to it.incarnation }

    private fun openHandler(peer: PeerIdentity, incarnation: Long): LinkHandler {
        val link = membership.openLink(peer, incarnation)
        return LinkHandler(
            fill = { builder ->
                val own = status()
                builder.loadPermille = own.loadPermille
                builder.configurationOffset = own.configurationOffset
                membership.fill(link, builder, clock())
            },
            consume = { message ->
                statuses[peer.id] = NodeStatus(message.loadPermille, message.configurationOffset)
                membership.consume(link, message, clock())
                passOnUrgentNews()
            },
        )
    }

    private suspend fun keepLinks(): Nothing {
        while (true) {
            val now = clock()
            membership.tick(now)
            passOnUrgentNews()
            statuses.keys.retainAll {
                membership.table[it]?.state.let { state ->
                    state != null &&
                        state != MemberState.DEAD
                }
            }
            client.setTargets(
                plan.addresses(membership.table, membership.topology, linkRegistry.inboundPeers(), contacts, now),
            )
            delay(TICK_MS)
        }
    }

    private suspend fun followContacts(): Nothing {
        while (true) {
            readContacts()?.let { contacts = it }
            delay(if (contacts.isEmpty()) FIRST_CONTACTS_MS else CONTACTS_MS)
        }
    }

    private fun passOnUrgentNews() {
        if (membership.takeUrgent()) linkRegistry.flushLinks()
    }

    private companion object {
        const val TICK_MS = 250L
        const val CONTACTS_MS = 5_000L
        const val FIRST_CONTACTS_MS = 500L
        const val FAREWELL_MS = 100L
    }
}
