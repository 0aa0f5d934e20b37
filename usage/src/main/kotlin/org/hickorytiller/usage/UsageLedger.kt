/**
 * Computes the usage from the records of the stream. The first complete attempt to fix a window determines its figures,
 * whichever holder wrote it; flushes after its `throughOffset` belong to the next window, however late they are.
 */
package org.hickorytiller.usage

import org.hickorytiller.core.LogOffset

/** The figures of a window, fixed on the log. */
data class FixedWindow(val id: WindowId, val throughOffset: LogOffset, val figures: List<UsageEntry>)

/** State of the `usage` stream. Confined to the event loop. */
class UsageLedger {
    private class Flush(val offset: LogOffset, val run: String, val sequence: Long, val entries: List<UsageEntry>)

    private class FixAttempt(val windowId: WindowId, parts: Int) {
        val parts = arrayOfNulls<WindowFixed>(parts)
    }

    private val flushes = ArrayDeque<Flush>()
    private val runs = LinkedHashMap<String, Long>()
    private val fixedRuns = LinkedHashMap<String, Long>()
    private val fixAttempts = HashMap<String, FixAttempt>()
    private val unacknowledged = LinkedHashMap<WindowId, FixedWindow>()

    /** Offset of the last record read. */
    var seenThrough = LogOffset.NONE
        private set

    /** The last window that was fixed; null if none was. */
    var lastFixed: FixedWindow? = null
        private set

    /** Records up to this offset were dropped before they were read; flushes among them in no fixed window are lost. */
    var droppedThrough = LogOffset.NONE
        private set

    /** Number of flushes that were ignored since they were on the stream already. */
    var duplicates = 0L
        private set

    /** Number of the next window to fix. */
    val nextWindow: WindowId get() = lastFixed?.id?.next() ?: WindowId(0)

    /** Last offset that the next window would include if it were fixed now; null if the window would be empty. */
    val nextThroughOffset: LogOffset? get() = flushes.lastOrNull()?.offset

    /** Returns the fixed windows without an acknowledgement, oldest first. */
    fun toReport(): List<FixedWindow> = unacknowledged.values.toList()

    /** Applies the record at [offset]. */
    fun apply(record: UsageRecord, offset: LogOffset) {
        seenThrough = offset
        when (record) {
            is UsageFlush -> count(record, offset)
            is WindowFixed -> applyPart(record)
            is WindowAcknowledged -> unacknowledged.remove(WindowId(record.windowId))
        }
    }

    /** Skips the record at [offset], which cannot be decoded. */
    fun skip(offset: LogOffset) {
        seenThrough = offset
    }

    /** Records that all records up to [through] were dropped before they were read. */
    fun onRecordsDropped(through: LogOffset) {
        droppedThrough = through
        seenThrough = through
    }

    /** Returns the parts of the next window with all flushes read so far, as attempt [fixId]; empty without flushes. */
    fun fix(fixId: String, fencingToken: LogOffset): List<WindowFixed> {
        val through = nextThroughOffset ?: return emptyList()
        val figures = sum(flushes)
        val sequences = LinkedHashMap(fixedRuns)
        flushes.forEach {
            sequences.remove(it.run)
            sequences[it.run] = it.sequence
        }
        val live = sequences.entries.toList().takeLast(MAX_RUNS).associate { it.key to it.value }
        val figureParts = figures.chunked(MAX_ENTRIES_PER_RECORD)
        val runParts = live.entries.chunked(MAX_RUNS_PER_RECORD)
        val parts = maxOf(figureParts.size, runParts.size, 1)
        return List(parts) { part ->
            WindowFixed(
                nextWindow.value,
                fixId,
                part,
                parts,
                through.value,
                fencingToken.value,
                figureParts.getOrElse(part) { emptyList() },
                runParts.getOrNull(part)?.associate { it.key to it.value } ?: emptyMap(),
            )
        }
    }

    /** Returns the usage that is not in a fixed window yet. */
    fun unfixedFigures(): List<UsageEntry> = sum(flushes)

    private fun count(flush: UsageFlush, offset: LogOffset) {
        val run = "${flush.router}/${flush.run}"
        if (flush.sequence <= (runs[run] ?: 0)) {
            duplicates++
            return
        }
        runs.remove(run)
        runs[run] = flush.sequence
        flushes.addLast(Flush(offset, run, flush.sequence, flush.entries))
    }

    private fun applyPart(record: WindowFixed) {
        if (!isNext(record)) return
        val attempt = fixAttempts.getOrPut(record.fixId) { FixAttempt(WindowId(record.windowId), record.parts) }
        if (attempt.windowId.value != record.windowId || record.part !in attempt.parts.indices) return
        attempt.parts[record.part] = record
        val parts = attempt.parts.filterNotNull()
        if (parts.size == attempt.parts.size) completeWindow(parts)
    }

    // A reader that starts after dropped records accepts the first window that it reads as the next one.
    private fun isNext(record: WindowFixed): Boolean {
        val last = lastFixed
        if (last == null) return record.windowId == 0L || droppedThrough > LogOffset.NONE
        return record.windowId == last.id.value + 1 && record.throughOffset > last.throughOffset.value
    }

    private fun completeWindow(parts: List<WindowFixed>) {
        val id = WindowId(parts.first().windowId)
        val through = LogOffset(parts.first().throughOffset)
        val window = FixedWindow(id, through, parts.flatMap { it.figures })
        parts.forEach { part ->
            part.runs.forEach { (run, sequence) ->
                fixedRuns.remove(run)
                fixedRuns[run] = sequence
                runs[run] = maxOf(sequence, runs[run] ?: 0)
            }
        }
        // The second condition covers a reader that started after dropped records: it may have counted a retried flush
        // whose first append it has not read.
        flushes.removeAll { it.offset <= through || it.sequence <= (fixedRuns[it.run] ?: 0) }
        fixAttempts.clear()
        lastFixed = window
        unacknowledged[id] = window
        forgetOldRuns()
    }

    private fun forgetOldRuns() {
        while (fixedRuns.size > MAX_RUNS) fixedRuns.remove(fixedRuns.keys.first())
        val pending = flushes.map { it.run }.toSet()
        runs.keys.retainAll(fixedRuns.keys + pending)
    }

    private fun sum(flushes: Collection<Flush>): List<UsageEntry> {
        val sums = sortedMapOf<Triple<String, String, String>, UsageEntry>(
            compareBy({ it.first }, { it.second }, { it.third }),
        )
        flushes.forEach { flush ->
            flush.entries.forEach { entry ->
                sums.merge(Triple(entry.customer, entry.requestClass, entry.pool), entry) { a, b -> a + b }
            }
        }
        return sums.values.toList()
    }

    private companion object {
        // The runs with the oldest flushes are removed; with 360 routers and 97 restarts a day that is after a week.
        const val MAX_RUNS = 1_000
        const val MAX_RUNS_PER_RECORD = 800
    }
}
