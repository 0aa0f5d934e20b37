/**
 * Membership of one process: the table, the suspicions, and what goes out and comes in on each link. Pure decisions:
 * the caller passes messages and the time. The same code runs in the processes and, in virtual time, in the tests.
 */
package org.hickorytiller.membership

import org.hickorytiller.core.TimeMs
import org.hickorytiller.peering.MemberId
import org.hickorytiller.peering.MemberRecord
import org.hickorytiller.peering.MemberState
import org.hickorytiller.peering.PeerIdentity
import org.hickorytiller.peering.PeerMessage
import org.hickorytiller.peering.PeerMessageBuilder

/** Number of witnesses that a death needs, by the number of neighbours that could be witnesses. */
internal typealias RequiredWitnesses = (Int) -> Int

/** A link's position in the news of this process. */
class LinkSyncState internal constructor(
    internal val id: LinkId,
    val peer: PeerIdentity,
    internal var recordPosition: Long,
    internal var suspicionPosition: Long,
) {
    internal var first = true
    internal var compared = false
    internal var comparedAt = TimeMs(0)
    internal var digestsSentAt: TimeMs? = null
    internal var sendDigests = false
    internal val corrections = LinkedHashMap<MemberId, MemberRecord>()
}

/**
 * Confined to the event loop.
 *
 * @param own the record of this process at its start
 * @param onChange called for each change of the table
 */
class Membership internal constructor(
    own: MemberRecord,
    private val limits: MembershipLimits,
    private val startedAt: TimeMs,
    private val requiredWitnesses: RequiredWitnesses,
    private val onChange: OnMemberChange,
) {
    constructor(
        own: MemberRecord,
        limits: MembershipLimits,
        startedAt: TimeMs,
        onChange: OnMemberChange = { _, _ -> },
    ) :
        this(own, limits, startedAt, { it.coerceIn(1, MAX_WITNESSES) }, onChange)

    /** The members as this process knows them. */
    val table = MemberTable(own, ::changed)

    /** The links that the members should have. */
    val topology = PeerTopology(limits)

    private val suspicions = SuspicionTable(limits)
    private val failureDetector = FailureDetector(own.id, limits, own.incarnation)
    private var nextLink = 1L
    private var urgent = false

    /** Whether news has come up since the last call that should go out at once. */
    fun takeUrgent(): Boolean = urgent.also { urgent = false }

    /** Whether a stream from [peer] in [incarnation] may be used. An older run of a process is refused. */
    fun accepts(peer: PeerIdentity, incarnation: Long): Boolean {
        val known = table[peer.id] ?: return true
        return incarnation >= known.incarnation && peer.id != table.own.id
    }

    /** Begins the exchange on a new link. Old news is compared by digest instead of being sent. */
    fun openLink(peer: PeerIdentity, incarnation: Long): LinkSyncState {
        val link = LinkSyncState(LinkId(nextLink++), peer, table.position, suspicions.position)
        val known = table[peer.id]
        if (known != null && (incarnation < known.incarnation || known.state == MemberState.DEAD)) {
            link.corrections[peer.id] = known
        }
        return link
    }

    /** Adds the membership news for [link] to [builder]. */
    fun fill(link: LinkSyncState, builder: PeerMessageBuilder, now: TimeMs) {
        if (link.first) builder.members += table.own
        builder.members += link.corrections.values
        link.corrections.clear()
        val news = table.newsAfter(link.recordPosition, link.id, MembershipLimits.RECORDS_PER_MESSAGE)
        builder.members += news.records
        link.recordPosition = news.position
        if (!news.complete) builder.hasMore = true
        builder.suspicions += suspicions.newsAfter(link.suspicionPosition, link.id)
        link.suspicionPosition = suspicions.position
        fillComparison(link, builder, now)
        link.first = false
    }

    /** Takes over the news of [message], which came on [link]. */
    fun consume(link: LinkSyncState, message: PeerMessage, now: TimeMs) {
        failureDetector.heard(link.peer.id, now)
        message.members.forEach { merge(link, it, now) }
        val changed = message.suspicions.filter { suspicions.merge(it, now, link.id) }
        if (changed.isNotEmpty()) urgent = true
        changed.mapTo(LinkedHashSet()) { it.target }.forEach { judge(it, now) }
        compare(link, message, now)
    }

    /** To be called a few times a second: finds silent neighbours, declares deaths, forgets what is old. */
    fun tick(now: TimeMs) {
        topology.refresh(table)
        val watched = topology.neighboursOf(table.own.id).orEmpty().mapNotNull { table[it] }
        val claims = failureDetector.tick(watched, now)
        claims.forEach { suspicions.merge(it, now) }
        if (claims.isNotEmpty()) urgent = true
        suspicions.expire(now)
        suspicions.targets().forEach { judge(it, now) }
        table.removeDead(now - limits.removalMs)
    }

    /** Announces that this process is leaving, or with [MemberState.DEAD] that it ends. */
    fun announce(state: MemberState, now: TimeMs) = table.announce(state, now)

    private fun merge(link: LinkSyncState, record: MemberRecord, now: TimeMs) {
        val result = table.merge(record, now, link.id, mayTakeOverIdentity = now - startedAt < limits.youthMs)
        if (result == MergeResult.STALE) link.corrections[record.id] = table[record.id] ?: return
    }

    private fun changed(record: MemberRecord, previous: MemberRecord?) {
        urgent = true
        val settled = record.state == MemberState.DEAD || record.incarnation != previous?.incarnation
        if (settled) suspicions.settle(record.id)
        onChange(record, previous)
    }

    private fun judge(target: MemberId, now: TimeMs) {
        val record = table[target] ?: return
        if (target == table.own.id || record.state == MemberState.DEAD) return
        val witnesses = suspicions.observers(target, record.incarnation).count { isWitness(it) }
        if (witnesses == 0) return
        // Without the links of the target, which the next tick computes, two witnesses are required.
        val possible =
            topology.neighboursOf(target)?.count { it == table.own.id || !failureDetector.isLongSilent(it, now) }
                ?: MAX_WITNESSES
        if (witnesses >= requiredWitnesses(possible)) table.declareDead(target, now)
    }

    private fun isWitness(id: MemberId): Boolean = table[id]?.let { it.state != MemberState.DEAD } == true

    private fun fillComparison(link: LinkSyncState, builder: PeerMessageBuilder, now: TimeMs) {
        if (link.first || now - link.comparedAt >= limits.compareIntervalMs) {
            builder.tableDigest = table.digest
            link.comparedAt = now
        }
        if (link.sendDigests) {
            builder.recordDigests = table.liveMembers().map(::recordDigest)
            link.sendDigests = false
            link.digestsSentAt = now
        }
    }

    private fun compare(link: LinkSyncState, message: PeerMessage, now: TimeMs) {
        if (message.tableDigest != null) {
            val settled = !link.compared || now - table.changedAt >= limits.settleMs
            if (settled && message.tableDigest != table.digest) requestDifferences(link, now)
            link.compared = true
        }
        if (message.recordDigests.isEmpty()) return
        val theirs = message.recordDigests.toHashSet()
        val ours = HashSet<Long>()
        table.liveMembers().forEach { record ->
            val digest = recordDigest(record)
            ours += digest
            if (digest !in theirs) link.corrections[record.id] = record
        }
        if (!ours.containsAll(theirs)) requestDifferences(link, now)
    }

    // Two processes with a lasting difference would otherwise exchange their digests without end.
    private fun requestDifferences(link: LinkSyncState, now: TimeMs) {
        val sentAt = link.digestsSentAt
        if (sentAt == null || now - sentAt >= limits.compareIntervalMs / 2) link.sendDigests = true
    }

    private companion object {
        const val MAX_WITNESSES = 2
    }
}
