package org.hickorytiller.admission

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.ClassId
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.ProcessId
import org.hickorytiller.core.Tier
import org.hickorytiller.core.TimeMs
import kotlin.random.Random

class SharingTest : AnnotationSpec() {
    private val chat = requestClass("chat", 1)
    private val servers = List(13) { ServerSlots(BackendServerId("engine-$it"), 8) }
    private val total = servers.sumOf { it.slots }

    private fun demand(tier: Int, count: Int) = ClassDemand(POOL, ClassId("t$tier"), Tier(tier), count / 2, count - count / 2)

    private fun randomDemands(random: Random, routers: Int) = (0 until routers).associate { router ->
        ProcessId("r$router") to (0..2).map { demand(it, random.nextInt(60)) }
    }

    private fun computeAllQuotas(demands: Map<ProcessId, List<ClassDemand>>) = demands.keys.map { divideSlots(servers, demands, it) }

    // Guards against slots that are assigned to two routers or to none.
    @Test
    fun `every slot is assigned to exactly one router`() {
        (1L..200L).toList().forAll { seed ->
            val random = Random(seed)
            val quotas = computeAllQuotas(randomDemands(random, 1 + random.nextInt(12)))
            withClue("seed $seed") {
                servers.forAll { server -> quotas.sumOf { it.getValue(server.id) } shouldBe server.slots }
            }
        }
    }

    // Guards against demand of a lower tier that takes slots from a higher tier of another router.
    @Test
    fun `the demand of a lower tier does not reduce the slots of a higher tier`() {
        (1L..100L).toList().forAll { seed ->
            val demands = randomDemands(Random(seed), 8)
            val topOnly = demands.mapValues { (_, classes) -> classes.filter { it.tier == Tier(0) } }
            val topSum = topOnly.values.sumOf { it.sumOf { demand -> demand.waiting + demand.running } }
            withClue("seed $seed, top tier demand $topSum") {
                demands.keys.toList().forAll { router ->
                    val wanted = topOnly.getValue(router).sumOf { it.waiting + it.running }
                    val ensured = minOf(wanted, wanted * total / maxOf(1, topSum))
                    // Rounding may cost one slot.
                    divideSlots(servers, demands, router).values.sum() shouldBeGreaterThan ensured - 2
                }
            }
        }
    }

    private fun slotQuotas(router: Int) = PeerSlotQuotas(ProcessId("r$router")) { servers }

    private fun report(sequence: Long, count: Int) = PeerReport(sequence, listOf(demand(1, count)))

    private fun exchange(all: List<PeerSlotQuotas>, groups: (Int) -> Int, sequence: Long, counts: (Int) -> Int) {
        all.forEachIndexed { to, slotQuotas ->
            slotQuotas.recordSent(report(sequence, counts(to)))
            all.indices.filter { it != to && groups(it) == groups(to) }.forEach { from ->
                slotQuotas.apply(ProcessId("r$from"), report(sequence, counts(from)), TimeMs(0)) {}
            }
        }
    }

    private fun sum(slotQuotas: PeerSlotQuotas) = slotQuotas.quotas(POOL)?.values?.sum() ?: total

    // Guards against assigning capacity twice while a silent peer may still be serving requests.
    @Test
    fun `a silent peer keeps its quota until it is removed`() {
        val all = List(8) { slotQuotas(it) }
        exchange(all, { 0 }, 1) { 40 }
        val before = all.take(7).sumOf(::sum)
        exchange(all.take(7), { 0 }, 2) { 60 }
        // The silent peer still counts with its last reported demand: 40 of 460, a share of 9 of the 104 slots.
        // Rounding leaves it at least 8.
        (before + sum(all[7])) shouldBe total
        all.take(7).sumOf(::sum) shouldBeLessThanOrEqual total - 8
        all.take(7).forEach { it.remove(ProcessId("r7")) {} }
        all.take(7).sumOf(::sum) shouldBe total
    }

    // Guards against an excess above the documented bound while only some routers know of a joining one.
    @Test
    fun `a joining router adds at most its own quota for one exchange interval`() {
        (1..7).toList().forAll { aware ->
            val all = List(8) { slotQuotas(it) }
            exchange(all.take(7), { 0 }, 1) { 40 }
            exchange(listOf(all[7]), { 0 }, 1) { 40 }
            (0 until 7).forEach { all[7].apply(ProcessId("r$it"), report(1, 40), TimeMs(0)) {} }
            (0 until aware).forEach { all[it].apply(ProcessId("r7"), report(1, 40), TimeMs(0)) {} }
            withClue("$aware routers know the joining one") {
                all.sumOf(::sum) shouldBeLessThanOrEqual total + sum(all[7])
            }
        }
    }

    // Guards against an excess above k times the slots when a network partition splits the cell into k groups.
    @Test
    fun `the quotas of k partitioned groups add up to at most k times the slots`() {
        listOf(2, 3, 4).forAll { groups ->
            val all = List(8) { slotQuotas(it) }
            exchange(all, { 0 }, 1) { 40 }
            exchange(all, { it % groups }, 2) { 30 + it }
            // The unreachable peers keep their quotas until they are declared dead.
            all.sumOf(::sum) shouldBeLessThanOrEqual total * 5 / 4
            all.forEachIndexed { index, slotQuotas ->
                all.indices.filter { it % groups != index % groups }.forEach { slotQuotas.remove(ProcessId("r$it")) {} }
            }
            all.sumOf(::sum) shouldBe groups * total
        }
    }

    // Guards against a late report that restores an outdated quota.
    @Test
    fun `a report that is not newer is ignored`() {
        val slotQuotas = slotQuotas(0)
        slotQuotas.apply(ProcessId("r1"), report(5, 40), TimeMs(0)) {} shouldBe true
        slotQuotas.apply(ProcessId("r1"), report(4, 0), TimeMs(0)) {} shouldBe false
        slotQuotas.apply(ProcessId("r1"), report(5, 0), TimeMs(0)) {} shouldBe false
    }

    private class Router(name: String, limits: CustomerLimits = CustomerLimits.NONE) {
        var now = TimeMs(0)
        private val process = ProcessId(name)
        val admission =
            Admission(
                { now },
                { 0 },
                { 8 },
                limiter = CustomerLimiter { _, requestClass -> if (requestClass == null) limits else CustomerLimits.NONE },
                slotQuotas = PeerSlotQuotas(process) { emptyList() },
            )

        fun offer(customer: String, requestClass: org.hickorytiller.core.RequestClass): AdmissionRefusal? {
            var refused: AdmissionRefusal? = null
            val ticket = Ticket(admission.newId(), CustomerId(customer), requestClass, POOL, now, now + 10_000)
            admission.request(ticket, AdmissionCallbacks({ true }, { refused = it }, {}))
            return refused
        }

        fun sendReportTo(other: Router) = other.admission.applyPeerReport(process, admission.nextPeerReport())
    }

    // Guards against a customer that uses its full limits at every router.
    @Test
    fun `limits apply to the sum over all routers`() {
        listOf(CustomerLimits(requestsPerMinute = 10), CustomerLimits(maxConcurrent = 10)).forAll { limits ->
            val a = Router("a", limits)
            val b = Router("b", limits)
            repeat(6) { a.offer("clinic", chat) shouldBe null }
            a.sendReportTo(b)
            val accepted = (1..10).count { b.offer("clinic", chat) == null }
            accepted shouldBe 4
            b.offer("clinic", chat)?.reason shouldBe RefusalReason.RATE_LIMITED
            b.offer("other", chat) shouldBe null
        }
    }

    // Guards against requests of a dead router that count permanently.
    @Test
    fun `the concurrency of a removed peer no longer counts`() {
        val a = Router("a", CustomerLimits(maxConcurrent = 2))
        val b = Router("b", CustomerLimits(maxConcurrent = 2))
        repeat(2) { a.offer("clinic", chat) shouldBe null }
        a.sendReportTo(b)
        b.offer("clinic", chat)?.reason shouldBe RefusalReason.RATE_LIMITED
        b.admission.removePeer(ProcessId("a"))
        b.offer("clinic", chat) shouldBe null
    }

    // Guards against counting a customer's service again with each report, and against losing it with a lost report.
    @Test
    fun `charges of peers count once, also when reports are lost`() {
        val changes = mutableListOf<PeerChange>()
        val slotQuotas = slotQuotas(0)
        fun report(sequence: Long, tokens: Long) = PeerReport(
            sequence,
            customers = listOf(CustomerReport(POOL, chat.id, CustomerId("c"), tokens, 1, 1)),
        )
        slotQuotas.apply(ProcessId("r1"), report(1, 1_000), TimeMs(0)) { changes += it }
        slotQuotas.apply(ProcessId("r1"), report(2, 1_000), TimeMs(0)) { changes += it }
        slotQuotas.apply(ProcessId("r1"), report(5, 1_300), TimeMs(0)) { changes += it }
        changes.map { it.tokens } shouldBe listOf(1_000.0, 0.0, 300.0)
        changes.map { it.runningChange } shouldBe listOf(1, 0, 0)
    }

    // Guards against a retry time that is too early, so that the retry is refused again.
    @Test
    fun `a retry after the returned retry time is within the limit`() {
        val a = Router("a", CustomerLimits(requestsPerMinute = 5))
        repeat(5) { a.offer("clinic", chat) shouldBe null }
        val refused = a.offer("clinic", chat)!!
        a.now = TimeMs(refused.retryAfterMs)
        a.offer("clinic", chat) shouldBe null
    }
}
