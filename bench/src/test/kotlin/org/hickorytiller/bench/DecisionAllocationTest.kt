package org.hickorytiller.bench

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.longs.shouldBeLessThan

/** Fails if a decision allocates more memory with more customers or servers. `bench decisions` measures the time. */
class DecisionAllocationTest : AnnotationSpec() {
    private fun bytesPerDecision(decision: () -> Unit): Long {
        repeat(2_000) { decision() }
        val before = allocatedBytes()
        repeat(2_000) { decision() }
        return (allocatedBytes() - before) / 2_000
    }

    @Test
    fun `choosing a server allocates less than 512 bytes for any number of servers`() {
        SERVER_COUNTS.forAll { withClue("$it servers") { bytesPerDecision(choiceDecision(it)) shouldBeLessThan 512 } }
    }

    @Test
    fun `admitting a request allocates less than 1024 bytes for any number of customers`() {
        CUSTOMER_COUNTS.forAll { withClue("$it customers") { bytesPerDecision(admissionDecision(it)) shouldBeLessThan 1_024 } }
    }
}
