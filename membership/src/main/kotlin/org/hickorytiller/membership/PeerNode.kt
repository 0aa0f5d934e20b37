/**
 * Makes a process a member of the deployment: listens for peers, maintains links to its neighbours and rereads the
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

/** Reads the platform's host list. Returns null if it cannot be read; the last one then stays in use. */
typealias ReadContacts = suspend () -> List<Contact>?

/** The load and configuration version that a process sends to its neighbours in every message. */
data class NodeStatus(val loadPermille: Int = 0, val configurationOffset: LogOffset = LogOffset.NONE)

/** Limits of the membership protocol and of the links. */
data class PeerNodeLimits(val membership: MembershipLimits = MembershipLimits(), val links: PeerLimits = PeerLimits())

/**
 * Confined to the event loop of [group]. Link handlers are registered with [linkRegistry] before [start].
 *
 * @param localRecord record of this process; it listens on the peer address, which is empty if it only connects
 * @param status read for each outgoing message
 * @param onChange called for each change of the member table
 */
class PeerNode(
    localRecord: MemberRecord,
    private val group: EventLoopGroup,
    private val scope: CoroutineScope,
    private val readContacts: ReadContacts,
    private val status: () -> NodeStatus = { NodeStatus() },
    private val limits: PeerNodeLimits = PeerNodeLimits(),
    onChange: OnMemberChange = { _, _ -> },
) {
    private val clock: Clock = monotonicClock
    private val dialPlan = DialPlan(limits.membership)
    private val statuses = HashMap<MemberId, NodeStatus>()
    private var contacts = emptyList<Contact>()

    /** Membership as this process sees it. */
    val membership = Membership(localRecord, limits.membership, clock(), onChange)

    /** Registry in which other modules register their link handlers. */
    val linkRegistry = PeerLinkRegistry(::identity, membership::accepts)

    /** Counters of messages and links. */
    val counters = PeerCounters()

    /** Client for links and calls to peers. */
    val client = PeerClient(group, scope, linkRegistry, counters, limits.links)

    init {
        linkRegistry.registerHandler(::openHandler)
    }

    /**
     * Starts listening, unless this process has no peer address, and connecting to peers. Must be called once and
     * outside the event loop, since binding blocks. Throws [java.io.IOException] if the address is in use.
     */
    fun start(calls: PeerCallHandlers = PeerCallHandlers()) {
        parseAddress(membership.table.localRecord.peerAddress)?.let { address ->
            PeerServer.Builder(linkRegistry, calls, counters, limits.links).start(group, address)
        }
        scope.launch { refreshContacts() }
        scope.launch { maintainLinks() }
    }

    /** Returns the members that are not dead. */
    fun liveMembers(): List<MemberRecord> = membership.table.liveMembers()

    /** Returns the load of the router on [host] in permille, or null if it is neither this process nor a neighbour. */
    fun loadOf(host: HostId): Int? {
        val id = MemberId(host, MemberRole.ROUTER)
        return if (id == membership.table.localRecord.id) status().loadPermille else statuses[id]?.loadPermille
    }

    /** Returns the peers that have a later configuration than [known], the latest first. */
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

    /** Announces the end of this process, so that peers need not detect it, and waits until the update is sent. */
    suspend fun announceEnd() {
        membership.announce(MemberState.DEAD, clock())
        linkRegistry.flushLinks()
        delay(DEATH_ANNOUNCEMENT_DELAY_MS)
    }

    private fun identity(): Pair<PeerIdentity, Long> =
        membership.table.localRecord.let { PeerIdentity(it.id, it.process) to it.incarnation }

    private fun openHandler(peer: PeerIdentity, incarnation: Long): LinkHandler {
        val link = membership.openLink(peer, incarnation)
        return LinkHandler(
            fill = { builder ->
                val localStatus = status()
                builder.loadPermille = localStatus.loadPermille
                builder.configurationOffset = localStatus.configurationOffset
                membership.fill(link, builder, clock())
            },
            consume = { message ->
                statuses[peer.id] = NodeStatus(message.loadPermille, message.configurationOffset)
                membership.consume(link, message, clock())
                flushUrgentUpdates()
            },
        )
    }

    private suspend fun maintainLinks(): Nothing {
        while (true) {
            val now = clock()
            membership.tick(now)
            flushUrgentUpdates()
            statuses.keys.retainAll {
                membership.table[it]?.state.let { state ->
                    state != null &&
                        state != MemberState.DEAD
                }
            }
            client.setTargets(
                dialPlan.addresses(membership.table, membership.topology, linkRegistry.inboundPeers(), contacts, now),
            )
            delay(TICK_INTERVAL_MS)
        }
    }

    private suspend fun refreshContacts(): Nothing {
        while (true) {
            readContacts()?.let { contacts = it }
            delay(if (contacts.isEmpty()) INITIAL_CONTACTS_REFRESH_INTERVAL_MS else CONTACTS_REFRESH_INTERVAL_MS)
        }
    }

    private fun flushUrgentUpdates() {
        if (membership.takeUrgentUpdate()) linkRegistry.flushLinks()
    }

    private companion object {
        const val TICK_INTERVAL_MS = 250L
        const val CONTACTS_REFRESH_INTERVAL_MS = 5_000L
        const val INITIAL_CONTACTS_REFRESH_INTERVAL_MS = 500L
        const val DEATH_ANNOUNCEMENT_DELAY_MS = 100L
    }
}
