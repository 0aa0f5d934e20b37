package org.hickorytiller.relay

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.TimeMs
import kotlin.random.Random

class HostRetryBudgetTest : AnnotationSpec() {
    @Test
    fun `guards against repeats beyond the shared bound in any window`() {
        (1L..30L).forEach { seed ->
            val random = Random(seed)
            var nowMs = 0L
            val budget = HostRetryBudget({ TimeMs(nowMs) }, RetryBudgetRules(ratio = 0.15, slack = 48, windowMs = 10_000)) { 8 }
            val pool = PoolId("p")
            val requests = mutableListOf<Long>()
            val repeats = mutableListOf<Long>()
            repeat(2_000) {
                nowMs += random.nextLong(30)
                budget.requested(pool)
                requests += nowMs
                if (random.nextBoolean() && budget.take(pool)) repeats += nowMs
                val from = nowMs - 10_000
                // The users' bound is a fifth of the requests; the allowance is taken when more may have been in the window.
                repeats.count { it >= from }.toDouble() shouldBeLessThanOrEqualTo 0.2 * requests.count { it >= from } + 3
            }
        }
    }

    @Test
    fun `guards against hosts that together send more repeats than the shared slack`() {
        listOf(1, 8, 16, 65, 360).forEach { hosts ->
            val taken = List(hosts) { HostRetryBudget({ TimeMs(0) }, RetryBudgetRules(ratio = 0.0, slack = 170, windowMs = 10_000)) { hosts } }
                .sumOf { budget -> List(170) { budget.take(PoolId("p")) }.count { it } }
            taken shouldBeLessThanOrEqualTo 170
        }
    }

    @Test
    fun `guards against a pool that uses up the repeats of another one`() {
        val budget = HostRetryBudget({ TimeMs(0) }, RetryBudgetRules(ratio = 0.0, slack = 16, windowMs = 10_000)) { 1 }
        budget.take(PoolId("a")) shouldBe true
        budget.take(PoolId("a")) shouldBe false
        budget.take(PoolId("b")) shouldBe true
    }
}
