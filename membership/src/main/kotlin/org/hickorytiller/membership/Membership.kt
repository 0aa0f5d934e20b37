/**
 * Membership protocol of one process: the member table, the suspicions, and the contents of the messages on each link.
 * It does no I/O and reads no clock: the caller passes messages and the time. The same code runs in the processes and,
 * in virtual time, in the tests.
 */
package org.hickorytiller.membership

import org.hickorytiller.core.TimeMs
import org.hickorytiller.peering.MemberId
import org.hickorytiller.peering.MemberRecord
import org.hickorytiller.peering.MemberState
import org.hickorytiller.peering.PeerIdentity
import org.hickorytiller.peering.PeerMessage
import org.hickorytiller.peering.PeerMessageBuilder

/** Number of observers required to declare a death, given the number of neighbours that can observe the target. */
internal typealias RequiredObservers = (Int) -> Int

/** What has been sent and received on one link. */
class LinkSyncState internal constructor(
    internal val id: LinkId,
    val peer: PeerIdentity,
    internal var recordPosition: Long,
    internal var suspicionPosition: Long,
) {
    internal var isFirstMessage = true
    internal var hasReceivedTableDigest = false
    internal var tableDigestSentAt = TimeMs(0)
    internal var recordDigestsSentAt: TimeMs? = null
    internal var hasPendingRecordDigests = false
    internal val corrections = LinkedHashMap<MemberId, MemberRecord>()
}

/**
 * Membership as one process sees it. Confined to the event loop.
 *
 * @param localRecord the record of this process at its start
 * @param onChange called for each change of the table
 */
class Membership internal constructor(
    localRecord: MemberRecord,
    private val limits: MembershipLimits,
    private val startedAt: TimeMs,
    private val requiredObservers: RequiredObservers,
    private val onChange: OnMemberChange,
) {
    constructor(
        localRecord: MemberRecord,
        limits: MembershipLimits,
        startedAt: TimeMs,
        onChange: OnMemberChange = { _, _ -> },
    ) :
        this(localRecord, limits, startedAt, { it.coerceIn(1, MAX_REQUIRED_OBSERVERS) }, onChange)

    /** The members as this process knows them. */
    val table = MemberTable(localRecord, ::onRecordChanged)

    /** The links that the members should have. */
    val topology = PeerTopology(limits)

    private val suspicions = SuspicionTable(limits)
    private val failureDetector = FailureDetector(localRecord.id, limits, localRecord.incarnation)
    private var nextLink = 1L
    private var hasUrgentUpdate = false

    /** Returns whether an update that should be sent at once has occurred since the last call. */
    fun takeUrgentUpdate(): Boolean = hasUrgentUpdate.also { hasUrgentUpdate = false }

    /**
     * Whether a stream from [peer] in [incarnation] is accepted. Rejects an earlier process run, and a peer with the id
     * of this process.
     */
    fun accepts(peer: PeerIdentity, incarnation: Long): Boolean {
        val known = table[peer.id] ?: return true
        return incarnation >= known.incarnation && peer.id != table.localRecord.id
    }

    /** Starts the exchange on a new link. Earlier changes are compared by digest instead of being sent. */
    fun openLink(peer: PeerIdentity, incarnation: Long): LinkSyncState {
        val link = LinkSyncState(LinkId(nextLink++), peer, table.position, suspicions.position)
        val known = table[peer.id]
        if (known != null && (incarnation < known.incarnation || known.state == MemberState.DEAD)) {
            link.corrections[peer.id] = known
        }
        return link
    }

    /** Adds the membership updates for [link] to [builder]. */
    fun fill(link: LinkSyncState, builder: PeerMessageBuilder, now: TimeMs) {
        if (link.isFirstMessage) builder.members += table.localRecord
        builder.members += link.corrections.values
        link.corrections.clear()
        val updates = table.updatesAfter(link.recordPosition, link.id, MembershipLimits.RECORDS_PER_MESSAGE)
        builder.members += updates.records
        link.recordPosition = updates.position
        if (!updates.complete) builder.hasMore = true
        builder.suspicions += suspicions.updatesAfter(link.suspicionPosition, link.id)
        link.suspicionPosition = suspicions.position
        fillDigests(link, builder, now)
        link.isFirstMessage = false
    }

    /** Merges the updates of [message], which was received on [link]. */
    fun consume(link: LinkSyncState, message: PeerMessage, now: TimeMs) {
        failureDetector.onMessageReceived(link.peer.id, now)
        message.members.forEach { merge(link, it, now) }
        val changedSuspicions = message.suspicions.filter { suspicions.merge(it, now, link.id) }
        if (changedSuspicions.isNotEmpty()) hasUrgentUpdate = true
        changedSuspicions.mapTo(LinkedHashSet()) { it.target }.forEach { evaluateSuspicions(it, now) }
        compareDigests(link, message, now)
    }

    /** Suspects silent neighbours, declares deaths and removes expired state. Must be called a few times a second. */
    fun tick(now: TimeMs) {
        topology.refresh(table)
        val neighbours = topology.neighboursOf(table.localRecord.id).orEmpty().mapNotNull { table[it] }
        val newSuspicions = failureDetector.tick(neighbours, now)
        newSuspicions.forEach { suspicions.merge(it, now) }
        if (newSuspicions.isNotEmpty()) hasUrgentUpdate = true
        suspicions.expire(now)
        suspicions.targets().forEach { evaluateSuspicions(it, now) }
        table.removeDead(now - limits.deadMemberRetentionMs)
    }

    /** Announces that this process is leaving or, with [MemberState.DEAD], that it ends. */
    fun announce(state: MemberState, now: TimeMs) = table.announce(state, now)

    private fun merge(link: LinkSyncState, record: MemberRecord, now: TimeMs) {
        val result = table.merge(record, now, link.id, canTakeOverIdentity = now - startedAt < limits.startupGraceMs)
        if (result == MergeResult.STALE) link.corrections[record.id] = table[record.id] ?: return
    }

    private fun onRecordChanged(record: MemberRecord, previous: MemberRecord?) {
        hasUrgentUpdate = true
        val endsSuspicions = record.state == MemberState.DEAD || record.incarnation != previous?.incarnation
        if (endsSuspicions) suspicions.removeTarget(record.id)
        onChange(record, previous)
    }

    private fun evaluateSuspicions(target: MemberId, now: TimeMs) {
        val record = table[target] ?: return
        if (target == table.localRecord.id || record.state == MemberState.DEAD) return
        val observers = suspicions.observers(target, record.incarnation).count { isLiveMember(it) }
        if (observers == 0) return
        // The neighbours of a new target are unknown until the next tick; until then two observers are required.
        val possibleObservers =
            topology.neighboursOf(target)
                ?.count { it == table.localRecord.id || !failureDetector.isObserverTimedOut(it, now) }
                ?: MAX_REQUIRED_OBSERVERS
        if (observers >= requiredObservers(possibleObservers)) table.declareDead(target, now)
    }

    private fun isLiveMember(id: MemberId): Boolean = table[id]?.let { it.state != MemberState.DEAD } == true

    private fun fillDigests(link: LinkSyncState, builder: PeerMessageBuilder, now: TimeMs) {
        if (link.isFirstMessage || now - link.tableDigestSentAt >= limits.digestIntervalMs) {
            builder.tableDigest = table.digest
            link.tableDigestSentAt = now
        }
        if (link.hasPendingRecordDigests) {
            builder.recordDigests = table.liveMembers().map(::recordDigest)
            link.hasPendingRecordDigests = false
            link.recordDigestsSentAt = now
        }
    }

    private fun compareDigests(link: LinkSyncState, message: PeerMessage, now: TimeMs) {
        if (message.tableDigest != null) {
            val isSettled = !link.hasReceivedTableDigest || now - table.lastChangedAt >= limits.digestSettleMs
            if (isSettled && message.tableDigest != table.digest) scheduleRecordDigests(link, now)
            link.hasReceivedTableDigest = true
        }
        if (message.recordDigests.isEmpty()) return
        val remoteDigests = message.recordDigests.toHashSet()
        val localDigests = HashSet<Long>()
        table.liveMembers().forEach { record ->
            val digest = recordDigest(record)
            localDigests += digest
            if (digest !in remoteDigests) link.corrections[record.id] = record
        }
        if (!localDigests.containsAll(remoteDigests)) scheduleRecordDigests(link, now)
    }

    // Rate-limited: two processes whose tables stay different would otherwise exchange record digests without end.
    private fun scheduleRecordDigests(link: LinkSyncState, now: TimeMs) {
        val sentAt = link.recordDigestsSentAt
        if (sentAt == null || now - sentAt >= limits.digestIntervalMs / 2) link.hasPendingRecordDigests = true
    }

    private companion object {
        const val MAX_REQUIRED_OBSERVERS = 2
    }
}
