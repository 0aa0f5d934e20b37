/**
 * Reads the stream: finds where to start, evaluates what follows, and starts again from a snapshot when the log has
 * dropped records that were not read yet. Used by routers, controllers and hickoryctl, so that all of them agree.
 */
package org.hickorytiller.configuration

import org.hickorytiller.core.LogOffset

/** One record as the log stores it. */
class StoredRecord(val offset: LogOffset, val data: ByteArray)

/** A record of an unknown schema, at which the reader has stopped. */
data class UnsupportedRecord(val offset: LogOffset, val schema: Long)

/** What became of one record. */
data class EvaluatedRecord(val offset: LogOffset, val decoded: DecodedRecord, val transition: StateTransition) {
    val outcome: ApplyOutcome get() = transition.outcome
    val state: ConfigurationState get() = transition.state
}

/** Reader of the stream. Confined to one task. */
class ConfigurationReader {
    /** The state after the last record applied; null until it is known. It never goes back to a lower offset. */
    var state: ConfigurationState? = null
        private set

    /** Why the reader applies nothing more; null while it follows the stream. */
    var unsupportedRecord: UnsupportedRecord? = null
        private set

    /** Whether the last page reached the end of the stream and the state is up to date with it. */
    var caughtUp = false
        private set

    /** The newest complete snapshot read. */
    var lastSnapshot: SnapshotPosition? = null
        private set

    /** Number of records skipped because they were malformed or oversized, or were unusable snapshots. */
    var skippedRecords = 0L
        private set

    /** Number of times that [state] was replaced by a snapshot or a peer's state instead of record by record. */
    var stateReplacements = 0
        private set

    /** The offset to read from. */
    var nextOffset: LogOffset = LogOffset(0)
        private set

    private var scan: Scan? = Scan()
    private var snapshots = SnapshotAssembler()

    /**
     * Takes a page of the stream that was read from [nextOffset]. [onEvaluated] is called for each record that is
     * evaluated; it is not called for records that a snapshot covers.
     */
    fun onPage(
        earliest: LogOffset,
        end: LogOffset,
        records: List<StoredRecord>,
        onEvaluated: (EvaluatedRecord) -> Unit = {},
    ) {
        if (unsupportedRecord != null) return
        if (earliest > nextOffset) restart(earliest)
        scan?.dropBefore(earliest)
        for (record in records) {
            if (unsupportedRecord != null) break
            if (record.offset >= nextOffset) take(record, earliest, onEvaluated)
        }
        val atEnd = nextOffset >= end || unsupportedRecord != null
        if (atEnd) finishScan(onEvaluated)
        caughtUp = atEnd && scan == null && unsupportedRecord == null
    }

    /** Takes a state from a peer. Returns false, and changes nothing, if it is not newer than the one held. */
    fun installState(newer: ConfigurationState): Boolean {
        val held = state
        if (held != null && newer.offset <= held.offset) return false
        // A state beyond a record that this code does not understand would be a guess.
        if (unsupportedRecord?.let { newer.offset >= it.offset } == true) return false
        state = newer
        stateReplacements++
        // What follows may have been read already during a scan; it is read again from the state's end.
        nextOffset = newer.offset.next()
        scan = null
        snapshots = SnapshotAssembler()
        caughtUp = false
        return true
    }

    private fun restart(earliest: LogOffset) {
        nextOffset = earliest
        scan = Scan(start = earliest)
        snapshots = SnapshotAssembler()
    }

    private fun take(record: StoredRecord, earliest: LogOffset, onEvaluated: (EvaluatedRecord) -> Unit) {
        val decoded = decodeConfigurationRecord(record.data)
        if (decoded is DecodedRecord.UnknownSchema) {
            unsupportedRecord = UnsupportedRecord(record.offset, decoded.schema)
            return
        }
        nextOffset = record.offset.next()
        val snapshot = if (decoded is DecodedRecord.Valid) (decoded.record as? Snapshot) else null
        val complete = snapshot?.let { collect(it, record.offset) }
        val open = scan
        if (open == null) {
            evaluate(record.offset, decoded, onEvaluated)
        } else {
            open.records += record.offset to decoded
            if (complete != null && complete.offset.value >= earliest.value - 1) open.startFrom(complete)
        }
    }

    private fun collect(part: Snapshot, at: LogOffset): ConfigurationState? {
        // A reader that follows the stream needs no contents, only when the snapshot was complete.
        if (scan == null) {
            if (part.part == part.parts - 1) lastSnapshot = SnapshotPosition(LogOffset(part.throughOffset), at)
            return null
        }
        return snapshots.add(part, at).fold(
            {
                skippedRecords++
                null
            },
            { state -> state?.also { lastSnapshot = SnapshotPosition(it.offset, at) } },
        )
    }

    private fun finishScan(onEvaluated: (EvaluatedRecord) -> Unit) {
        val open = scan ?: return
        val base = open.base ?: if (open.start.value == 0L) ConfigurationState() else return
        val before = state
        // Without a snapshot and with nothing newer than the state in force, that state stays.
        if (before != null && open.lastOffset(base) < before.offset) return
        scan = null
        snapshots = SnapshotAssembler()
        state = base
        stateReplacements++
        open.records.filter { it.first > base.offset }.forEach { (offset, decoded) ->
            evaluate(offset, decoded, if (before == null || offset > before.offset) onEvaluated else IGNORE)
        }
    }

    private fun evaluate(offset: LogOffset, decoded: DecodedRecord, onEvaluated: (EvaluatedRecord) -> Unit) {
        val before = state ?: return
        val transition =
            when (decoded) {
                is DecodedRecord.Valid -> before.transition(decoded.record, offset)
                is DecodedRecord.Malformed -> {
                    skippedRecords++
                    StateTransition(
                        before.skip(offset),
                        ApplyOutcome.Rejected(Rejection.Invalid(listOf(decoded.reason))),
                    )
                }
                is DecodedRecord.UnknownSchema -> return
            }
        state = transition.state
        onEvaluated(EvaluatedRecord(offset, decoded, transition))
    }

    /** Records read while the place to start from is not known yet. */
    private class Scan(val start: LogOffset = LogOffset(0)) {
        val records = ArrayDeque<Pair<LogOffset, DecodedRecord>>()
        var base: ConfigurationState? = null
            private set

        fun startFrom(snapshot: ConfigurationState) {
            if (snapshot.offset <= (base?.offset ?: LogOffset.NONE)) return
            base = snapshot
            while (records.isNotEmpty() && records.first().first <= snapshot.offset) records.removeFirst()
        }

        /** Forgets records that no snapshot found from now on can need. */
        fun dropBefore(earliest: LogOffset) {
            while (base == null && records.isNotEmpty() && records.first().first < earliest) records.removeFirst()
        }

        fun lastOffset(base: ConfigurationState): LogOffset =
            maxOf(records.lastOrNull()?.first ?: base.offset, base.offset)
    }

    private companion object {
        val IGNORE: (EvaluatedRecord) -> Unit = {}
    }
}
