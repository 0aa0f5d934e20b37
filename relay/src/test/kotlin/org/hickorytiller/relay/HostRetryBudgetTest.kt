package org.hickorytiller.relay

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.TimeMs
import kotlin.random.Random

class HostRetryBudgetTest : AnnotationSpec() {
    @Test
    fun `retries stay within the shared limit in every window`() {
        (1L..30L).forEach { seed ->
            val random = Random(seed)
            var nowMs = 0L
            val budget = HostRetryBudget({ TimeMs(nowMs) }, RetryBudgetRules(ratio = 0.15, slack = 48, windowMs = 10_000)) { 8 }
            val pool = PoolId("p")
            val requests = mutableListOf<Long>()
            val retries = mutableListOf<Long>()
            repeat(2_000) {
                nowMs += random.nextLong(30)
                budget.recordRequest(pool)
                requests += nowMs
                if (random.nextBoolean() && budget.tryAcquire(pool)) retries += nowMs
                val from = nowMs - 10_000
                // The promised limit is a fifth of the requests. The budget grants 0.15 of them and 48 / 16 = 3 retries; the
                // margin to 0.2 covers requests that have left the window since the retries were granted.
                retries.count { it >= from }.toDouble() shouldBeLessThanOrEqualTo 0.2 * requests.count { it >= from } + 3
            }
        }
    }

    @Test
    fun `all hosts together send no more retries than the shared slack`() {
        listOf(1, 8, 16, 65, 360).forEach { hosts ->
            val acquired = List(hosts) { HostRetryBudget({ TimeMs(0) }, RetryBudgetRules(ratio = 0.0, slack = 170, windowMs = 10_000)) { hosts } }
                .sumOf { budget -> List(170) { budget.tryAcquire(PoolId("p")) }.count { it } }
            acquired shouldBeLessThanOrEqualTo 170
        }
    }

    @Test
    fun `a pool does not use up the retries of another pool`() {
        val budget = HostRetryBudget({ TimeMs(0) }, RetryBudgetRules(ratio = 0.0, slack = 16, windowMs = 10_000)) { 1 }
        budget.tryAcquire(PoolId("a")) shouldBe true
        budget.tryAcquire(PoolId("a")) shouldBe false
        budget.tryAcquire(PoolId("b")) shouldBe true
    }
}
