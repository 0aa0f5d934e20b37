package org.hickorytiller.usage

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.ClassId
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.TimeMs
import org.hickorytiller.core.json

class UsageAccumulatorTest : AnnotationSpec() {
    private val pool = PoolId("chat")

    private fun accumulator(maxKeys: Int = 200_000) = UsageAccumulator("host-1", "run-1", TimeMs(0), maxKeys)

    private fun UsageAccumulator.serve(customer: String) = add(CustomerId(customer), ClassId("reports"), pool, RequestUsage(10, 20, 300))

    @Test
    fun `a flush is returned unchanged until it is acknowledged`() {
        val accumulator = accumulator()
        accumulator.serve("a")
        val first = accumulator.nextFlush(TimeMs(2_000))
        accumulator.serve("a")
        accumulator.serve("b")
        accumulator.nextFlush(TimeMs(4_000)) shouldBe first
        accumulator.acknowledged(first!!)
        val second = accumulator.nextFlush(TimeMs(6_000))!!
        second.sequence shouldBe 2
        second.entries.map { it.customer to it.requests } shouldBe listOf("a" to 1L, "b" to 1L)
        accumulator.acknowledged(second)
        accumulator.isEmpty shouldBe true
    }

    @Test
    fun `usage beyond the maximum number of keys is dropped and counted during an outage`() {
        val accumulator = accumulator(maxKeys = 100)
        accumulator.serve("0")
        val stuck = accumulator.nextFlush(TimeMs(0))
        repeat(100_000) { accumulator.serve("customer-${it % 150}") }
        accumulator.nextFlush(TimeMs(600_000)) shouldBe stuck
        accumulator.acknowledged(stuck!!)
        val flush = accumulator.nextFlush(TimeMs(600_001))!!
        flush.entries.size shouldBe 100
        flush.entries.sumOf { it.requests } + accumulator.lostIncrements shouldBe 100_000
    }

    @Test
    fun `a flush stays below the record limit of the log`() {
        val accumulator = accumulator()
        repeat(2_500) { accumulator.serve("customer-with-a-rather-long-name-$it") }
        var flushed = 0
        while (!accumulator.isEmpty) {
            val flush = accumulator.nextFlush(TimeMs(0))!!
            json.writeValueAsBytes(flush).size shouldBeLessThan 262_144
            flushed += flush.entries.size
            accumulator.acknowledged(flush)
        }
        flushed shouldBe 2_500
    }

    @Test
    fun `a flush after an outage or a retried flush does not inflate the demand`() {
        val demand = UsageDemand(maxAgeMs = 10_000)
        fun flush(run: String, sequence: Long, spanMs: Long, busyMs: Long) = UsageFlush("host-$run", run, sequence, spanMs, listOf(UsageEntry("a", "reports", "chat", 1, 0, 0, busyMs)))
        demand.add(flush("1", 1, 600_000, 1_200_000), TimeMs(0))
        demand.add(flush("1", 1, 600_000, 1_200_000), TimeMs(10))
        demand.add(flush("2", 4, 2_000, 3_000), TimeMs(20))
        demand.busySlots(TimeMs(30)).values.single() shouldBe (3.5 plusOrMinus 1e-9)
        demand.busySlots(TimeMs(10_025)).isEmpty() shouldBe true
    }
}
