/**
 * The usage as a function of the records of the stream. The first complete writing of a window is its figure, whoever
 * wrote it; flushes after its `throughOffset` belong to the next window, however late they are.
 */
package org.hickorytiller.usage

import org.hickorytiller.core.LogOffset

/** The figure of a window, fixed on the log. */
data class FixedWindow(val id: WindowId, val throughOffset: LogOffset, val figures: List<UsageEntry>)

/** State of the stream `usage`. Confined to the event loop. */
class UsageLedger {
    private class Flush(val offset: LogOffset, val run: String, val sequence: Long, val entries: List<UsageEntry>)

    private class Writing(val windowId: WindowId, parts: Int) {
        val parts = arrayOfNulls<WindowFixed>(parts)
    }

    private val flushes = ArrayDeque<Flush>()
    private val runs = LinkedHashMap<String, Long>()
    private val fixedRuns = LinkedHashMap<String, Long>()
    private val writings = HashMap<String, Writing>()
    private val unacknowledged = LinkedHashMap<WindowId, FixedWindow>()

    /** Offset of the last record read. */
    var seenThrough = LogOffset.NONE
        private set

    /** The last window that is fixed; null if none is. */
    var lastFixed: FixedWindow? = null
        private set

    /** Flushes that were dropped from the stream before a window with them was fixed were lost up to this offset. */
    var lostThrough = LogOffset.NONE
        private set

    /** Number of flushes that were on the stream a second time. */
    var duplicates = 0L
        private set

    /** The window that is to be fixed next. */
    val nextWindow: WindowId get() = lastFixed?.id?.next() ?: WindowId(0)

    /** The offset up to which the next window would sum up, if it were fixed now; null if it would be empty. */
    val nextThrough: LogOffset? get() = flushes.lastOrNull()?.offset

    /** Windows whose report was not acknowledged, oldest first. */
    fun toReport(): List<FixedWindow> = unacknowledged.values.toList()

    /** Applies the record at [offset]. */
    fun apply(record: UsageRecord, offset: LogOffset) {
        seenThrough = offset
        when (record) {
            is UsageFlush -> count(record, offset)
            is WindowFixed -> write(record)
            is WindowAcknowledged -> unacknowledged.remove(WindowId(record.windowId))
        }
    }

    /** Passes over the record at [offset], which cannot be decoded. */
    fun skip(offset: LogOffset) {
        seenThrough = offset
    }

    /** Takes note that all records up to [through] were dropped before they were read. */
    fun recordsDropped(through: LogOffset) {
        lostThrough = through
        seenThrough = through
    }

    /** The parts of the next window with all flushes read so far, as one writing [fixId]; empty if there are none. */
    fun fix(fixId: String, fencingToken: LogOffset): List<WindowFixed> {
        val through = nextThrough ?: return emptyList()
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

    /** Usage that is not in a fixed window yet, in total. */
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

    private fun write(record: WindowFixed) {
        if (!isNext(record)) return
        val writing = writings.getOrPut(record.fixId) { Writing(WindowId(record.windowId), record.parts) }
        if (writing.windowId.value != record.windowId || record.part !in writing.parts.indices) return
        writing.parts[record.part] = record
        val parts = writing.parts.filterNotNull()
        if (parts.size == writing.parts.size) complete(parts)
    }

    // A reader that starts after dropped records takes the first window that it meets as the last one fixed before.
    private fun isNext(record: WindowFixed): Boolean {
        val last = lastFixed
        if (last == null) return record.windowId == 0L || lostThrough > LogOffset.NONE
        return record.windowId == last.id.value + 1 && record.throughOffset > last.throughOffset.value
    }

    private fun complete(parts: List<WindowFixed>) {
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
        // The second condition matters to a reader that started after dropped records: it may have counted a repeated
        // flush whose first append it never saw.
        flushes.removeAll { it.offset <= through || it.sequence <= (fixedRuns[it.run] ?: 0) }
        writings.clear()
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
        // Runs that flushed longest ago are forgotten; with 360 routers and 97 restarts a day that is after a week.
        const val MAX_RUNS = 1_000
        const val MAX_RUNS_PER_RECORD = 800
    }
}
