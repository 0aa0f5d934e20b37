package org.hickorytiller.admission

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.TimeMs
import kotlin.random.Random

class FairnessTest : AnnotationSpec() {
    private val chat = requestClass("chat", 1, targetMs = 2_000, timeoutMs = 60_000)

    /** Requests of [customer] at a rate of [perSecond]; the service takes 20 ms per token. */
    private fun steady(customer: String, perSecond: Int, tokens: Int, fromMs: Long = 0, untilMs: Long = 120_000) = (fromMs until untilMs step 1_000L / perSecond).map { Arrival(it, customer, chat, tokens * 20L, tokens) }

    private fun tokens(arrivals: List<Arrival>, rules: AdmissionRules = AdmissionRules(), weightOf: WeightOf = { 1.0 }) = PoolRun(8, rules, weightOf).also { it.run(arrivals.sortedBy { arrival -> arrival.atMs }, 120_000) }.tokensByCustomer

    // Guards against fair shares by requests, with which a customer with long responses gets ten times the tokens.
    @Test
    fun `customers with long and short responses receive the same tokens`() {
        val got = tokens(steady("long", 4, 200) + steady("short", 40, 20))
        val ratio = got.getValue("long").toDouble() / got.getValue("short")
        ratio shouldBeGreaterThan 0.8
        ratio shouldBeLessThan 1.25
    }

    // Guards against an abusive customer that fills the queue, so that requests of others are refused on arrival.
    @Test
    fun `a customer that sends ten times its share does not reduce the service of others`() {
        val rate = 400.0 // tokens/s of 8 slots
        val got = tokens(steady("abusive", 20, 100) + listOf("a", "b", "c").flatMap { steady(it, 2, 100) })
        listOf("a", "b", "c").forAll { (got.getValue(it) / 120.0) shouldBeGreaterThan 0.8 * rate / 4 }
    }

    @Test
    fun `service is proportional to the weights`() {
        val got = tokens(steady("heavy", 10, 50) + steady("light", 10, 50)) { if (it.value == "heavy") 3.0 else 1.0 }
        val ratio = got.getValue("heavy").toDouble() / got.getValue("light")
        ratio shouldBeGreaterThan 2.4
        ratio shouldBeLessThan 3.6
    }

    private fun startsAfterReturn(rules: AdmissionRules): Int {
        val arrivals = steady("busy", 10, 50) + steady("late", 10, 50, fromMs = 60_000)
        val run = PoolRun(8, rules).run(arrivals.sortedBy { it.atMs }, 90_000)
        val starts = run.filter { it.startedAtMs >= 60_000 }.sortedBy { it.startedAtMs }
        return starts.takeWhile { it.startedAtMs < 80_000 }.count { it.arrival.customer == "late" }
    }

    // Guards against a customer that accumulates credit while idle and then occupies every slot.
    @Test
    fun `a customer that becomes active again gets no more than its share`() {
        val slotsIn20s = 8 * 20
        // The share of each of the two customers is half of the slots; the rest of the bound is tolerance.
        startsAfterReturn(AdmissionRules()).toDouble() shouldBeLessThan 0.62 * slotsIn20s
    }

    @Test
    fun `without the bound on idle credit a returning customer gets more than its share`() {
        val rules = AdmissionRules(mechanisms = Mechanisms(floor = true, chargeWhileStreaming = true, boundedIdleCredit = false))
        // Its share is half of the slots.
        startsAfterReturn(rules).toDouble() shouldBeGreaterThan 0.75 * 8 * 20
    }

    private fun grantsToLong(rules: AdmissionRules): Int {
        // Both customers have the same number of waiting requests; only "long" has a long-running response.
        val queue = AdmissionQueue(rules) { 8 }
        var id = 0L
        fun offer(customer: String, now: TimeMs) = Ticket(TicketId(id++), CustomerId(customer), chat, POOL, now, now + 60_000)
            .also { queue.offer(it, now) }
        offer("long", TimeMs(0))
        offer("short", TimeMs(0))
        val first = queue.grant(TimeMs(0))!!
        queue.grant(TimeMs(0))
        first.customer.value shouldBe "long"
        queue.charge(first.id, 2_000, TimeMs(10_000))
        var granted = 0
        repeat(8) {
            val now = TimeMs(10_000L + it)
            offer("long", now)
            offer("short", now)
            val next = queue.grant(now)!!
            queue.charge(next.id, 50, now)
            if (next.customer.value == "long") granted++
        }
        return granted
    }

    // Guards against charging a response only when it ends, which serves customers with long responses ahead of others.
    @Test
    fun `tokens are charged while they are streamed`() {
        grantsToLong(AdmissionRules()) shouldBe 0
    }

    @Test
    fun `with charges only at the end a customer with long responses gets more than its share`() {
        val rules = AdmissionRules(mechanisms = Mechanisms(floor = true, chargeWhileStreaming = false, boundedIdleCredit = true))
        grantsToLong(rules).toLong() shouldBeLessThanOrEqual 8
        (grantsToLong(rules) > 2) shouldBe true
    }

    // Guards against a heap that loses its order after an arbitrary sequence of changes.
    @Test
    fun `the heap yields its elements in order after random changes`() {
        class Node(var key: Int) : HeapNode()
        (1L..50L).toList().forAll { seed ->
            val random = Random(seed)
            val heap = IndexedHeap<Node>(0) { a, b -> a.key < b.key }
            val nodes = List(100) { Node(random.nextInt(1_000)) }
            nodes.forEach(heap::put)
            repeat(500) {
                val node = nodes[random.nextInt(nodes.size)]
                node.key = random.nextInt(1_000)
                if (random.nextInt(4) == 0) heap.remove(node) else heap.put(node)
            }
            val expected = nodes.filter { it in heap }.map { it.key }.sorted()
            val found = generateSequence { heap.top?.also(heap::remove)?.key }.toList()
            withClue("seed $seed") { found shouldBe expected }
        }
    }
}
