package org.hickorytiller.scaling

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.TimeMs
import org.hickorytiller.routes.PoolSpec
import org.hickorytiller.routes.ScalingSpec
import java.net.InetSocketAddress

class FleetPlannerTest : AnnotationSpec() {
    private var nowMs = 0L
    private val clock = { TimeMs(nowMs) }
    private val domains = listOf("a", "b", "c", "d").map(::FailureDomain)
    private val pool =
        PoolSpec(
            PoolId("engines"),
            engine = null,
            ScalingSpec(min = 1, max = 7, bootDelayMs = 4_000, reclaimablePrice = 0.18, domains.associateWith { 1.0 }),
        )

    private fun servers(perDomain: Int, reclaimable: Boolean) = domains.flatMap { domain ->
        (1..perDomain).map {
            BackendServer(
                BackendServerId("$domain$it$reclaimable"),
                pool.id,
                InetSocketAddress("127.0.0.1", 1),
                domain,
                BackendServerState.RUNNING,
                64,
                reclaimable,
            )
        }
    }

    private fun List<FleetOrder>.total(reclaimable: Boolean) = filter { it.group.isReclaimable == reclaimable }.sumOf { it.count }

    @Test
    fun `the minimum number of servers grows with the limit of the pool`() {
        data class Case(val max: Int, val least: Int)
        listOf(Case(1, 1), Case(6, 3), Case(7, 3), Case(21, 9), Case(32, 14)).forAll { case ->
            val sized = pool.copy(scaling = pool.scaling!!.copy(max = case.max))
            val plan = FleetPlanner(clock).plan(PoolStatus(sized, emptyList(), inFlight = 0))
            plan.filter { it.group.isReclaimable }.map { it.count }.toSet() shouldBe setOf(case.least)
        }
    }

    // Guards against servers without a limit that take the work of all limited ones, until requests in flight pile up.
    @Test
    fun `servers that state a rate limit are replaced, and for a while after it has ended`() {
        val planner = FleetPlanner(clock)
        val servers = servers(3, true)
        val limited = servers.filter { it.failureDomain == domains[0] }.map { it.id }.toSet()
        fun ordered(limited: Set<BackendServerId>) = planner.plan(PoolStatus(pool, servers, inFlight = 40, limited))
            .filter { it.group.isReclaimable }.associate { it.group.domain to it.count }
        ordered(emptySet()) shouldBe domains.associateWith { 3 }
        ordered(limited) shouldBe domains.associateWith { if (it == domains[0]) 6 else 3 }
        nowMs += 11_000
        ordered(emptySet()) shouldBe domains.associateWith { if (it == domains[0]) 6 else 3 }
        nowMs += 2_000
        ordered(emptySet()) shouldBe domains.associateWith { 3 }
        ordered(servers.map { it.id }.toSet()).values.max() shouldBeLessThanOrEqual 7
    }

    @Test
    fun `the remaining servers cover the demand after the loss of one failure domain`() {
        listOf(0, 40, 80, 150, 200).forAll { inFlight ->
            val plan = FleetPlanner(clock).plan(PoolStatus(pool, servers(3, true), inFlight))
            val byDomain = plan.filter { it.group.isReclaimable }.associate { it.group.domain to it.count }
            val survivors = byDomain.values.sum() - byDomain.values.max()
            survivors shouldBeGreaterThanOrEqual minOf((inFlight + 9) / 10, 21)
        }
    }

    @Test
    fun `no full-price servers are ordered while reclaimable ones are available`() {
        FleetPlanner(clock).plan(PoolStatus(pool, servers(3, true), inFlight = 100)).total(reclaimable = false) shouldBe 0
        FleetPlanner(clock).plan(PoolStatus(pool, emptyList(), inFlight = 100)).total(reclaimable = false) shouldBe 0
    }

    @Test
    fun `full-price servers cover the demand while no reclaimable ones are available`() {
        val planner = FleetPlanner(clock)
        domains.forEach(planner::refused)
        planner.plan(PoolStatus(pool, emptyList(), inFlight = 100)).total(reclaimable = false) shouldBe 10
        planner.plan(PoolStatus(pool, emptyList(), inFlight = 1_000)).total(reclaimable = false) shouldBeLessThanOrEqual 28
        nowMs += 3_001
        planner.plan(PoolStatus(pool, emptyList(), inFlight = 100)).total(reclaimable = true) shouldBeGreaterThanOrEqual 10
    }

    // Guards against full-price orders that are too small when the demand exceeds the limit and no reclaimable servers
    // are available.
    @Test
    fun `a refused order of reclaimable servers does not count against the limit of its failure domain`() {
        val planner = FleetPlanner(clock)
        planner.plan(PoolStatus(pool, servers(3, true), inFlight = 420))
        domains.forEach(planner::refused)
        // In each of the 4 domains the limit of 7 less the 3 running servers.
        planner.plan(PoolStatus(pool, servers(3, true), inFlight = 420)).total(reclaimable = false) shouldBe 16
    }

    // Guards against a pool without servers: an order of the whole limit was accepted, then its servers were reclaimed.
    @Test
    fun `an order whose servers were reclaimed does not count against the limit of its failure domain`() {
        val planner = FleetPlanner(clock)
        domains.forEach { planner.accepted(it, 7, bootMs = 4_000) }
        nowMs += 5_000
        domains.forEach(planner::refused)
        // In each of the 4 domains the limit of 7 less the minimum of 3.
        planner.plan(PoolStatus(pool, emptyList(), inFlight = 300)).total(reclaimable = false) shouldBe 16
    }

    @Test
    fun `full-price servers are kept until the reclaimable ones have started`() {
        val planner = FleetPlanner(clock)
        domains.forEach(planner::refused)
        // 100 requests need 10 servers, of which 4 reclaimable ones are running.
        planner.plan(PoolStatus(pool, servers(1, true), inFlight = 100)).total(reclaimable = false) shouldBe 6
        nowMs += 3_001
        val asked = planner.plan(PoolStatus(pool, servers(1, true), inFlight = 100))
        asked.total(reclaimable = false) shouldBe 6
        asked.filter { it.group.isReclaimable }.forEach { planner.accepted(it.group.domain, it.count, bootMs = 4_000) }
        nowMs += 4_999
        planner.plan(PoolStatus(pool, servers(1, true), inFlight = 100)).total(reclaimable = false) shouldBe 6
        planner.plan(PoolStatus(pool, servers(4, true), inFlight = 100)).total(reclaimable = false) shouldBe 0
    }

    @Test
    fun `both kinds of server together do not exceed the limit of a failure domain`() {
        listOf(0, 1, 3, 6, 7).forAll { running ->
            val planner = FleetPlanner(clock)
            domains.forEach(planner::refused)
            repeat(3) {
                val plan = planner.plan(PoolStatus(pool, servers(running, true), inFlight = 1_000))
                domains.forEach { domain ->
                    val both = plan.filter { it.group.domain == domain }.sumOf { it.count }
                    both shouldBeLessThanOrEqual 7
                }
                nowMs += 3_001
            }
        }
    }

    @Test
    fun `servers are kept for the hold time after a peak of demand`() {
        val planner = FleetPlanner(clock)
        planner.plan(PoolStatus(pool, servers(3, true), inFlight = 150)).total(reclaimable = true) shouldBe 20
        nowMs += 11_000
        planner.plan(PoolStatus(pool, servers(5, true), inFlight = 10)).total(reclaimable = true) shouldBe 20
        nowMs += 2_000
        planner.plan(PoolStatus(pool, servers(5, true), inFlight = 10)).total(reclaimable = true) shouldBe 12
    }

    @Test
    fun `an order is sent again only if it has not taken effect within the retry time`() {
        val tracker = OrderTracker(clock)
        val order = FleetOrder(ServerGroup(pool.id, domains[0], isReclaimable = true), 3)
        tracker.toSend(listOf(order)) { 0 } shouldBe listOf(order)
        tracker.markAccepted(order)
        nowMs += 7_999
        tracker.toSend(listOf(order)) { 0 }.shouldBeEmpty()
        nowMs += 1
        tracker.toSend(listOf(order)) { 0 } shouldBe listOf(order)
        tracker.toSend(listOf(order)) { 3 }.shouldBeEmpty()
        tracker.toSend(listOf(order.copy(count = 4))) { 3 } shouldBe listOf(order.copy(count = 4))
        tracker.clear()
        tracker.toSend(listOf(order)) { 3 } shouldBe listOf(order)
    }
}
