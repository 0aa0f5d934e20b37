package org.hickorytiller.membership

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.hickorytiller.core.TimeMs

class DrainTest : AnnotationSpec() {
    /** A request that starts [startMs] after the announcement and lasts [durationMs]. */
    private data class Call(val startMs: Long, val durationMs: Long)

    private data class Outcome(val endedMs: Long, val cutOff: Int, val refused: Int, val closeAnnounced: List<Boolean>)

    private data class Case(val description: String, val calls: List<Call>, val endedMs: Long, val closeAnnounced: List<Boolean>)

    private val limits = DrainLimits(addressLifetimeMs = 10_000, limitMs = 120_000)

    @Test
    fun `a drain neither aborts nor rejects requests`() {
        listOf(
            Case("no request at all", emptyList(), 12_000, emptyList()),
            Case("a long stream from before the announcement", listOf(Call(-5_000, 40_000)), 36_000, listOf(false)),
            Case("a caller that got its address just before", listOf(Call(9_900, 500)), 12_000, listOf(false)),
            Case("a caller that connects at the end of the lifetime", listOf(Call(11_990, 3_000)), 15_990, listOf(false)),
            Case("a caller that keeps its connection", listOf(Call(11_500, 1_000), Call(12_900, 100)), 14_000, listOf(false, true)),
            Case("callers that come one after the other", List(10) { Call(11_000 + it * 900L, 50) }, 20_150, List(10) { it >= 2 }),
            Case("a request that hangs", listOf(Call(0, 1_000_000)), 120_000, listOf(false)),
        ).forAll { case ->
            withClue(case.description) {
                val outcome = simulate(limits, case.calls)
                outcome.endedMs shouldBe case.endedMs
                outcome.closeAnnounced shouldBe case.closeAnnounced
                outcome.refused shouldBe 0
                outcome.cutOff shouldBe if (case.endedMs == limits.limitMs) 1 else 0
            }
        }
    }

    @Test
    fun `callers are rejected if the process does not wait for the address lifetime`() {
        simulate(limits.copy(addressLifetimeMs = 0, propagationMs = 0), listOf(Call(9_900, 500))).refused shouldNotBe 0
    }

    @Test
    fun `a second stop request does not restart the wait`() {
        val drain = Drain(limits)
        drain.begin(TimeMs(0)) shouldBe true
        drain.begin(TimeMs(11_000)) shouldBe false
        drain.phase(TimeMs(12_000)) shouldBe DrainPhase.ENDED
    }

    @Test
    fun `a request that arrives after the drain has ended delays the exit`() {
        val drain = Drain(limits)
        drain.begin(TimeMs(0))
        drain.phase(TimeMs(12_000)) shouldBe DrainPhase.ENDED
        drain.requestStarted(TimeMs(12_100)) shouldBe true
        drain.phase(TimeMs(12_200)) shouldBe DrainPhase.CLOSING
        drain.requestEnded(TimeMs(12_300))
        drain.phase(TimeMs(13_299)) shouldBe DrainPhase.CLOSING
        drain.phase(TimeMs(13_300)) shouldBe DrainPhase.ENDED
    }

    // Guards against requests that are accepted shortly before the process ends, and cut off by its end.
    @Test
    fun `a request that may outlast the process, or that arrives when it ends, is not accepted`() {
        val drain = Drain(limits)
        drain.accepts(TimeMs(Long.MAX_VALUE)) shouldBe true
        drain.begin(TimeMs(1_000))
        drain.accepts(TimeMs(121_000)) shouldBe true
        drain.accepts(TimeMs(121_001)) shouldBe false
        drain.close()
        drain.accepts(TimeMs(2_000)) shouldBe false
    }

    /** Simulates [calls] during a drain in steps of 10 ms until the process ends. */
    private fun simulate(limits: DrainLimits, calls: List<Call>): Outcome {
        val drain = Drain(limits)
        val start = 100_000L
        var at = -10_000L
        val closeAnnounced = ArrayList<Boolean>()
        while (at < 0 || drain.phase(TimeMs(start + at)) != DrainPhase.ENDED) {
            calls.filter { it.startMs == at }.forEach { _ -> closeAnnounced += drain.requestStarted(TimeMs(start + at)) }
            calls.filter { it.startMs + it.durationMs == at }.forEach { _ -> drain.requestEnded(TimeMs(start + at)) }
            if (at == 0L) drain.begin(TimeMs(start))
            at += 10
        }
        val rejectedCalls = calls.filter { it.startMs in at..10_000L + 2_000L }
        return Outcome(at, drain.inFlight, rejectedCalls.size, closeAnnounced)
    }
}
