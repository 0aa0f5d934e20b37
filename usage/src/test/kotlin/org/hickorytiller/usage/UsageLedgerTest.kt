package org.hickorytiller.usage

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.TimeMs
import org.hickorytiller.core.json
import kotlin.random.Random

class UsageLedgerTest : AnnotationSpec() {
    private fun entry(requests: Long) = UsageEntry("a", "reports", "chat", requests, 0, 0)

    private fun flush(sequence: Long, requests: Long, run: String = "r") = UsageFlush("host-1", run, sequence, 2_000, listOf(entry(requests)))

    private fun ledger(vararg records: UsageRecord) = UsageLedger().also { ledger ->
        records.forEachIndexed { index, record -> ledger.apply(record, LogOffset(index.toLong())) }
    }

    private fun fixed(id: Long, fix: String, part: Int, parts: Int, through: Long, requests: Long) = WindowFixed(id, fix, part, parts, through, 1, listOf(entry(requests)), emptyMap())

    @Test
    fun `a flush that is retried after a lost response counts once`() {
        val ledger = ledger(flush(1, 5), flush(1, 5), flush(2, 1), flush(1, 5))
        ledger.unfixedFigures().single().requests shouldBe 6
        ledger.duplicates shouldBe 2
    }

    @Test
    fun `only the first complete attempt of several holders fixes a window`() {
        val ledger = ledger(
            flush(1, 5),
            fixed(0, "slow", 0, 2, 0, 4),
            flush(2, 1),
            fixed(0, "quick", 0, 1, 0, 5),
            fixed(0, "slow", 1, 2, 0, 1),
            fixed(0, "late", 0, 1, 2, 6),
        )
        ledger.lastFixed?.figures?.single()?.requests shouldBe 5
        ledger.toReport().size shouldBe 1
        ledger.unfixedFigures().single().requests shouldBe 1
    }

    @Test
    fun `an acknowledged window is not reported again`() {
        ledger(flush(1, 5), fixed(0, "f", 0, 1, 0, 5), WindowAcknowledged(0)).toReport().shouldBeEmpty()
    }

    @Test
    fun `a flush in a fixed window does not count again after old records were dropped`() {
        val full = ledger(flush(1, 5), flush(2, 2))
        val fix = full.fix("f", LogOffset(0)).single()
        val late = UsageLedger()
        late.onRecordsDropped(LogOffset(1))
        late.apply(flush(2, 2), LogOffset(2))
        late.apply(fix, LogOffset(3))
        late.apply(flush(1, 5), LogOffset(4))
        late.apply(flush(3, 7), LogOffset(5))
        late.unfixedFigures().single().requests shouldBe 7
        late.nextWindow shouldBe WindowId(1)
    }

    @Test
    fun `a large window is divided into parts below the record limit of the log`() {
        val ledger = UsageLedger()
        repeat(5) { part ->
            val entries = List(1_000) { UsageEntry("customer-with-a-long-name-$part-$it", "reports", "chat", 1, 9, 9) }
            ledger.apply(UsageFlush("host-1", "run-$part", 1, 2_000, entries), LogOffset(part.toLong()))
        }
        val parts = ledger.fix("fix", LogOffset(0))
        parts.size shouldBe 5
        parts.forEach { json.writeValueAsBytes(it).size shouldBeLessThan 262_144 }
        parts.reversed().forEachIndexed { index, part -> ledger.apply(part, LogOffset(5L + index)) }
        ledger.lastFixed?.figures?.size shouldBe 5_000
        ledger.nextThroughOffset shouldBe null
    }

    @Test
    fun `the bytes of a report do not depend on the holder that sends it`() {
        val records = arrayOf(flush(1, 5), fixed(0, "f", 0, 1, 0, 5))
        val reporters = listOf(3L, 9L).map { token ->
            UsageReporter(ledger(*records), UsageTiming(), LogOffset(token), TimeMs(0)) { "fix" }
        }
        val reports = reporters.map { (it.nextAction(TimeMs(0)) as UsageAction.Report).window.reportBytes().decodeToString() }
        reports.distinct().size shouldBe 1
        reporters[0].reportAccepted((reporters[0].nextAction(TimeMs(0)) as UsageAction.Report).window)
        reporters[0].nextAction(TimeMs(1)) shouldBe UsageAction.Acknowledge(WindowAcknowledged(0))
    }

    /** Random writers of one stream. Each has read a random prefix of it, and some records are appended late. */
    private inner class Writers(seed: Long) {
        private val random = Random(seed)
        private val log = ArrayList<UsageRecord>()
        private val delayed = ArrayList<UsageRecord>()
        private val readers = List(3) { UsageLedger() }
        private val sequences = LongArray(3)
        private var served = 0L

        fun run(): String? {
            repeat(400) { step() }
            val full = UsageLedger()
            log.forEachIndexed { index, record -> full.apply(record, LogOffset(index.toLong())) }
            val figures = HashMap<Long, Long>()
            val replay = UsageLedger()
            log.forEachIndexed { index, record ->
                replay.apply(record, LogOffset(index.toLong()))
                replay.lastFixed?.let { window ->
                    val sum = window.figures.sumOf { it.requests }
                    val previous = figures.putIfAbsent(window.id.value, sum)
                    if (previous != null && previous != sum) return "window ${window.id} has $previous and $sum"
                }
            }
            val counted = figures.values.sum() + full.unfixedFigures().sumOf { it.requests }
            return if (counted == served) null else "served $served, counted $counted"
        }

        private fun step() {
            when (random.nextInt(10)) {
                in 0..3 -> flushOnce()
                in 4..6 -> read(readers.random(random))
                in 7..8 -> readers.random(random).fix("fix-${random.nextLong()}", LogOffset(0)).forEach(::append)
                else -> if (delayed.isNotEmpty()) log += delayed.removeAt(random.nextInt(delayed.size))
            }
        }

        private fun flushOnce() {
            val router = random.nextInt(3)
            val flush = flush(++sequences[router], random.nextLong(1, 9), "run-$router")
            served += flush.entries.single().requests
            log += flush
            if (random.nextInt(3) == 0) log += flush
            if (random.nextInt(4) == 0) delayed += flush
        }

        private fun append(part: WindowFixed) {
            if (random.nextInt(3) == 0) delayed += part else log += part
        }

        private fun read(reader: UsageLedger) {
            val from = reader.seenThrough.value.toInt() + 1
            (from until random.nextInt(from, log.size + 1)).forEach { reader.apply(log[it], LogOffset(it.toLong())) }
        }
    }

    @Test
    fun `usage is neither lost nor counted twice for random interleavings of writers`() {
        val seed = System.getProperty("hickory.seed")?.toLong() ?: 20_261_206L
        println("UsageLedgerTest: seeds $seed..${seed + 2_999}")
        (0 until 3_000).mapNotNull { run -> Writers(seed + run).run()?.let { "seed ${seed + run}: $it" } }.shouldBeEmpty()
    }

    @Test
    fun `holders that do not fix a window on the log report different figures`() {
        val violations = (0 until 200).count { run ->
            val random = Random(20_261_207L + run)
            val log = List(20) { flush(it + 1L, random.nextLong(1, 9)) }
            // Each of two holders reports the records it has read, instead of the first complete attempt on the log.
            val figures = List(2) { ledger(*log.take(random.nextInt(1, 21)).toTypedArray()).unfixedFigures() }
            figures.distinct().size > 1
        }
        println("two figures without fixing: $violations of 200")
        violations shouldBeGreaterThan 0
    }
}
