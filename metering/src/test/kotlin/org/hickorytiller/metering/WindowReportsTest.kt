package org.hickorytiller.metering

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.ProcessId
import org.hickorytiller.mesh.WindowNumber

class WindowReportsTest : AnnotationSpec() {
    private val customer = CustomerId("c")

    private fun counters(run: String = "own") = WindowUsageCounters(ProcessId(run), windowMs = 5_000)

    @Test
    fun `counts of a peer are kept after its loss and not counted twice`() {
        val first = counters("a")
        val second = counters("b")
        repeat(3) { first.add(customer, 12_000) }
        second.add(customer, 13_000)
        repeat(2) { second.applyPeerCounts(ProcessId("a"), first.recentCounts(13_000)) }
        second.total(WindowNumber(2)) shouldBe mapOf(customer to 4L)
        second.applyPeerCounts(ProcessId("a"), mapOf(WindowNumber(2) to mapOf(customer to 1L)))
        second.total(WindowNumber(2)) shouldBe mapOf(customer to 4L)
    }

    @Test
    fun `a window is not fixed before its last counts can be received`() {
        val reports = WindowReports(counters())
        // Windows 0 and 1 are due.
        reports.hasWindowsToRecord(wallMs = 15_000) shouldBe true
        reports.countsToRecord(wallMs = 16_400).keys.contains(WindowNumber(2)) shouldBe false
        reports.countsToRecord(wallMs = 16_500).keys shouldContain WindowNumber(2)
    }

    @Test
    fun `the fixed counts of a window never change`() {
        val counters = counters()
        val reports = WindowReports(counters)
        counters.add(customer, 11_000)
        val fixed = reports.countsToRecord(wallMs = 17_000)
        reports.applyRecorded(fixed)
        counters.add(customer, 11_500)
        reports.applyRecorded(mapOf(WindowNumber(2) to mapOf(customer to 9L)))
        reports.countsToRecord(wallMs = 18_000)[WindowNumber(2)] shouldBe mapOf(customer to 1L)
        reports.unacknowledgedCounts(wallMs = 18_000).toMap()[WindowNumber(2)] shouldBe mapOf(customer to 1L)
    }

    @Test
    fun `counts are not sent before they are on the log`() {
        val reports = WindowReports(counters())
        reports.countsToRecord(wallMs = 17_000)
        reports.unacknowledgedCounts(wallMs = 17_000).shouldBeEmpty()
    }

    @Test
    fun `a new holder of the duty sends the counts that were not acknowledged`() {
        val counts = mapOf(WindowNumber(1) to mapOf(customer to 5L), WindowNumber(2) to emptyMap())
        val successor = WindowReports(counters("next"))
        successor.applyRecorded(counts)
        successor.unacknowledgedCounts(wallMs = 17_000).map { it.first } shouldBe listOf(WindowNumber(1), WindowNumber(2))
        successor.markAcknowledged(WindowNumber(1))
        successor.unacknowledgedCounts(wallMs = 17_000).map { it.first } shouldBe listOf(WindowNumber(2))
    }
}
