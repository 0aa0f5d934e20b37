package org.hickorytiller.admission

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlin.random.Random

class TierOrderTest : AnnotationSpec() {
    private val top = requestClass("refunds", 0)
    private val middle = requestClass("reports", 1, targetMs = 2_000)
    private val low = requestClass("questions", 2, targetMs = 3_000)

    private fun poisson(seed: Long, perSecond: Double, forMs: Long, make: (Long, Random) -> Arrival): List<Arrival> {
        val random = Random(seed)
        val arrivals = mutableListOf<Arrival>()
        var atMs = 0.0
        while (true) {
            atMs += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond
            if (atMs > forMs) return arrivals
            arrivals += make(atMs.toLong(), random)
        }
    }

    private fun higher(seed: Long, perSecond: Double): List<Arrival> = poisson(seed, perSecond, 60_000) { atMs, random ->
        Arrival(atMs, "c${random.nextInt(4)}", if (random.nextInt(3) == 0) top else middle, 1_000, 50)
    }

    private fun lower(seed: Long, shape: String): List<Arrival> = when (shape) {
        "steady" -> poisson(seed + 1, 20.0, 60_000) { atMs, _ -> Arrival(atMs, "x", low, 900, 50) }
        "long" -> poisson(seed + 2, 10.0, 60_000) { atMs, _ -> Arrival(atMs, "x", low, 8_000, 400) }
        "idempotent" -> poisson(seed + 3, 20.0, 60_000) { atMs, _ -> Arrival(atMs, "x", low, 4_000, 50, true) }
        "just before" -> higher(seed, 4.0).map { Arrival(maxOf(0, it.atMs - 1), "x", low, 3_000, 50) }
        "burst" -> (0 until 60_000L step 5_000).flatMap { atMs -> List(100) { Arrival(atMs, "x", low, 2_000, 100) } }
        else -> error(shape)
    }

    // Guards against refusals or preemptions in a higher tier that are caused by traffic of a lower tier.
    @Test
    fun `traffic of a lower tier never causes a refusal or a preemption in a higher tier`() {
        val cases =
            listOf("steady", "long", "idempotent", "just before", "burst").flatMap { shape ->
                listOf(2.0, 4.0, 6.0, 7.5, 12.0, 24.0).flatMap { rate -> (1L..5L).map { seed -> Triple(shape, rate, seed) } }
            }
        cases.forAll { (shape, rate, seed) ->
            val alone = PoolRun(8).run(higher(seed, rate))
            val merged = (higher(seed, rate) + lower(seed, shape)).sortedBy { it.atMs }
            val run = PoolRun(8)
            val shared = run.run(merged).filter { it.arrival.requestClass !== low }
            withClue("shape $shape, $rate/s, seed $seed") {
                listOf(top, middle).forAll { tier ->
                    val before = alone.filter { it.arrival.requestClass === tier }
                    val after = shared.filter { it.arrival.requestClass === tier }
                    withClue("class ${tier.id}") {
                        // Refused on arrival, or displaced by a request of a customer further below its share.
                        after.count { it.refusedAtMs >= 0 && !it.isTimedOut }.toLong() shouldBeLessThanOrEqual
                            before.count { it.refusedAtMs >= 0 }.toLong()
                        // Floor grants may add time-outs only in a tier that is overloaded by its own traffic: a floor
                        // grant takes at most 8 s of slot time, and a request of a higher tier takes 1 s.
                        val floorMs = run.admission.counters(POOL)[low.id]?.floorGrants?.times(8_000) ?: 0
                        val added = after.count { it.isTimedOut } - before.count { it.isTimedOut }
                        added.toLong() shouldBeLessThanOrEqual if (tier === top || rate < 8) 0 else floorMs / 1_000
                    }
                }
                shared.count { it.isPreempted } shouldBe 0
            }
        }
    }

    private fun saturated(rules: AdmissionRules): List<Outcome> {
        val busy = (0 until 120_000L step 100).map { Arrival(it, "big", top, 1_000, 50) }
        val one = Arrival(1_000, "small", low, 1_000, 50)
        return PoolRun(8, rules).run((busy + one).sortedBy { it.atMs })
    }

    // Guards against a class that starves because more urgent classes occupy every slot.
    @Test
    fun `a starving class gets a slot within the starvation bound and twenty grants`() {
        val waited = saturated(AdmissionRules()).single { it.arrival.requestClass === low }
        waited.refusedAtMs shouldBe -1
        waited.waitMs shouldBeLessThanOrEqual 10_000L + 20 * 125 + 1_000
    }

    @Test
    fun `without the floor rule the same class starves`() {
        val rules = AdmissionRules(mechanisms = Mechanisms(floor = false, chargeWhileStreaming = true, boundedIdleCredit = true))
        saturated(rules).single { it.arrival.requestClass === low }.startedAtMs shouldBe -1
    }

    // Guards against unbounded waits when several classes starve at once.
    @Test
    fun `the wait of every class is bounded under a saturating top tier`() {
        (1L..20L).toList().forAll { seed ->
            val busy = poisson(seed, 20.0, 180_000) { atMs, _ -> Arrival(atMs, "big", top, 1_000, 50) }
            val rest = poisson(seed + 1, 0.5, 150_000) { atMs, r ->
                Arrival(atMs, "c${r.nextInt(3)}", if (r.nextBoolean()) middle else low, 1_000, 50)
            }
            val outcomes = PoolRun(8).run((busy + rest).sortedBy { it.atMs }, untilMs = 200_000)
            listOf(middle, low).forAll { tier ->
                val ofTier = outcomes.filter { it.arrival.requestClass === tier }
                val starts = ofTier.filter { it.startedAtMs >= 0 }.map { it.startedAtMs }.sorted()
                withClue("seed $seed, class ${tier.id}") {
                    starts.size shouldBeGreaterThan 5
                    ofTier.none { it.startedAtMs < 0 && it.refusedAtMs < 0 && it.arrival.atMs < 160_000 } shouldBe true
                    starts.zipWithNext().filter { (from, to) -> ofTier.any { it.waitsDuring(from, to) } }.forAll { (from, to) ->
                        // Two classes share the floor rule: the starvation bound, and two rounds of twenty grants of 1/8 s.
                        (to - from) shouldBeLessThanOrEqual 10_000L + 2 * 20 * 125 + 1_000
                    }
                }
            }
        }
    }

    private fun Outcome.waitsDuring(fromMs: Long, toMs: Long) = arrival.atMs <= fromMs && startedAtMs >= toMs

    // Guards against requests that are refused only after a wait, when it is too late to send them elsewhere.
    @Test
    fun `a request that cannot start in time is refused on arrival with a retry time`() {
        var refused: AdmissionRefusal? = null
        val queue = AdmissionQueue { 2 }
        repeat(20) { index ->
            val ticket =
                Ticket(
                    TicketId(index.toLong()),
                    org.hickorytiller.core.CustomerId("a"),
                    top,
                    POOL,
                    org.hickorytiller.core.TimeMs(0),
                    org.hickorytiller.core.TimeMs(1_000),
                )
            queue.offer(ticket, org.hickorytiller.core.TimeMs(0)).onLeft { refused = refused ?: it }
        }
        refused?.reason shouldBe RefusalReason.OVERLOADED
        // Two requests run and two start within the first second; the next would start half a second after its target.
        queue.size shouldBe 4
        refused?.retryAfterMs shouldBe 500
    }

    // Guards against a top-tier request that misses its target while an idempotent request holds the slot.
    @Test
    fun `an idempotent request is preempted for a more urgent tier and its wasted tokens are counted`() {
        val run = PoolRun(1)
        val outcomes =
            run.run(listOf(Arrival(0, "x", low, 10_000, 100, idempotent = true), Arrival(2_500, "a", top, 500, 50)))
        outcomes[0].isPreempted shouldBe true
        outcomes[1].waitMs shouldBeLessThanOrEqual 1_000
        val counters = run.admission.counters(POOL).getValue(low.id)
        counters.preempted shouldBe 1
        counters.wastedTokens shouldNotBe 0
    }

    @Test
    fun `a request that is not idempotent is never preempted`() {
        val outcomes = PoolRun(1).run(listOf(Arrival(0, "x", low, 5_000, 100), Arrival(2_000, "a", top, 500, 50)))
        outcomes.none { it.isPreempted } shouldBe true
        outcomes[1].startedAtMs shouldBe 5_000
    }
}
