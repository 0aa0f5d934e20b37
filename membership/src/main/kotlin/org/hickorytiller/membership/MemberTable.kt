/**
 * The members of the deployment as one process knows them. Merging takes the later of two records by a total order,
 * so it is commutative, associative and idempotent, and all processes arrive at the same table in whatever order they
 * get the news.
 */
package org.hickorytiller.membership

import org.hickorytiller.core.TimeMs
import org.hickorytiller.peering.MemberId
import org.hickorytiller.peering.MemberRecord
import org.hickorytiller.peering.MemberState
import java.util.TreeMap

/** What became of a record that was merged. */
enum class MergeResult { CHANGED, UNCHANGED, STALE }

/** Identifies a link within a process, so that news is not sent back to where it came from. */
@JvmInline
value class LinkId(val value: Long)

/** Receives a record that has changed and the record before it. */
typealias OnMemberChange = (MemberRecord, MemberRecord?) -> Unit

/** News of a table from a position on. */
internal class TableNews(val records: List<MemberRecord>, val position: Long, val complete: Boolean)

/**
 * Order of two records of one member: a newer incarnation, then a later state, then a higher version. The remaining
 * fields only make the order total, for two processes that wrongly share an identity.
 */
internal val recordOrder: Comparator<MemberRecord> =
    compareBy<MemberRecord>({ it.incarnation }, { it.state }, { it.version })
        .thenBy { it.process.value }
        .thenBy { it.failureDomain.value }
        .thenBy { it.peerAddress }
        .thenBy { it.callerAddress }
        .thenBy { it.adminAddress }

/** Members of one process's view. Confined to the event loop. */
class MemberTable internal constructor(
    own: MemberRecord,
    private val order: Comparator<MemberRecord>,
    private val onChange: OnMemberChange,
) {
    constructor(own: MemberRecord, onChange: OnMemberChange = { _, _ -> }) : this(own, recordOrder, onChange)

    private class Entry(val record: MemberRecord, val changedAt: Long, val since: TimeMs, val source: LinkId?)

    private val entries = HashMap<MemberId, Entry>()
    private val changes = TreeMap<Long, MemberId>()
    private var nextChange = 1L

    /** The record of this process. */
    var own = own
        private set

    /** Digest over the records of all live members; equal tables have equal digests. */
    var digest = 0L
        private set

    /** Grows whenever a member becomes live or stops being so. */
    var liveEpoch = 0L
        private set

    /** When a record last changed. */
    var changedAt = TimeMs(0)
        private set

    /** Whether another process holds this one's name with a later incarnation. */
    var superseded = false
        private set

    /** Position after the last change. */
    internal val position: Long get() = nextChange - 1

    init {
        store(own, TimeMs(0), null)
    }

    /** All known records, dead ones included. */
    fun records(): List<MemberRecord> = entries.values.map { it.record }

    /** The members that are not dead, this process included. */
    fun liveMembers(): List<MemberRecord> = entries.values.map { it.record }.filter { it.state != MemberState.DEAD }

    /** The record of [id]; null if it is unknown. */
    operator fun get(id: MemberId): MemberRecord? = entries[id]?.record

    /** Merges a record that came over [source]; null for a decision of this process. */
    fun merge(
        record: MemberRecord,
        now: TimeMs,
        source: LinkId? = null,
        mayTakeOverIdentity: Boolean = false,
    ): MergeResult {
        if (record.id == own.id) return mergeOwn(record, now, mayTakeOverIdentity)
        val known = entries[record.id]
        val difference = if (known == null) 1 else order.compare(record, known.record)
        if (difference == 0) return MergeResult.UNCHANGED
        if (difference < 0) return MergeResult.STALE
        store(record, now, source)
        return MergeResult.CHANGED
    }

    /** Changes the state of this process. States only advance within an incarnation. */
    fun announce(state: MemberState, now: TimeMs) {
        if (state <= own.state) return
        replaceOwn(own.copy(state = state, version = own.version + 1), now)
    }

    /** Declares [id] dead in its present incarnation. */
    fun declareDead(id: MemberId, now: TimeMs) {
        val record = entries[id]?.record ?: return
        if (id != own.id) merge(record.copy(state = MemberState.DEAD), now)
    }

    /** Forgets the members that have been dead since before [before], and returns them. */
    fun removeDead(before: TimeMs): List<MemberRecord> {
        val removed = entries.values.filter { it.record.state == MemberState.DEAD && it.since < before }
        removed.forEach {
            entries -= it.record.id
            changes -= it.changedAt
        }
        return removed.map { it.record }
    }

    /** At most [limit] records that changed after [position], without those that came over [receiver]. */
    internal fun newsAfter(position: Long, receiver: LinkId, limit: Int): TableNews {
        val records = ArrayList<MemberRecord>()
        var last = position
        for ((change, id) in changes.tailMap(position, false)) {
            if (records.size == limit) return TableNews(records, last, complete = false)
            val entry = entries.getValue(id)
            if (entry.source != receiver) records += entry.record
            last = change
        }
        return TableNews(records, last, complete = true)
    }

    private fun mergeOwn(record: MemberRecord, now: TimeMs, mayTakeOverIdentity: Boolean): MergeResult {
        val difference = order.compare(record, own)
        if (difference == 0) return MergeResult.UNCHANGED
        if (difference < 0 || own.state == MemberState.DEAD) return MergeResult.STALE
        if (record.process != own.process && !mayTakeOverIdentity) {
            superseded = true
            return MergeResult.STALE
        }
        replaceOwn(own.copy(incarnation = record.incarnation + 1), now)
        return MergeResult.CHANGED
    }

    private fun replaceOwn(record: MemberRecord, now: TimeMs) {
        own = record
        store(record, now, null)
    }

    private fun store(record: MemberRecord, now: TimeMs, source: LinkId?) {
        val previous = entries[record.id]
        previous?.let { changes -= it.changedAt }
        entries[record.id] = Entry(record, nextChange, now, source)
        changes[nextChange++] = record.id
        updateDigest(record, previous?.record)
        changedAt = now
        if (previous != null || record.id != own.id) onChange(record, previous?.record)
    }

    // Dead members stay out of the comparison: processes forget them at slightly different times.
    private fun updateDigest(record: MemberRecord, previous: MemberRecord?) {
        val wasLive = previous != null && previous.state != MemberState.DEAD
        val isLive = record.state != MemberState.DEAD
        if (wasLive) digest -= recordDigest(previous)
        if (isLive) digest += recordDigest(record)
        if (wasLive != isLive) liveEpoch++
    }
}

/** Digest of the fields that decide between two records of one member. */
internal fun recordDigest(record: MemberRecord): Long {
    var digest = idHash(record.id)
    digest = mix(digest xor record.incarnation)
    digest = mix(digest xor record.version)
    return mix(digest + record.state.ordinal)
}
