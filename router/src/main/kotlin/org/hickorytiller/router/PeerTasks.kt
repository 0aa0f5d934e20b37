/** Makes the router a member of the deployment and connects its components to the links with peers. */
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
import org.hickorytiller.membership.AddressResponse
import org.hickorytiller.membership.Contact
import org.hickorytiller.membership.NodeStatus
import org.hickorytiller.membership.PeerNode
import org.hickorytiller.membership.findAddresses
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
 * Functions of other components that membership calls.
 *
 * @property loadPermille load of this router, used in address responses
 * @property onProcessEnded called when a process is dead or was replaced by a newer process run
 */
internal class PeerHooks(val loadPermille: () -> Int, val onProcessEnded: (ProcessId) -> Unit)

/** The communication of this router with its peers. Confined to the event loop. */
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
    /** Membership and links; other components register their handlers with its link registry. */
    val node =
        PeerNode(
            localRecord(settings, process),
            loop.group,
            loop.scope,
            ::readContacts,
            status = { NodeStatus(hooks.loadPermille(), configuration.state.offset) },
            onChange = ::memberChanged,
        )

    private val withdrawals = WithdrawalSync(::pendingWithdrawals, ::applyPeerWithdrawal, node.linkRegistry::flushLinks)
    private var cachedWithdrawals = emptySet<KeyHash>()
    private var pendingCacheKey: Pair<Int, LogOffset>? = null
    private var addressRotation = 0L

    init {
        node.linkRegistry.registerHandler { _, _ -> withdrawals.open() }
        node.counters.onLinkEnd = ::linkEnded
    }

    /** Starts listening for peers and connecting to them. */
    fun start(calls: PeerCallHandlers) = node.start(calls)

    /** Sends the withdrawal of a key in this process to the peers at once. */
    fun announceWithdrawal(hash: KeyHash) {
        events.timeline.record(EventKind.KEY_WITHDRAWN, "$hash")
        node.linkRegistry.flushLinks()
    }

    /**
     * Returns router addresses for a caller. If no peer is known, returns only the address of this router, or none if
     * it is leaving.
     */
    fun findAddresses(failureDomain: FailureDomain?): AddressResponse =
        findAddresses(node.liveMembers(), failureDomain, node::loadOf, settings.addressLifetimeMs, addressRotation++)

    /** Fetches a configuration later than [known]; null if no peer has one or none of those asked responds. */
    suspend fun fetchConfiguration(known: LogOffset): EncodedConfiguration? {
        for (member in node.peersWithNewerConfiguration(known).take(MAX_FETCH_ATTEMPTS)) {
            val address = parseAddress(member.peerAddress) ?: continue
            val copy = node.client.fetchConfiguration(address, known).getOrElse { null }
            if (copy != null && copy.offset > known) return copy
        }
        return null
    }

    /** Asks the router on [host] for the status of an intent; null if it does not respond. */
    suspend fun queryIntent(host: HostId, query: IntentQuery): IntentQueryResult? {
        val address = node.membership.table[MemberId(host, MemberRole.ROUTER)]?.peerAddress?.let(::parseAddress)
        return address?.let { node.client.queryIntent(it, query).getOrNull() }
    }

    private fun applyPeerWithdrawal(hash: KeyHash): Boolean {
        val isNew = keys.withdraw(hash)
        if (isNew) events.timeline.record(EventKind.KEY_WITHDRAWN, "$hash, from a peer")
        return isNew
    }

    // Cached until something changes, since it is needed for every message.
    private fun pendingWithdrawals(): Collection<KeyHash> {
        val current = keys.withdrawnHashes().size to configuration.state.offset
        if (current != pendingCacheKey) {
            cachedWithdrawals = configuration.withdrawalsNotOnLog.filterTo(LinkedHashSet()) { it.isWellFormed }
            pendingCacheKey = current
        }
        return cachedWithdrawals
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
        if (isReplaced || record.state == MemberState.DEAD) hooks.onProcessEnded((previous ?: record).process)
        if (record.state == previous?.state && record.incarnation == previous.incarnation) return
        events.timeline.record(EVENT_KINDS.getValue(record.state), "${record.id} incarnation ${record.incarnation}")
        log.info { "member ${record.id} is ${record.state.name.lowercase()} in incarnation ${record.incarnation}" }
    }

    private companion object {
        val log = KotlinLogging.logger {}
        const val MAX_FETCH_ATTEMPTS = 3
        val EVENT_KINDS =
            mapOf(
                MemberState.ALIVE to EventKind.MEMBER_ALIVE,
                MemberState.LEAVING to EventKind.MEMBER_LEAVING,
                MemberState.DEAD to EventKind.MEMBER_DEAD,
            )

        fun localRecord(settings: RouterSettings, process: ProcessId) = MemberRecord(
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
