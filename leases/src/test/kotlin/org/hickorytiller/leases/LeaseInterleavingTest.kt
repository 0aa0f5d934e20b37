package org.hickorytiller.leases

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldNotBeNull
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.TimeMs
import kotlin.random.Random

/** Mechanisms that can be disabled to show that the test then detects a violation. */
private data class Variant(val driftMarginMs: Long = 1_000, val readsBack: Boolean = true)

/** A candidate with its own clock. [rate] is the speed of the clock relative to simulated time. */
private class Candidate(val name: String, val rate: Double, private val variant: Variant) {
    var table = LeaseTable(variant.driftMarginMs)
    var leaseCandidate = newLeaseCandidate()
    var frozenUntilMs = 0L
    var responseTimeoutAtMs = 0L
    private var claims = 0
    private var assumedHeldUntil: TimeMs? = null

    fun clock(simulatedMs: Long) = TimeMs((simulatedMs * rate).toLong())

    fun considersItselfHolder(simulatedMs: Long): Boolean {
        val now = clock(simulatedMs)
        return leaseCandidate.heldAt(now) != null || assumedHeldUntil?.let { now < it } ?: false
    }

    fun onResponse(record: LeaseRecord, now: TimeMs) {
        responseTimeoutAtMs = 0
        if (!variant.readsBack && record is Claim) assumedHeldUntil = now + record.termMs
    }

    fun restart() {
        table = LeaseTable(variant.driftMarginMs)
        leaseCandidate = newLeaseCandidate()
        responseTimeoutAtMs = 0
        assumedHeldUntil = null
    }

    private fun newLeaseCandidate(): LeaseCandidate {
        val timing = LeaseTiming(driftMarginMs = variant.driftMarginMs)
        return LeaseCandidate(Duty("d"), name, timing, table, claimDelayMs = 0) { ClaimId("$name-${claims++}") }
    }
}

private class InFlight(val sender: Candidate, val leaseCandidate: LeaseCandidate, val record: LeaseRecord)

/** Random interleaving of the steps of candidates and of an in-memory log with faults, in simulated time. */
private class Interleaving(seed: Long, candidateCount: Int, variant: Variant) {
    private val random = Random(seed)
    private val log = ArrayList<LeaseRecord>()
    private val inFlight = ArrayList<InFlight>()
    private val candidates = List(candidateCount) { Candidate("c$it", RATES.random(random), variant) }
    private var earliest = 0
    private var simulatedMs = 0L
    private var isLogUnavailable = false
    var tenures = 0
        private set

    /** Runs [steps] steps and returns the first violation. */
    fun run(steps: Int): String? {
        var lastHolder: Candidate? = null
        repeat(steps) { number ->
            step()
            val holders = candidates.filter { it.considersItselfHolder(simulatedMs) }
            if (holders.size > 1) return "step $number: ${holders.map { it.name }} hold the lease at $simulatedMs ms"
            holders.firstOrNull()?.let {
                if (it != lastHolder) tenures++
                lastHolder = it
            }
        }
        return null
    }

    private fun step() {
        when (random.nextInt(100)) {
            in 0..14 -> simulatedMs += random.nextLong(600)
            in 15..44 -> randomActiveCandidate()?.let(::read)
            in 45..69 -> randomActiveCandidate()?.let(::act)
            in 70..91 -> completeAppend()
            in 92..93 -> candidates.random(random).let { it.frozenUntilMs = simulatedMs + random.nextLong(30_000) }
            in 94..95 -> isLogUnavailable = random.nextInt(3) == 0
            96 -> simulatedMs += random.nextLong(12_000)
            else -> if (random.nextInt(4) == 0) rareStep()
        }
    }

    private fun rareStep() {
        when (random.nextInt(3)) {
            0 -> earliest = random.nextInt(earliest, log.size + 1)
            1 -> candidates.random(random).restart()
            else -> randomActiveCandidate()?.let(::stop)
        }
    }

    private fun randomActiveCandidate() = candidates.filter { it.frozenUntilMs <= simulatedMs }.randomOrNull(random)

    private fun read(candidate: Candidate) {
        if (isLogUnavailable) return
        val table = candidate.table
        val now = candidate.clock(simulatedMs)
        if (earliest > table.seenThrough.value + 1) {
            table.reset(LogOffset(earliest - 1L))
            candidate.leaseCandidate.onRecordsDropped()
        }
        val from = (table.seenThrough.value + 1).toInt()
        val until = if (random.nextInt(3) == 0) random.nextInt(from, log.size + 1) else log.size
        (from until until).forEach { table.apply(log[it], LogOffset(it.toLong()), now) }
        if (until == log.size) table.markCaughtUp(now)
        candidate.leaseCandidate.tableChanged()
    }

    private fun act(candidate: Candidate) {
        if (simulatedMs < candidate.responseTimeoutAtMs) return
        if (candidate.responseTimeoutAtMs > 0) {
            candidate.responseTimeoutAtMs = 0
            candidate.leaseCandidate.appendFailed(candidate.clock(simulatedMs))
        }
        val action = candidate.leaseCandidate.nextAction(candidate.clock(simulatedMs)) as? LeaseAction.Send ?: return
        candidate.responseTimeoutAtMs = simulatedMs + 2_000
        inFlight += InFlight(candidate, candidate.leaseCandidate, action.record)
    }

    private fun stop(candidate: Candidate) {
        val leaseCandidate = candidate.leaseCandidate
        val release = leaseCandidate.release(candidate.clock(simulatedMs))
        if (release != null) inFlight += InFlight(candidate, leaseCandidate, release)
        candidate.restart()
    }

    private fun completeAppend() {
        if (inFlight.isEmpty()) return
        val append = inFlight.removeAt(random.nextInt(inFlight.size))
        val takesEffect = !isLogUnavailable && random.nextInt(5) != 0
        if (takesEffect) log += append.record
        val sender = append.sender.takeIf { it.leaseCandidate === append.leaseCandidate } ?: return
        val isResponseReceived = random.nextInt(4) != 0 && simulatedMs < sender.responseTimeoutAtMs
        if (!isResponseReceived || sender.frozenUntilMs > simulatedMs) return
        if (takesEffect) {
            sender.onResponse(append.record, sender.clock(simulatedMs))
        } else {
            sender.responseTimeoutAtMs = 0
            sender.leaseCandidate.appendFailed(sender.clock(simulatedMs))
        }
    }

    private companion object {
        // The fastest clock gains 9.99 % on the slowest, just under the margin of 1 s for a term of 10 s.
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
    fun `never has two processes that consider themselves holders of the same duty`() {
        val (found, tenures) = violations(Variant(), runs = 2_000, steps = 5_000)
        println("tenures: $tenures")
        found.shouldBeEmpty()
        tenures shouldBeGreaterThan 10_000
    }

    @Test
    fun `detects two holders without the margin for clock drift`() {
        val (found, _) = violations(Variant(driftMarginMs = 0), runs = 2_000, steps = 2_000)
        println("violations without margin: ${found.size} of 2000, for example ${found.firstOrNull()}")
        found.firstOrNull().shouldNotBeNull()
    }

    @Test
    fun `detects two holders if claims are not read back`() {
        val (found, _) = violations(Variant(readsBack = false), runs = 400, steps = 2_000)
        println("violations without read-back: ${found.size} of 400, for example ${found.firstOrNull()}")
        found.firstOrNull().shouldNotBeNull()
    }
}
