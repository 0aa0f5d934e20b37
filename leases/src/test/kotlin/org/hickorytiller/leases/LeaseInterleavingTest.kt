package org.hickorytiller.leases

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldNotBeNull
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.TimeMs
import kotlin.random.Random

/** Mechanisms that a variant of the test switches off, to show that the check finds the violation. */
private data class Variant(val driftMarginMs: Long = 1_000, val readsBack: Boolean = true)

/** One candidate with its own clock. [rate] is the speed of its clock against true time. */
private class Candidate(val name: String, val rate: Double, private val variant: Variant) {
    var table = LeaseTable(variant.driftMarginMs)
    var holder = newHolder()
    var frozenUntilMs = 0L
    var waitsForAnswerUntilMs = 0L
    private var claims = 0
    private var believedUntil: TimeMs? = null

    fun clock(trueMs: Long) = TimeMs((trueMs * rate).toLong())

    fun believes(trueMs: Long): Boolean {
        val now = clock(trueMs)
        return holder.heldAt(now) != null || believedUntil?.let { now < it } ?: false
    }

    fun answered(record: LeaseRecord, now: TimeMs) {
        waitsForAnswerUntilMs = 0
        if (!variant.readsBack && record is Claim) believedUntil = now + record.termMs
    }

    fun restart() {
        table = LeaseTable(variant.driftMarginMs)
        holder = newHolder()
        waitsForAnswerUntilMs = 0
        believedUntil = null
    }

    private fun newHolder(): LeaseCandidate {
        val timing = LeaseTiming(driftMarginMs = variant.driftMarginMs)
        return LeaseCandidate(Duty("d"), name, timing, table, claimDelayMs = 0) { ClaimId("$name-${claims++}") }
    }
}

private class InFlight(val sender: Candidate, val holder: LeaseCandidate, val record: LeaseRecord)

/** Random interleaving of candidates, an in-memory log with faults, and true time. */
private class Interleaving(seed: Long, candidateCount: Int, variant: Variant) {
    private val random = Random(seed)
    private val log = ArrayList<LeaseRecord>()
    private val inFlight = ArrayList<InFlight>()
    private val candidates = List(candidateCount) { Candidate("c$it", RATES.random(random), variant) }
    private var earliest = 0
    private var trueMs = 0L
    private var outage = false
    var tenures = 0
        private set

    /** Runs [steps] steps and returns the first violation. */
    fun run(steps: Int): String? {
        var lastHolder: Candidate? = null
        repeat(steps) { number ->
            step()
            val holders = candidates.filter { it.believes(trueMs) }
            if (holders.size > 1) return "step $number: ${holders.map { it.name }} hold at $trueMs ms"
            holders.firstOrNull()?.let {
                if (it != lastHolder) tenures++
                lastHolder = it
            }
        }
        return null
    }

    private fun step() {
        when (random.nextInt(100)) {
            in 0..14 -> trueMs += random.nextLong(600)
            in 15..44 -> awake()?.let(::read)
            in 45..69 -> awake()?.let(::act)
            in 70..91 -> settle()
            in 92..93 -> candidates.random(random).let { it.frozenUntilMs = trueMs + random.nextLong(30_000) }
            in 94..95 -> outage = random.nextInt(3) == 0
            96 -> trueMs += random.nextLong(12_000)
            else -> if (random.nextInt(4) == 0) rareStep()
        }
    }

    private fun rareStep() {
        when (random.nextInt(3)) {
            0 -> earliest = random.nextInt(earliest, log.size + 1)
            1 -> candidates.random(random).restart()
            else -> awake()?.let(::stop)
        }
    }

    private fun awake() = candidates.filter { it.frozenUntilMs <= trueMs }.randomOrNull(random)

    private fun read(candidate: Candidate) {
        if (outage) return
        val table = candidate.table
        val now = candidate.clock(trueMs)
        if (earliest > table.seenThrough.value + 1) {
            table.reset(LogOffset(earliest - 1L))
            candidate.holder.recordsDropped()
        }
        val from = (table.seenThrough.value + 1).toInt()
        val until = if (random.nextInt(3) == 0) random.nextInt(from, log.size + 1) else log.size
        (from until until).forEach { table.apply(log[it], LogOffset(it.toLong()), now) }
        if (until == log.size) table.markCaughtUp(now)
        candidate.holder.tableChanged()
    }

    private fun act(candidate: Candidate) {
        if (trueMs < candidate.waitsForAnswerUntilMs) return
        if (candidate.waitsForAnswerUntilMs > 0) {
            candidate.waitsForAnswerUntilMs = 0
            candidate.holder.appendFailed(candidate.clock(trueMs))
        }
        val action = candidate.holder.nextAction(candidate.clock(trueMs)) as? LeaseAction.Send ?: return
        candidate.waitsForAnswerUntilMs = trueMs + 2_000
        inFlight += InFlight(candidate, candidate.holder, action.record)
    }

    private fun stop(candidate: Candidate) {
        val holder = candidate.holder
        val release = holder.release(candidate.clock(trueMs))
        if (release != null) inFlight += InFlight(candidate, holder, release)
        candidate.restart()
    }

    private fun settle() {
        if (inFlight.isEmpty()) return
        val append = inFlight.removeAt(random.nextInt(inFlight.size))
        val takesEffect = !outage && random.nextInt(5) != 0
        if (takesEffect) log += append.record
        val sender = append.sender.takeIf { it.holder === append.holder } ?: return
        val answered = random.nextInt(4) != 0 && trueMs < sender.waitsForAnswerUntilMs
        if (!answered || sender.frozenUntilMs > trueMs) return
        if (takesEffect) {
            sender.answered(append.record, sender.clock(trueMs))
        } else {
            sender.waitsForAnswerUntilMs = 0
            sender.holder.appendFailed(sender.clock(trueMs))
        }
    }

    private companion object {
        // The fastest clock gains 9.99 % on the slowest, just under the margin of 1 s on a term of 10 s.
        val RATES = listOf(0.9535, 1.0, 1.0487)
    }
}

class LeaseInterleavingTest : AnnotationSpec() {
    private fun violations(variant: Variant, runs: Int, steps: Int): Pair<List<String>, Int> {
        val base = System.getProperty("hickory.seed")?.toLong() ?: 20_261_204L
        println("LeaseInterleavingTest: seeds $base..${base + runs - 1}, $variant")
        var tenures = 0
        val found =
            (0 until runs).mapNotNull { run ->
                val interleaving = Interleaving(base + run, 2 + run % 2, variant)
                val violation = interleaving.run(steps)
                tenures += interleaving.tenures
                violation?.let { "seed ${base + run}: $it" }
            }
        return found to tenures
    }

    @Test
    fun `guards against two processes that believe they hold the same duty`() {
        val (found, tenures) = violations(Variant(), runs = 2_000, steps = 5_000)
        println("tenures: $tenures")
        found.shouldBeEmpty()
        tenures shouldBeGreaterThan 10_000
    }

    @Test
    fun `finds two holders when the margin for clock drift is left out`() {
        val (found, _) = violations(Variant(driftMarginMs = 0), runs = 2_000, steps = 2_000)
        println("found without margin: ${found.size} of 2000, for example ${found.firstOrNull()}")
        found.firstOrNull().shouldNotBeNull()
    }

    @Test
    fun `finds two holders when a claim is not read back`() {
        val (found, _) = violations(Variant(readsBack = false), runs = 400, steps = 2_000)
        println("found without read-back: ${found.size} of 400, for example ${found.firstOrNull()}")
        found.firstOrNull().shouldNotBeNull()
    }
}
