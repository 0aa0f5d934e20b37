/**
 * The members of the deployment as one process knows them. Merging keeps the later of two records by a total order,
 * so it is commutative, associative and idempotent, and all processes converge to the same table in whatever order
 * they receive the updates.
 */
package org.hickorytiller.membership

import org.hickorytiller.core.TimeMs
import org.hickorytiller.peering.MemberId
import org.hickorytiller.peering.MemberRecord
import org.hickorytiller.peering.MemberState
import java.util.TreeMap

/** Result of merging a record. */
enum class MergeResult { CHANGED, UNCHANGED, STALE }

/** Identifies a link within a process, so that an update is not sent back on the link that it was received on. */
@JvmInline
value class LinkId(val value: Long)

/** Receives a record that has changed and the previous record, null for a new member. */
typealias OnMemberChange = (MemberRecord, MemberRecord?) -> Unit

/** The records that changed after a position of the table, up to [position]. */
internal class TableUpdates(val records: List<MemberRecord>, val position: Long, val complete: Boolean)

/**
 * Orders two records of one member by incarnation, then state, then version. The remaining fields only make the order
 * total in case two processes share an identity by mistake.
 */
internal val recordOrder: Comparator<MemberRecord> =
    compareBy<MemberRecord>({ it.incarnation }, { it.state }, { it.version })
        .thenBy { it.process.value }
        .thenBy { it.failureDomain.value }
        .thenBy { it.peerAddress }
        .thenBy { it.callerAddress }
        .thenBy { it.adminAddress }

/** Member table of one process. Confined to the event loop. */
class MemberTable internal constructor(
    localRecord: MemberRecord,
    private val order: Comparator<MemberRecord>,
    private val onChange: OnMemberChange,
) {
    constructor(localRecord: MemberRecord, onChange: OnMemberChange = { _, _ -> }) :
        this(localRecord, recordOrder, onChange)

    private class Entry(val record: MemberRecord, val changePosition: Long, val storedAt: TimeMs, val source: LinkId?)

    private val entries = HashMap<MemberId, Entry>()
    private val idsByPosition = TreeMap<Long, MemberId>()
    private var nextPosition = 1L

    /** The record of this process. */
    var localRecord = localRecord
        private set

    /** Digest of the records of all live members; equal sets of live members have equal digests. */
    var digest = 0L
        private set

    /** Incremented whenever a member becomes live or stops being live. */
    var liveEpoch = 0L
        private set

    /** Time at which a record last changed. */
    var lastChangedAt = TimeMs(0)
        private set

    /** Whether another process has the identity of this one with a later incarnation. */
    var isSuperseded = false
        private set

    /** Position of the last change. */
    internal val position: Long get() = nextPosition - 1

    init {
        store(localRecord, TimeMs(0), null)
    }

    /** Returns all known records, including those of dead members. */
    fun records(): List<MemberRecord> = entries.values.map { it.record }

    /** Returns the members that are not dead, including this process. */
    fun liveMembers(): List<MemberRecord> = entries.values.map { it.record }.filter { it.state != MemberState.DEAD }

    /** Returns the record of [id], or null if it is unknown. */
    operator fun get(id: MemberId): MemberRecord? = entries[id]?.record

    /**
     * Merges a record received on the link [source], which is null for a decision of this process. A later record of
     * another run with the id of this process is overridden if [canTakeOverIdentity]; otherwise this process
     * [isSuperseded].
     */
    fun merge(
        record: MemberRecord,
        now: TimeMs,
        source: LinkId? = null,
        canTakeOverIdentity: Boolean = false,
    ): MergeResult {
        if (record.id == localRecord.id) return mergeLocal(record, now, canTakeOverIdentity)
        val known = entries[record.id]
        val difference = if (known == null) 1 else order.compare(record, known.record)
        if (difference == 0) return MergeResult.UNCHANGED
        if (difference < 0) return MergeResult.STALE
        store(record, now, source)
        return MergeResult.CHANGED
    }

    /** Changes the state of this process. States only advance within an incarnation. */
    fun announce(state: MemberState, now: TimeMs) {
        if (state <= localRecord.state) return
        replaceLocal(localRecord.copy(state = state, version = localRecord.version + 1), now)
    }

    /** Declares [id] dead in its current incarnation. */
    fun declareDead(id: MemberId, now: TimeMs) {
        val record = entries[id]?.record ?: return
        if (id != localRecord.id) merge(record.copy(state = MemberState.DEAD), now)
    }

    /** Removes and returns the members whose death was recorded before [before]. */
    fun removeDead(before: TimeMs): List<MemberRecord> {
        val removed = entries.values.filter { it.record.state == MemberState.DEAD && it.storedAt < before }
        removed.forEach {
            entries -= it.record.id
            idsByPosition -= it.changePosition
        }
        return removed.map { it.record }
    }

    /** Returns at most [limit] records that changed after [position], except those received on the link [receiver]. */
    internal fun updatesAfter(position: Long, receiver: LinkId, limit: Int): TableUpdates {
        val records = ArrayList<MemberRecord>()
        var lastPosition = position
        for ((changePosition, id) in idsByPosition.tailMap(position, false)) {
            if (records.size == limit) return TableUpdates(records, lastPosition, complete = false)
            val entry = entries.getValue(id)
            if (entry.source != receiver) records += entry.record
            lastPosition = changePosition
        }
        return TableUpdates(records, lastPosition, complete = true)
    }

    private fun mergeLocal(record: MemberRecord, now: TimeMs, canTakeOverIdentity: Boolean): MergeResult {
        val difference = order.compare(record, localRecord)
        if (difference == 0) return MergeResult.UNCHANGED
        if (difference < 0 || localRecord.state == MemberState.DEAD) return MergeResult.STALE
        if (record.process != localRecord.process && !canTakeOverIdentity) {
            isSuperseded = true
            return MergeResult.STALE
        }
        replaceLocal(localRecord.copy(incarnation = record.incarnation + 1), now)
        return MergeResult.CHANGED
    }

    private fun replaceLocal(record: MemberRecord, now: TimeMs) {
        localRecord = record
        store(record, now, null)
    }

    private fun store(record: MemberRecord, now: TimeMs, source: LinkId?) {
        val previous = entries[record.id]
        previous?.let { idsByPosition -= it.changePosition }
        entries[record.id] = Entry(record, nextPosition, now, source)
        idsByPosition[nextPosition++] = record.id
        updateDigest(record, previous?.record)
        lastChangedAt = now
        if (previous != null || record.id != localRecord.id) onChange(record, previous?.record)
    }

    // Dead members are not part of the digest, since processes remove them at slightly different times.
    private fun updateDigest(record: MemberRecord, previous: MemberRecord?) {
        val wasLive = previous != null && previous.state != MemberState.DEAD
        val isLive = record.state != MemberState.DEAD
        if (wasLive) digest -= recordDigest(previous)
        if (isLive) digest += recordDigest(record)
        if (wasLive != isLive) liveEpoch++
    }
}

/** Returns a digest of the fields that decide which of two records of one member is the later one. */
internal fun recordDigest(record: MemberRecord): Long {
    var digest = idHash(record.id)
    digest = mix(digest xor record.incarnation)
    digest = mix(digest xor record.version)
    return mix(digest + record.state.ordinal)
}
