package org.hickorytiller.dispatch

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.HostId
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.TimeMs

class IntentTableTest : AnnotationSpec() {
    private val key = IntentKey(CustomerId("clinic"), IdempotencyKey("refund-1"))
    private val now = TimeMs(0)

    private fun intent(id: String, key: IntentKey = this.key) = RequestIntent(key, IntentId(id), RequestDigest("d"), HostId("host-1"))

    private fun outcome(id: String, bytes: Int, key: IntentKey = this.key) = RequestOutcome(key, IntentId(id), RecordedOutcome.of(200, "text/plain", ByteArray(bytes)))

    @Test
    fun `a second intent does not take over the right of the first`() {
        val table = IntentTable()
        table.apply(intent("a-0"), LogOffset(0), now)?.id shouldBe IntentId("a-0")
        table.apply(intent("b-0"), LogOffset(1), now) shouldBe null
        table.holder(key)?.id shouldBe IntentId("a-0")
    }

    @Test
    fun `only the holder can release an intent, and only before the request ran`() {
        val table = IntentTable()
        table.apply(intent("a-0"), LogOffset(0), now)
        table.apply(IntentRelease(key, IntentId("b-0")), LogOffset(1), now)
        table.holder(key)?.id shouldBe IntentId("a-0")
        table.apply(outcome("a-0", 4), LogOffset(2), now)
        table.apply(IntentRelease(key, IntentId("a-0")), LogOffset(3), now)
        table.holder(key)?.outcome?.status shouldBe 200
    }

    @Test
    fun `a duplicate release does not remove the right of a later holder`() {
        val table = IntentTable()
        table.apply(intent("a-0"), LogOffset(0), now)
        table.apply(IntentRelease(key, IntentId("a-0")), LogOffset(1), now)
        table.apply(intent("b-0"), LogOffset(2), now)
        table.apply(IntentRelease(key, IntentId("a-0")), LogOffset(3), now)
        table.holder(key)?.id shouldBe IntentId("b-0")
    }

    @Test
    fun `an outcome of an intent that does not hold the right is ignored`() {
        val table = IntentTable()
        table.apply(intent("a-0"), LogOffset(0), now)
        table.apply(outcome("b-0", 4), LogOffset(1), now)
        table.holder(key)?.outcome shouldBe null
    }

    @Test
    fun `a full table does not take an evicted key for a new one`() {
        val table = IntentTable(IntentLimits(windowMs = 1_000, maxIntents = 2))
        repeat(3) { table.apply(intent("a-$it", key.copy(idempotencyKey = IdempotencyKey("$it"))), LogOffset(it.toLong()), now) }
        table.size shouldBe 2
        table.isComplete(TimeMs(999)) shouldBe false
        table.isComplete(TimeMs(1_000)) shouldBe true
    }

    @Test
    fun `memory for recorded bodies is bounded`() {
        val table = IntentTable(IntentLimits(maxOutcomeBytes = 4_000))
        repeat(10) {
            val entryKey = key.copy(idempotencyKey = IdempotencyKey("$it"))
            table.apply(intent("a-$it", entryKey), LogOffset(it.toLong()), now)
            table.apply(outcome("a-$it", 1_000, entryKey), LogOffset(it.toLong()), now)
        }
        val outcomes = (0 until 10).mapNotNull { table.holder(key.copy(idempotencyKey = IdempotencyKey("$it")))?.outcome }
        outcomes.size shouldBe 10
        outcomes.sumOf { it.body.size } shouldBeLessThanOrEqual 4_000
        outcomes.filter { it.body.isEmpty() }.forAll { it.truncated shouldBe true }
    }

    @Test
    fun `keys beyond the window or below the retained offsets are removed`() {
        data class Case(val earliest: Long, val nowMs: Long, val kept: Int)
        listOf(Case(0, 999, 2), Case(1, 0, 1), Case(2, 0, 0), Case(0, 1_000, 0)).forAll { case ->
            val table = IntentTable(IntentLimits(windowMs = 1_000))
            table.apply(intent("a-0"), LogOffset(0), now)
            table.apply(intent("a-1", key.copy(customer = CustomerId("other"))), LogOffset(1), now)
            table.evictExpired(LogOffset(case.earliest), TimeMs(case.nowMs))
            table.size shouldBe case.kept
        }
    }

    @Test
    fun `records are unchanged by encoding and decoding`() {
        val records = listOf(intent("a-0"), outcome("a-0", 3_000), IntentRelease(key, IntentId("a-1")))
        val decoded = decodeIntents(encodeIntents(records)).getOrNull()!!
        decoded[0] shouldBe records[0]
        val outcome = (decoded[1] as RequestOutcome).outcome
        outcome.body.size shouldBe RecordedOutcome.MAX_BYTES
        outcome.truncated shouldBe true
        decoded[2] shouldBe records[2]
    }

    @Test
    fun `malformed records and records of another version are rejected`() {
        listOf(
            "",
            "[]",
            "{",
            """{"type":"Other","schema":1,"records":[]}""",
            """{"type":"IntentBatch","schema":2,"records":[]}""",
            """{"type":"IntentBatch","schema":1}""",
            """{"type":"IntentBatch","schema":1,"records":[{"type":"New","customer":"c","idempotencyKey":"k","id":"i"}]}""",
            """{"type":"IntentBatch","schema":1,"records":[{"type":"RequestIntent","customer":"c"}]}""",
        ).forAll { decodeIntents(it.toByteArray()).isLeft() shouldBe true }
    }

    @Test
    fun `the partition depends on the key alone and all partitions are used`() {
        (0 until 200).map { intentPartition(key.copy(idempotencyKey = IdempotencyKey("$it")), 16) }.toSet().size shouldBe 16
        intentPartition(key, 16) shouldBe intentPartition(key.copy(), 16)
    }
}
