package org.hickorytiller.configuration

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

class RacingOperatorsTest : AnnotationSpec() {
    private val firstSeed = System.getProperty("seed")?.toInt() ?: 20_261_204

    /** Runs [rounds] deployments and returns them; a failure names the seed of its round. */
    private fun runAll(rounds: Int, mechanisms: Mechanisms = Mechanisms()): List<RacingOperators> = (0 until rounds).map { round ->
        val seed = firstSeed + round
        try {
            RacingOperators(seed, mechanisms).also { it.run(STEPS) }
        } catch (e: Violation) {
            println("seed $seed: ${e.message}")
            throw e
        }
    }

    @Test
    fun `guards against readers that disagree, go back or accept a withdrawn key while operators race`() {
        println("seeds $firstSeed to ${firstSeed + ROUNDS - 1}")
        val runs = runAll(ROUNDS)
        // The runs have to reach the cases that they are meant to check.
        runs.sumOf { it.accepted } shouldBeGreaterThan 10 * ROUNDS
        runs.sumOf { it.conflicts } shouldBeGreaterThan ROUNDS
        runs.sumOf { it.installations } shouldBeGreaterThan ROUNDS
        runs.sumOf { it.snapshotStarts } shouldBeGreaterThan ROUNDS / 10
    }

    private data class SwitchedOff(val mechanisms: Mechanisms, val invariants: Set<String>)

    @Test
    fun `guards against checks that do not notice a missing mechanism`() {
        listOf(
            SwitchedOff(Mechanisms(compareAndSet = false), setOf("lost change")),
            SwitchedOff(Mechanisms(finalWithdrawal = false), setOf("withdrawn key active", "withdrawn key runs")),
            SwitchedOff(Mechanisms(neverBack = false), setOf("went back")),
        ).forAll { case ->
            val violation = shouldThrow<Violation> { runAll(ROUNDS, case.mechanisms) }
            (violation.invariant in case.invariants) shouldBe true
        }
    }

    private companion object {
        const val ROUNDS = 200
        const val STEPS = 200
    }
}
