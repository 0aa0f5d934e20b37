package org.hickorytiller.leases

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.TimeMs

class LeaseTableTest : AnnotationSpec() {
    private val duty = Duty("orders/zone-a")

    private fun claim(id: String, seenThrough: Long) = Claim(duty.value, "host-$id", id, TERM_MS, seenThrough)

    private fun renewal(id: String, seenThrough: Long, sequence: Long = 1) = Renewal(duty.value, "host-$id", id, TERM_MS, seenThrough, sequence)

    private fun release(id: String) = Release(duty.value, "host-$id", id)

    private fun caughtUpTable() = LeaseTable(MARGIN_MS).also { it.markCaughtUp(TimeMs(0)) }

    @Test
    fun `second of two concurrent claims is invalid`() {
        val table = LeaseTable(MARGIN_MS)
        table.apply(claim("a", -1), LogOffset(0), TimeMs(0)) shouldBe true
        table.apply(claim("b", -1), LogOffset(1), TimeMs(1)) shouldBe false
        table.lease(duty)?.claimId shouldBe ClaimId("a")
    }

    @Test
    fun `claim waits for the term and the drift margin`() {
        val table = caughtUpTable()
        table.claimableAt(duty, TERM_MS) shouldBe TimeMs(TERM_MS + MARGIN_MS)
        table.apply(claim("a", -1), LogOffset(0), TimeMs(20_000))
        table.claimableAt(duty, TERM_MS) shouldBe TimeMs(20_000 + TERM_MS + MARGIN_MS)
    }

    @Test
    fun `no claim before the end of the stream was read`() {
        LeaseTable(MARGIN_MS).claimableAt(duty, TERM_MS) shouldBe null
    }

    @Test
    fun `release does not shorten the wait after process start`() {
        val table = caughtUpTable()
        table.apply(claim("a", -1), LogOffset(0), TimeMs(100))
        table.apply(release("a"), LogOffset(1), TimeMs(200))
        table.claimableAt(duty, TERM_MS) shouldBe TimeMs(TERM_MS + MARGIN_MS)
    }

    @Test
    fun `claim after a release does not wait for the term`() {
        val table = caughtUpTable()
        table.apply(claim("a", -1), LogOffset(0), TimeMs(50_000))
        table.apply(release("a"), LogOffset(1), TimeMs(51_000))
        (table.claimableAt(duty, TERM_MS)!! <= TimeMs(51_000)) shouldBe true
    }

    @Test
    fun `release does not cancel the wait for an invalid claim read before it`() {
        val table = caughtUpTable()
        table.apply(claim("a", -1), LogOffset(0), TimeMs(50_000))
        table.apply(claim("b", -1), LogOffset(1), TimeMs(50_001)) shouldBe false
        table.apply(release("a"), LogOffset(2), TimeMs(51_000)) shouldBe true
        table.claimableAt(duty, TERM_MS) shouldBe TimeMs(50_001 + TERM_MS + MARGIN_MS)
    }

    @Test
    fun `late renewal is invalid after another process has claimed the lease`() {
        val table = LeaseTable(MARGIN_MS)
        table.apply(claim("a", -1), LogOffset(0), TimeMs(0))
        table.apply(claim("b", 0), LogOffset(1), TimeMs(20_000)) shouldBe true
        table.apply(renewal("a", 0), LogOffset(2), TimeMs(20_001)) shouldBe false
        table.lease(duty)?.claimId shouldBe ClaimId("b")
    }

    @Test
    fun `renewal replaces an invalid old claim that was taken for valid`() {
        val table = LeaseTable(MARGIN_MS)
        table.reset(LogOffset(9))
        table.apply(claim("old", 2), LogOffset(10), TimeMs(0)) shouldBe true
        table.apply(renewal("true", 8, 5), LogOffset(11), TimeMs(1)) shouldBe false
        table.apply(renewal("true", 11, 6), LogOffset(12), TimeMs(3_001)) shouldBe true
        table.lease(duty)?.claimId shouldBe ClaimId("true")
    }

    @Test
    fun `dropped records restart the wait, and a record of an unknown schema prevents claims`() {
        val table = caughtUpTable()
        table.reset(LogOffset(40))
        table.claimableAt(duty, TERM_MS) shouldBe null
        table.markCaughtUp(TimeMs(90_000))
        table.claimableAt(duty, TERM_MS) shouldBe TimeMs(90_000 + TERM_MS + MARGIN_MS)
        table.halt()
        table.claimableAt(duty, TERM_MS) shouldBe null
    }

    private companion object {
        const val TERM_MS = 10_000L
        const val MARGIN_MS = 1_000L
    }
}
