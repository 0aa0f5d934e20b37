package org.hickorytiller.leases

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.TimeMs

class LeaseTableTest : AnnotationSpec() {
    private val duty = Duty("orders/zone-a")

    private fun claim(id: String, seenThrough: Long) = Claim(duty.value, "host-$id", id, TERM_MS, seenThrough)

    @Test
    fun `guards against two holders after racing claims`() {
        val table = LeaseTable(MARGIN_MS)
        table.apply(claim("a", -1), LogOffset(0), TimeMs(0)) shouldBe true
        table.apply(claim("b", -1), LogOffset(1), TimeMs(1)) shouldBe false
        table.lease(duty)?.claimId shouldBe ClaimId("a")
    }

    @Test
    fun `guards against a claim before the term and the drift margin have passed`() {
        val table = LeaseTable(MARGIN_MS)
        table.caughtUp(TimeMs(0))
        table.mayClaim(duty, TimeMs(TERM_MS + MARGIN_MS - 1), TERM_MS) shouldBe false
        table.mayClaim(duty, TimeMs(TERM_MS + MARGIN_MS), TERM_MS) shouldBe true
        table.apply(claim("a", -1), LogOffset(0), TimeMs(20_000))
        table.mayClaim(duty, TimeMs(20_000 + TERM_MS + MARGIN_MS - 1), TERM_MS) shouldBe false
        table.mayClaim(duty, TimeMs(20_000 + TERM_MS + MARGIN_MS), TERM_MS) shouldBe true
    }

    private companion object {
        const val TERM_MS = 10_000L
        const val MARGIN_MS = 1_000L
    }
}
