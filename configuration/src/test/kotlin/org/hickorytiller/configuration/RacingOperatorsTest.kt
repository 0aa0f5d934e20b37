package org.hickorytiller.configuration

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

class RacingOperatorsTest : AnnotationSpec() {
    private val firstSeed = System.getProperty("seed")?.toInt() ?: 20_261_204

    /** Runs [rounds] simulated deployments and returns them; prints the seed of a failed one. */
    private fun runAll(rounds: Int, mechanisms: Mechanisms = Mechanisms()): List<SimulatedDeployment> = (0 until rounds).map { round ->
        val seed = firstSeed + round
        try {
            SimulatedDeployment(seed, mechanisms).also { it.run(STEPS) }
        } catch (e: InvariantViolation) {
            println("seed $seed: ${e.message}")
            throw e
        }
    }

    @Test
    fun `with concurrent operators, readers agree, never return to an earlier offset and reject withdrawn keys`() {
        println("seeds $firstSeed to ${firstSeed + ROUNDS - 1}")
        val runs = runAll(ROUNDS)
        // Ensures that the runs cover the relevant cases.
        runs.sumOf { it.accepted } shouldBeGreaterThan 10 * ROUNDS
        runs.sumOf { it.conflicts } shouldBeGreaterThan ROUNDS
        runs.sumOf { it.installedStates } shouldBeGreaterThan ROUNDS
        runs.sumOf { it.snapshotStarts } shouldBeGreaterThan ROUNDS / 10
    }

    private data class DisabledMechanism(val mechanisms: Mechanisms, val invariants: Set<String>)

    @Test
    fun `the invariants detect each disabled mechanism`() {
        listOf(
            DisabledMechanism(Mechanisms(compareAndSet = false), setOf("lost change")),
            DisabledMechanism(Mechanisms(permanentWithdrawal = false), setOf("withdrawn key active", "withdrawn key runs")),
            DisabledMechanism(Mechanisms(monotonicState = false), setOf("went back")),
        ).forAll { case ->
            val violation = shouldThrow<InvariantViolation> { runAll(ROUNDS, case.mechanisms) }
            (violation.invariant in case.invariants) shouldBe true
        }
    }

    private companion object {
        const val ROUNDS = 200
        const val STEPS = 200
    }
}
