package org.hickorytiller.bench

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.longs.shouldBeLessThan

/** Guards against decisions that allocate more as customers and servers grow. Wall-clock time is measured elsewhere. */
class DecisionAllocationTest : AnnotationSpec() {
    private fun bytesPerDecision(decision: () -> Unit): Long {
        repeat(2_000) { decision() }
        val before = allocatedBytes()
        repeat(2_000) { decision() }
        return (allocatedBytes() - before) / 2_000
    }

    @Test
    fun `a choice allocates the same for any number of servers`() {
        SERVER_COUNTS.forAll { withClue("$it servers") { bytesPerDecision(choiceDecision(it)) shouldBeLessThan 512 } }
    }

    @Test
    fun `an admission allocates the same for any number of customers`() {
        CUSTOMER_COUNTS.forAll { withClue("$it customers") { bytesPerDecision(admissionDecision(it)) shouldBeLessThan 1_024 } }
    }
}
