/** Makes the router a member and connects its slices to the exchange between peers. */
package org.hickorytiller.router

import arrow.core.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.HostId
import org.hickorytiller.core.KeyHash
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.ProcessId
import org.hickorytiller.core.formatAddress
import org.hickorytiller.core.parseAddress
import org.hickorytiller.core.wallTimeMs
import org.hickorytiller.http.EventLoop
import org.hickorytiller.keys.KeyRegistry
import org.hickorytiller.membership.AddressAnswer
import org.hickorytiller.membership.Contact
import org.hickorytiller.membership.NodeStatus
import org.hickorytiller.membership.PeerNode
import org.hickorytiller.membership.answerAddresses
import org.hickorytiller.peering.EncodedConfiguration
import org.hickorytiller.peering.IntentQuery
import org.hickorytiller.peering.IntentQueryResult
import org.hickorytiller.peering.MemberId
import org.hickorytiller.peering.MemberRecord
import org.hickorytiller.peering.MemberRole
import org.hickorytiller.peering.MemberState
import org.hickorytiller.peering.PeerCallHandlers
import org.hickorytiller.peering.isWellFormed
import org.hickorytiller.platform.HostListClient
import org.hickorytiller.timeline.EventKind

/**
 * What membership needs of the other slices.
 *
 * @property loadPermille load of this router for address answers
 * @property onProcessGone called when a process is dead or was replaced by a newer run
 */
internal class PeerHooks(val loadPermille: () -> Int, val onProcessGone: (ProcessId) -> Unit)

/** The router's part in the exchange between peers. Confined to the event loop. */
internal class PeerTasks(
    private val settings: RouterSettings,
    private val loop: EventLoop,
    process: ProcessId,
    private val hosts: HostListClient,
    private val keys: KeyRegistry,
    private val configuration: ConfigurationTask,
    private val events: ProcessEvents,
    private val hooks: PeerHooks,
) {
    /** Membership and links; other slices connect to its exchange. */
    val node =
        PeerNode(
            ownRecord(settings, process),
            loop.group,
            loop.scope,
            ::readContacts,
            status = { NodeStatus(hooks.loadPermille(), configuration.state.offset) },
            onChange = ::memberChanged,
        )

    private val withdrawals = WithdrawalSync(::pendingWithdrawals, ::withdrawReceived, node.linkRegistry::flushLinks)
    private var pending = emptySet<KeyHash>()
    private var pendingFor: Pair<Int, LogOffset>? = null
    private var addressTurn = 0L

    init {
        node.linkRegistry.registerHandler { _, _ -> withdrawals.open() }
        node.counters.onLinkEnd = ::linkEnded
    }

    /** Starts listening for peers and connecting to them. */
    fun start(calls: PeerCallHandlers) = node.start(calls)

    /** Tells the peers at once about a key that was withdrawn in this process. */
    fun withdrawn(hash: KeyHash) {
        events.timeline.record(EventKind.KEY_WITHDRAWN, "$hash")
        node.linkRegistry.flushLinks()
    }

    /** Answers the address query. Until a peer is known this router is the only answer, unless it is leaving. */
    fun answerAddresses(failureDomain: FailureDomain?): AddressAnswer =
        answerAddresses(node.liveMembers(), failureDomain, node::loadOf, settings.addressLifetimeMs, addressTurn++)

    /** The latest configuration that a peer holds; null if none is later than [known] or no such peer answers. */
    suspend fun fetchConfiguration(known: LogOffset): EncodedConfiguration? {
        for (member in node.peersWithNewerConfiguration(known).take(MAX_FETCH_ATTEMPTS)) {
            val address = parseAddress(member.peerAddress) ?: continue
            val copy = node.client.fetchConfiguration(address, known).getOrElse { null }
            if (copy != null && copy.offset > known) return copy
        }
        return null
    }

    /** Asks the router on [host] what became of a request; null if it does not answer. */
    suspend fun queryIntent(host: HostId, query: IntentQuery): IntentQueryResult? {
        val address = node.membership.table[MemberId(host, MemberRole.ROUTER)]?.peerAddress?.let(::parseAddress)
        return address?.let { node.client.queryIntent(it, query).getOrNull() }
    }

    private fun withdrawReceived(hash: KeyHash): Boolean {
        val isNew = keys.withdraw(hash)
        if (isNew) events.timeline.record(EventKind.KEY_WITHDRAWN, "$hash, from a peer")
        return isNew
    }

    // Computed only after a change: it is asked for with every message.
    private fun pendingWithdrawals(): Collection<KeyHash> {
        val current = keys.withdrawnHashes().size to configuration.state.offset
        if (current != pendingFor) {
            pending = configuration.withdrawalsNotOnLog.filterTo(LinkedHashSet()) { it.isWellFormed }
            pendingFor = current
        }
        return pending
    }

    private suspend fun readContacts(): List<Contact>? = hosts.hosts().getOrNull()?.map {
        Contact(HostId(it.host), it.peerAddress)
    }

    private fun linkEnded(remote: String, reason: String) {
        events.timeline.record(EventKind.LINK_LOST, "$remote: $reason")
        events.metrics.linkFailed(reason)
    }

    private fun memberChanged(record: MemberRecord, previous: MemberRecord?) {
        val isReplaced = previous != null && previous.process != record.process
        if (isReplaced || record.state == MemberState.DEAD) hooks.onProcessGone((previous ?: record).process)
        if (record.state == previous?.state && record.incarnation == previous.incarnation) return
        events.timeline.record(KINDS.getValue(record.state), "${record.id} incarnation ${record.incarnation}")
        log.info { "member ${record.id} is ${record.state.name.lowercase()} in incarnation ${record.incarnation}" }
    }

    private companion object {
        val log = KotlinLogging.logger {}
        const val MAX_FETCH_ATTEMPTS = 3
        val KINDS =
            mapOf(
                MemberState.ALIVE to EventKind.MEMBER_ALIVE,
                MemberState.LEAVING to EventKind.MEMBER_LEAVING,
                MemberState.DEAD to EventKind.MEMBER_DEAD,
            )

        fun ownRecord(settings: RouterSettings, process: ProcessId) = MemberRecord(
            MemberId(settings.host, MemberRole.ROUTER),
            process,
            settings.failureDomain,
            incarnation = wallTimeMs(),
            version = 0,
            MemberState.ALIVE,
            settings.peerAddress.formatAddress(),
            settings.callerAddress.formatAddress(),
            settings.adminAddress.formatAddress(),
        )
    }
}
