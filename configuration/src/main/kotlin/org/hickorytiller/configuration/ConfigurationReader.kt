/**
 * Reads the stream: finds the state to start from, evaluates the records after it, and starts again from a snapshot if
 * the log has dropped records that were not read yet. Routers, controllers and hickoryctl use the same reader, so that
 * all of them compute the same state.
 */
package org.hickorytiller.configuration

import org.hickorytiller.core.LogOffset

/** One record as the log stores it. */
class StoredRecord(val offset: LogOffset, val data: ByteArray)

/** A record with an unsupported schema, at which the reader has stopped. */
data class UnsupportedRecord(val offset: LogOffset, val schema: Long)

/** A record and its evaluation. */
data class EvaluatedRecord(val offset: LogOffset, val decoded: DecodedRecord, val transition: StateTransition) {
    val outcome: ApplyOutcome get() = transition.outcome
    val state: ConfigurationState get() = transition.state
}

/** Reader of the stream. Confined to one task. */
class ConfigurationReader {
    /** The state after the last applied record; null until it is known. Its offset never decreases. */
    var state: ConfigurationState? = null
        private set

    /** The record at which the reader has stopped; null while it follows the stream. */
    var unsupportedRecord: UnsupportedRecord? = null
        private set

    /** Whether the last page reached the end of the stream and [state] includes all its records. */
    var caughtUp = false
        private set

    /** The newest complete snapshot read. */
    var lastSnapshot: SnapshotPosition? = null
        private set

    /** Number of records skipped because they were malformed or oversized, or were unusable snapshots. */
    var skippedRecords = 0L
        private set

    /** Number of times that [state] was replaced as a whole, at the end of a scan or by the state of a peer. */
    var stateReplacements = 0
        private set

    /** The offset to read from. */
    var nextOffset: LogOffset = LogOffset(0)
        private set

    private var scan: Scan? = Scan()
    private var snapshots = SnapshotAssembler()

    /**
     * Processes a page of the stream that was read from [nextOffset]. [onEvaluated] is called for each record that is
     * evaluated, but not for records that a snapshot or the previous [state] covers.
     */
    fun onPage(
        earliest: LogOffset,
        end: LogOffset,
        records: List<StoredRecord>,
        onEvaluated: (EvaluatedRecord) -> Unit = {},
    ) {
        if (unsupportedRecord != null) return
        if (earliest > nextOffset) restartScan(earliest)
        scan?.dropBefore(earliest)
        for (record in records) {
            if (unsupportedRecord != null) break
            if (record.offset >= nextOffset) processRecord(record, earliest, onEvaluated)
        }
        val atEnd = nextOffset >= end || unsupportedRecord != null
        if (atEnd) finishScan(onEvaluated)
        caughtUp = atEnd && scan == null && unsupportedRecord == null
    }

    /**
     * Replaces [state] by that of a peer. Returns false, and changes nothing, if it is not newer or includes a record
     * that this code does not support.
     */
    fun installState(newer: ConfigurationState): Boolean {
        val current = state
        if (current != null && newer.offset <= current.offset) return false
        // This code cannot know the effect of the unsupported record, so it rejects any state that includes it.
        if (unsupportedRecord?.let { newer.offset >= it.offset } == true) return false
        state = newer
        stateReplacements++
        // Records after the state may already have been read during a scan; they are read again.
        nextOffset = newer.offset.next()
        scan = null
        snapshots = SnapshotAssembler()
        caughtUp = false
        return true
    }

    private fun restartScan(earliest: LogOffset) {
        nextOffset = earliest
        scan = Scan(start = earliest)
        snapshots = SnapshotAssembler()
    }

    private fun processRecord(record: StoredRecord, earliest: LogOffset, onEvaluated: (EvaluatedRecord) -> Unit) {
        val decoded = decodeConfigurationRecord(record.data)
        if (decoded is DecodedRecord.UnknownSchema) {
            unsupportedRecord = UnsupportedRecord(record.offset, decoded.schema)
            return
        }
        nextOffset = record.offset.next()
        val snapshot = if (decoded is DecodedRecord.Valid) (decoded.record as? Snapshot) else null
        val complete = snapshot?.let { addSnapshotPart(it, record.offset) }
        val activeScan = scan
        if (activeScan == null) {
            evaluate(record.offset, decoded, onEvaluated)
        } else {
            activeScan.records += record.offset to decoded
            if (complete != null && complete.offset.value >= earliest.value - 1) activeScan.startFrom(complete)
        }
    }

    private fun addSnapshotPart(part: Snapshot, at: LogOffset): ConfigurationState? {
        // A reader that follows the stream needs only the position of the snapshot, not its contents.
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
        val activeScan = scan ?: return
        val base = activeScan.base ?: if (activeScan.start.value == 0L) ConfigurationState() else return
        val before = state
        // The current state is kept if the scan has found nothing newer.
        if (before != null && activeScan.lastOffset(base) < before.offset) return
        scan = null
        snapshots = SnapshotAssembler()
        state = base
        stateReplacements++
        activeScan.records.filter { it.first > base.offset }.forEach { (offset, decoded) ->
            evaluate(offset, decoded, if (before == null || offset > before.offset) onEvaluated else NO_OP)
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
                        before.withOffset(offset),
                        ApplyOutcome.Rejected(Rejection.Invalid(listOf(decoded.reason))),
                    )
                }
                is DecodedRecord.UnknownSchema -> return
            }
        state = transition.state
        onEvaluated(EvaluatedRecord(offset, decoded, transition))
    }

    /** Records read while the state to start from is unknown. */
    private class Scan(val start: LogOffset = LogOffset(0)) {
        val records = ArrayDeque<Pair<LogOffset, DecodedRecord>>()
        var base: ConfigurationState? = null
            private set

        fun startFrom(snapshot: ConfigurationState) {
            if (snapshot.offset <= (base?.offset ?: LogOffset.NONE)) return
            base = snapshot
            while (records.isNotEmpty() && records.first().first <= snapshot.offset) records.removeFirst()
        }

        /** Drops the records before [earliest] if no base is known: every snapshot that is still usable covers them. */
        fun dropBefore(earliest: LogOffset) {
            while (base == null && records.isNotEmpty() && records.first().first < earliest) records.removeFirst()
        }

        fun lastOffset(base: ConfigurationState): LogOffset =
            maxOf(records.lastOrNull()?.first ?: base.offset, base.offset)
    }

    private companion object {
        val NO_OP: (EvaluatedRecord) -> Unit = {}
    }
}
