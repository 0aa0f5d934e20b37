package org.hickorytiller.configuration

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.KeyHash
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.TimeMs
import org.hickorytiller.keys.hashKey

class ConfigurationReaderTest : AnnotationSpec() {
    private val key = hashKey("key").value

    /** A log whose records before [earliest] have been dropped by retention. */
    private class Log(val records: MutableList<ByteArray> = mutableListOf(), var earliest: Long = 0) {
        fun append(record: ConfigurationRecord) = append(encodeConfigurationRecord(record))

        fun append(data: ByteArray): Long {
            records += data
            return records.size - 1L
        }

        fun feed(reader: ConfigurationReader, pageSize: Int = 3, onEvaluated: (EvaluatedRecord) -> Unit = {}) {
            do {
                val from = maxOf(reader.nextOffset.value, earliest)
                val until = minOf(from + pageSize, records.size.toLong())
                val page = (from until until).map { StoredRecord(LogOffset(it), records[it.toInt()]) }
                reader.onPage(LogOffset(earliest), LogOffset(records.size.toLong()), page, onEvaluated)
            } while (until < records.size && reader.unsupportedRecord == null)
        }

        fun read(): ConfigurationReader = ConfigurationReader().also { feed(it) }
    }

    private fun Log.publish(weight: Int, base: Long) = append(proposal(Section.CUSTOMERS, base, "[customers.clinic]\nweight = $weight\n", "p-$weight"))

    private fun Log.snapshot(state: ConfigurationState, id: String = "s-${state.offset}") = snapshotRecords(state, id).forEach { append(it) }

    @Test
    fun `a reader that starts from a snapshot has the same state as one that read all records`() {
        val log = Log()
        val follower = ConfigurationReader()
        val offset = log.publish(1, -1)
        log.append(KeyWithdrawn(key))
        log.append("garbage".toByteArray())
        // Only one of two parts of a proposal is on the stream when the snapshot is written.
        log.append(proposal(Section.CUSTOMERS, offset, "[customers.a]\n", "parts").copy(parts = 2))
        log.feed(follower)
        log.snapshot(follower.state!!)
        log.append(proposal(Section.CUSTOMERS, offset, "[customers.b]\n", "parts").copy(part = 1, parts = 2))
        log.append(KeyGranted("clinic", key, ""))
        log.feed(follower)
        (0L..4L).toList().forAll { earliest ->
            log.earliest = earliest
            val startedReader = log.read()
            startedReader.caughtUp shouldBe true
            startedReader.state shouldBe follower.state
        }
        follower.state!!.document.customers.keys.map { it.value } shouldBe listOf("clinic", "a", "b")
        (KeyHash(key) in follower.state!!.activeKeys()) shouldBe false
    }

    @Test
    fun `a reader does not start from a snapshot that is followed by a gap`() {
        val log = Log()
        log.publish(1, -1)
        log.snapshot(log.read().state!!)
        log.publish(2, 0)
        log.append(KeyWithdrawn(key))
        log.earliest = 3
        val reader = log.read()
        reader.state.shouldBeNull()
        reader.caughtUp shouldBe false
        // The reader can start from a snapshot that covers the records of the gap.
        val complete = Log(log.records).read().state!!
        log.snapshot(complete)
        log.feed(reader)
        reader.caughtUp shouldBe true
        reader.state shouldBe Log(log.records).read().state
    }

    @Test
    fun `parts of different or damaged snapshots are not combined`() {
        val log = Log()
        val document = parseDocument(customersText(6_000)).getOrNull()!!.document
        val change = diff(ConfigurationDocument(), document, Section.CUSTOMERS)
        sectionProposals("big", Section.CUSTOMERS, LogOffset.NONE, "o", change).forEach { log.append(it) }
        val state = log.read().state!!
        val first = snapshotRecords(state, "first")
        (first.size > 1) shouldBe true
        log.append(first[0])
        log.append(snapshotRecords(state, "second")[1])
        log.append(KeyWithdrawn(key))
        snapshotRecords(state, "damaged").forEach { log.append(it.copy(stateHash = "00")) }
        snapshotRecords(state, "ahead").forEach { log.append(it.copy(throughOffset = 1_000)) }
        log.earliest = state.offset.value + 1
        log.read().state.shouldBeNull()
        log.append(first[1])
        (2 until first.size).forEach { log.append(first[it]) }
        val reader = log.read()
        reader.caughtUp shouldBe true
        reader.state shouldBe Log(log.records).read().state
        reader.state!!.withdrawn shouldBe setOf(KeyHash(key))
    }

    @Test
    fun `a reader stops at a record with an unknown schema`() {
        val log = Log()
        log.publish(1, -1)
        val follower = log.read()
        val at = log.append("{\"schema\":9,\"type\":\"KeyWithdrawn\"}".toByteArray())
        log.publish(2, 0)
        log.snapshot(follower.state!!.withOffset(LogOffset(at)))
        log.feed(follower)
        listOf(follower, log.read()).forAll { reader ->
            reader.unsupportedRecord shouldBe UnsupportedRecord(LogOffset(at), 9)
            reader.caughtUp shouldBe false
            reader.state!!.offset shouldBe LogOffset(at - 1)
            reader.installState(reader.state!!.withOffset(LogOffset(at + 5))) shouldBe false
        }
    }

    @Test
    fun `a reader keeps its state until a snapshot covers the unread records that the log dropped`() {
        val log = Log()
        log.publish(1, -1)
        val reader = log.read()
        val before = reader.state
        log.publish(2, 0)
        log.publish(3, 1)
        log.earliest = 2
        // The dropped records are unknown, so the state is unchanged until a snapshot covers them.
        log.feed(reader)
        reader.state shouldBe before
        reader.caughtUp shouldBe false
        log.snapshot(Log(log.records).read().state!!)
        log.feed(reader)
        reader.caughtUp shouldBe true
        reader.stateReplacements shouldBe 2
        reader.state shouldBe Log(log.records).read().state
    }

    @Test
    fun `a state from a peer is installed only if it is newer`() {
        val log = Log()
        log.publish(1, -1)
        val old = log.read().state!!
        log.publish(2, 0)
        val reader = log.read()
        reader.installState(old) shouldBe false
        reader.installState(reader.state!!) shouldBe false
        reader.state!!.offset shouldBe LogOffset(1)
        val startedReader = ConfigurationReader()
        startedReader.installState(old) shouldBe true
        startedReader.installState(reader.state!!) shouldBe true
        log.append(KeyWithdrawn(key))
        val evaluatedOffsets = mutableListOf<Long>()
        log.feed(startedReader) { evaluatedOffsets += it.offset.value }
        evaluatedOffsets shouldBe listOf(2L)
        startedReader.state!!.withdrawn shouldBe setOf(KeyHash(key))
    }

    @Test
    fun `all readers count the same skipped records`() {
        val log = Log()
        listOf("", "{}", "x").forEach { log.append(it.toByteArray()) }
        log.append(ByteArray(MAX_RECORD_BYTES + 1) { 'x'.code.toByte() })
        log.publish(1, -1)
        val follower = ConfigurationReader()
        log.feed(follower, pageSize = 1)
        listOf(follower, log.read()).forAll {
            it.skippedRecords shouldBe 4
            it.state!!.offset shouldBe LogOffset(4)
            it.state!!.document.customers.size shouldBe 1
        }
    }

    @Test
    fun `states and transfers are unchanged by encoding and decoding, and invalid input is rejected`() {
        val state = exampleState().let { it.apply(KeyGranted("clinic", key, "desk"), it.offset.next()) }
            .let { it.apply(KeyWithdrawn(hashKey("old").value), it.offset.next()) }
            .let { it.apply(proposal(Section.CUSTOMERS, 0, "[customers.a]\n", "half").copy(parts = 2), it.offset.next()) }
        decodeState(encodeState(state)).getOrNull() shouldBe state
        val transfer = StateTransfer(state, setOf(hashKey("direct")))
        decodeTransfer(encodeTransfer(transfer)).getOrNull() shouldBe transfer
        val bytes = encodeState(state)
        encodeState(decodeState(bytes).getOrNull()!!).contentEquals(bytes) shouldBe true
        listOf(
            "", "{", "[]", "{}", "{\"schema\":1}", "{\"schema\":2}", "{\"schema\":1,\"sections\":[]}",
            "{\"schema\":1,\"sections\":{\"x\":{}},\"grants\":{},\"withdrawn\":[],\"pending\":[],\"offset\":1}",
            "{\"schema\":1,\"sections\":{},\"grants\":{},\"withdrawn\":[\"x\"],\"pending\":[],\"offset\":1}",
            "{\"schema\":1,\"sections\":{},\"grants\":{},\"withdrawn\":[],\"pending\":[{}],\"offset\":1}",
        ).forAll { text ->
            decodeState(text.toByteArray()).isLeft() shouldBe true
            decodeTransfer(text.toByteArray()).isLeft() shouldBe true
            decodeTransfer(compress(text.toByteArray())).isLeft() shouldBe true
        }
    }

    private data class Due(
        val last: SnapshotPosition?,
        val lastAt: Long?,
        val earliest: Long,
        val end: Long,
        val now: Long,
        val due: Boolean,
    )

    @Test
    fun `a snapshot is due only before retention can drop records that no snapshot covers`() {
        val mark = SnapshotPosition(LogOffset(99), LogOffset(101))
        listOf(
            Due(null, null, 0, 0, 0, due = false),
            Due(null, null, 0, 1, 0, due = true),
            Due(mark, null, 0, 102, 0, due = true),
            Due(mark, 0, 0, 102, 999, due = false),
            Due(mark, 0, 0, 102, 1_000, due = true),
            Due(mark, 0, 0, 900, 999, due = false),
            Due(mark, 0, 10, 102, 999, due = false),
            Due(mark, 0, 100, 102, 0, due = false),
            Due(mark, 0, 101, 120, 0, due = true),
            Due(mark, 0, 60, 112, 0, due = false),
            Due(mark, 0, 60, 116, 0, due = true),
        ).forAll {
            val lastAt = it.lastAt?.let(::TimeMs)
            isSnapshotDue(it.last, lastAt, LogOffset(it.earliest), LogOffset(it.end), TimeMs(it.now), 4_000) shouldBe it.due
        }
    }

    @Test
    fun `the parts of a snapshot stay below the record size limit at 24,000 customers`() {
        val document = parseDocument(customersText(24_000)).getOrNull()!!.document
        val state = ConfigurationState(LogOffset(5), mapOf(Section.CUSTOMERS to LogOffset(5)), document = document)
        val parts = snapshotRecords(state, "s")
        parts.forAll { (encodeConfigurationRecord(it).size < MAX_RECORD_BYTES) shouldBe true }
        val assembler = SnapshotAssembler()
        parts.dropLast(1).map { assembler.add(it, LogOffset(9)).getOrNull() }.filterNotNull().shouldBeEmpty()
        assembler.add(parts.last(), LogOffset(9)).getOrNull() shouldBe state
    }
}
