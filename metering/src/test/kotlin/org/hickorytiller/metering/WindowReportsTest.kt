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
        reports.hasUnfixed(wallMs = 15_000) shouldBe true
        reports.figuresToRecord(wallMs = 16_400).keys.contains(WindowNumber(2)) shouldBe false
        reports.figuresToRecord(wallMs = 16_500).keys shouldContain WindowNumber(2)
    }

    @Test
    fun `the fixed figures of a window never change`() {
        val counters = counters()
        val reports = WindowReports(counters)
        counters.add(customer, 11_000)
        val fixed = reports.figuresToRecord(wallMs = 17_000)
        reports.recorded(fixed)
        counters.add(customer, 11_500)
        reports.recorded(mapOf(WindowNumber(2) to mapOf(customer to 9L)))
        reports.figuresToRecord(wallMs = 18_000)[WindowNumber(2)] shouldBe mapOf(customer to 1L)
        reports.unacknowledgedFigures(wallMs = 18_000).toMap()[WindowNumber(2)] shouldBe mapOf(customer to 1L)
    }

    @Test
    fun `figures are not sent before they are on the log`() {
        val reports = WindowReports(counters())
        reports.figuresToRecord(wallMs = 17_000)
        reports.unacknowledgedFigures(wallMs = 17_000).shouldBeEmpty()
    }

    @Test
    fun `a new holder of the duty sends the figures that were not acknowledged`() {
        val figures = mapOf(WindowNumber(1) to mapOf(customer to 5L), WindowNumber(2) to emptyMap())
        val successor = WindowReports(counters("next"))
        successor.recorded(figures)
        successor.unacknowledgedFigures(wallMs = 17_000).map { it.first } shouldBe listOf(WindowNumber(1), WindowNumber(2))
        successor.acknowledged(WindowNumber(1))
        successor.unacknowledgedFigures(wallMs = 17_000).map { it.first } shouldBe listOf(WindowNumber(2))
    }
}
