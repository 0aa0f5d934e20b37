package org.hickorytiller.placement

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan

/** The load pattern "long prompts beside streams with short event gap targets", on engines of different speeds. */
class LongPromptLoadTest : AnnotationSpec() {
    private class Load(val name: String, val model: EngineModel, val engines: Int, val long: RequestKind, val short: RequestKind)

    private val loads =
        listOf(
            Load(
                "128 slots, 69.8 tokens/ms",
                EngineModel(prefillTokensPerMs = 69.8, stepMs = 4.39),
                engines = 6,
                RequestKind(13.1, 6_300, 200, 500..12_000, events = 13, targetMs = 1_500, gapTargetMs = 1_000),
                RequestKind(35.0, 400, 250, 100..2_300, events = 50, targetMs = 600, gapTargetMs = 250),
            ),
            Load(
                "24 slots, 54.6 tokens/ms",
                EngineModel(prefillTokensPerMs = 54.6, stepMs = 5.61, tokensPerEvent = 2, slots = 24),
                engines = 56,
                RequestKind(59.0, 13_300, 300, 500..9_000, events = 60, targetMs = 2_014, gapTargetMs = 500),
                RequestKind(45.4, 350, 300, 300..2_500, events = 86, targetMs = 1_206, gapTargetMs = 120),
            ),
            Load(
                "a third of the speed",
                EngineModel(prefillTokensPerMs = 23.3, stepMs = 13.2),
                engines = 14,
                RequestKind(13.1, 6_300, 200, 500..12_000, events = 13, targetMs = 3_000, gapTargetMs = 2_000),
                RequestKind(35.0, 400, 250, 100..2_300, events = 50, targetMs = 1_200, gapTargetMs = 600),
            ),
        )

    @Test
    fun `streams with short event gap targets keep them beside long prompts`() {
        loads.forAll { load ->
            val results = play(load, PlacementRules())
            results.getValue(load.short).lateShare shouldBeLessThanOrEqual 0.05
            results.getValue(load.long).lateShare shouldBeLessThanOrEqual 0.05
        }
    }

    // Guards the model itself: if it did not delay streams by prefill, the test above could not fail.
    @Test
    fun `without isolation long prompts make these streams late`() {
        val isolated = play(loads[0], PlacementRules()).getValue(loads[0].short)
        val mixed = play(loads[0], PlacementRules(isolationCostMs = 0.0)).getValue(loads[0].short)
        isolated.requests shouldBeGreaterThan 1_000
        isolated.lateShare * 2 shouldBeLessThan mixed.lateShare
    }

    private fun play(load: Load, rules: PlacementRules) = VirtualEngines(load.model, load.engines, hosts = 8, rules).play(listOf(load.long, load.short), forMs = 60_000, warmUpMs = 5_000).also { results ->
        println("${load.name}: long ${results.getValue(load.long).lateShare}, short ${results.getValue(load.short).lateShare}")
    }
}
