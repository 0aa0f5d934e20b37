package org.hickorytiller.orders

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.ClassId
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.Tier
import org.hickorytiller.core.TimeMs
import java.net.InetSocketAddress
import kotlin.random.Random

class OrderPlannerTest : AnnotationSpec() {
    private val pool = PoolId("chat")
    private val domains = listOf("a", "b", "c").map(::FailureDomain)
    private val policy = PoolPolicy(pool, 4_000, 400, 150, minServers = 2, maxServers = 8)
    private val settings = PlannerSettings(targetUtilisation = 0.5, evictionHeadroom = 0.0)

    private fun server(
        id: String,
        domain: String = "a",
        reclaimable: Boolean = false,
        state: BackendServerState = BackendServerState.RUNNING,
    ) = OrderedServer(
        BackendServer(
            BackendServerId(id),
            pool,
            InetSocketAddress("127.0.0.1", 1),
            FailureDomain(domain),
            state,
            8,
            reclaimable,
        ),
        null,
    )

    private fun demand(busySlots: Double, tier: Int = 1) = ClassSlotDemand(ClassId("class-$tier"), Tier(tier), pool, busySlots)

    private fun input(
        nowMs: Long,
        servers: List<OrderedServer>,
        demand: List<ClassSlotDemand> = emptyList(),
        policy: PoolPolicy = this.policy,
        open: List<OrderLedgerEntry> = emptyList(),
        unavailable: Set<Offer> = emptySet(),
    ) = PlannerInput(TimeMs(nowMs), listOf(policy), demand, servers, open, domains, unavailable)

    /** The orders once [demand] has lasted for the scale-up hold time. */
    private fun ordersAfterHold(
        servers: List<OrderedServer>,
        demand: List<ClassSlotDemand>,
        policy: PoolPolicy = this.policy,
        unavailable: Set<Offer> = emptySet(),
    ): OrderPlan {
        val planner = OrderPlanner(settings)
        planner.plan(input(0, servers, demand, policy, unavailable = unavailable))
        return planner.plan(input(5_000, servers, demand, policy, unavailable = unavailable))
    }

    private fun text(plan: OrderPlan) = plan.orders.map { "${it.action.code} ${it.failureDomain} ${if (it.reclaimable) "reclaimable" else "regular"}" }

    private class Case(val name: String, val plan: () -> OrderPlan, val orders: List<String>, val shortfall: Shortfall? = null)

    @Test
    fun `plans starts and stops for demand, limits, offers and evictions`() {
        val two = listOf(server("1", "a"), server("2", "b"))
        val bothKinds = domains.flatMap { listOf(Offer(it, true), Offer(it, false)) }.toSet()
        listOf(
            Case("nothing runs", { OrderPlanner(settings).plan(input(0, emptyList())) }, listOf("start a reclaimable", "start b reclaimable")),
            Case("enough runs", { ordersAfterHold(two, listOf(demand(8.0))) }, emptyList()),
            Case("lower tiers need more", { ordersAfterHold(two, listOf(demand(12.0))) }, listOf("start c reclaimable")),
            Case("the protected tier needs more", { ordersAfterHold(two, listOf(demand(12.0, tier = 0))) }, listOf("start c regular")),
            Case(
                "a leaving server is replaced elsewhere",
                {
                    val evicted = server("2", "b", reclaimable = true, state = BackendServerState.LEAVING)
                    OrderPlanner(settings).plan(input(0, listOf(server("1", "a"), evicted)))
                },
                listOf("start c reclaimable"),
            ),
            Case(
                "no reclaimable server on offer",
                {
                    val none = domains.map { Offer(it, reclaimable = true) }.toSet()
                    ordersAfterHold(two, listOf(demand(12.0)), unavailable = none)
                },
                listOf("start c regular"),
            ),
            Case(
                "nothing on offer",
                { ordersAfterHold(two, listOf(demand(12.0)), unavailable = bothKinds) },
                emptyList(),
                Shortfall.NO_OFFER,
            ),
            Case(
                "budget used up",
                { ordersAfterHold(two, listOf(demand(16.0)), policy.copy(maxCentsPerHour = 1_000)) },
                listOf("start c reclaimable"),
                Shortfall.BUDGET,
            ),
            Case(
                "budget cut below what runs",
                { OrderPlanner(settings).plan(input(0, two + server("3", "c"), policy = policy.copy(maxCentsPerHour = 800))) },
                listOf("stop a regular"),
                Shortfall.BUDGET,
            ),
            Case(
                "the weight store is busy",
                {
                    val starting = List(4) { server("s$it", "c", state = BackendServerState.STARTING) }
                    ordersAfterHold(two + starting, listOf(demand(32.0)))
                },
                emptyList(),
                Shortfall.WEIGHT_STORE,
            ),
        ).forAll { case ->
            val plan = case.plan()
            withClue(case.name) {
                text(plan) shouldBe case.orders
                plan.pools.single().shortfall shouldBe case.shortfall
            }
        }
    }

    @Test
    fun `no second start while the first is open or its server is starting`() {
        val planner = OrderPlanner(settings)
        val one = listOf(server("1"))
        val intent = OrderIntent("o1", "b", 7, OrderAction.START, 1, "chat", reclaimable = true)
        val open = listOf(OrderLedgerEntry(intent, LogOffset(3)))
        planner.plan(input(0, one, open = open)).orders.shouldBeEmpty()
        val starting = server("2", "b", true, BackendServerState.STARTING).copy(orderId = OrderId("o1"))
        planner.plan(input(1_000, one + starting, open = open)).orders.shouldBeEmpty()
    }

    @Test
    fun `server that does not start in time is replaced and stopped`() {
        val planner = OrderPlanner(settings)
        val servers = listOf(server("1"), server("2", "b", true, BackendServerState.STARTING))
        planner.plan(input(0, servers)).orders.shouldBeEmpty()
        text(planner.plan(input(600_000, servers))) shouldBe listOf("start b reclaimable", "stop b reclaimable")
    }

    @Test
    fun `orders do not flap when the demand bursts every minute`() {
        val planner = OrderPlanner(settings)
        var servers = listOf(server("1", "a"), server("2", "b"))
        var starts = 0
        var stops = 0
        for (nowMs in 0L..1_800_000L step 2_000) {
            val burst = nowMs % 60_000 < 20_000
            val plan = planner.plan(input(nowMs, servers, listOf(demand(if (burst) 16.0 else 4.0))))
            for (order in plan.orders) {
                if (order.action == OrderAction.START) {
                    servers = servers + server("n${starts++}", order.failureDomain.value, order.reclaimable)
                } else {
                    stops++
                    servers = servers.filter { it.server.id != order.backendServer }
                }
            }
        }
        starts shouldBe 2
        stops shouldBe 0
        val idle = (0L..310_000L step 2_000).map { planner.plan(input(1_802_000 + it, servers, listOf(demand(1.0)))) }
        idle.any { plan -> plan.orders.any { it.action == OrderAction.STOP } }.shouldBeTrue()
    }

    @Test
    fun `random plans stay within the budget and the maximum number of servers`() {
        val seed = System.getProperty("hickory.seed")?.toLong() ?: 20_261_205L
        println("OrderPlannerTest: seed $seed")
        val random = Random(seed)
        repeat(3_000) {
            val planner = OrderPlanner(settings.copy(maxConcurrentStarts = 100))
            val limits = policy.copy(maxCentsPerHour = random.nextLong(5_000), minServers = random.nextInt(3))
            val servers =
                List(random.nextInt(10)) {
                    server("$it", domains.random(random).value, random.nextBoolean(), BackendServerState.entries.random(random))
                }
            val demand = listOf(demand(random.nextDouble(60.0)), demand(random.nextDouble(30.0), tier = 0))
            planner.plan(input(0, servers, demand, limits))
            val plan = planner.plan(input(400_000, servers, demand, limits))
            val stopped = plan.orders.mapNotNull { it.backendServer }.toSet()
            val started = plan.orders.filter { it.action == OrderAction.START }
            val staying = servers.map { it.server }.filter { it.state != BackendServerState.LEAVING && it.id !in stopped }
            val cents =
                staying.sumOf { limits.centsPerHour(it.reclaimable) } + started.sumOf { limits.centsPerHour(it.reclaimable) }
            cents.toInt() shouldBeLessThanOrEqual limits.maxCentsPerHour.toInt()
            if (started.isNotEmpty()) staying.size + started.size shouldBeLessThanOrEqual limits.maxServers
        }
    }

    @Test
    fun `only the earlier of two intents fits when the remaining budget allows one server`() {
        val servers = listOf(server("1"))
        val limits = policy.copy(maxCentsPerHour = 550)
        val entries =
            listOf("a", "b").mapIndexed { index, domain ->
                val intent = OrderIntent("o$index", domain, 1, OrderAction.START, 1, "chat", reclaimable = true)
                OrderLedgerEntry(intent, LogOffset(index.toLong()))
            }
        entries.map { fitsLimits(it, limits, servers, entries) } shouldBe listOf(true, false)
        val listed = server("2", "a", reclaimable = true).copy(orderId = OrderId("o0"))
        fitsLimits(entries[0], limits, servers + listed, entries) shouldBe true
    }

    @Test
    fun `engines are ordered to load the configured model once, within the load limit`() {
        val ledger = OrderLedger()
        val engines = listOf("1", "2", "3").map { server(it).server }
        val policies = listOf(policy.copy(model = "writer"))
        planEngineOrders(engines, policies, ledger, maxLoads = 2).map { it.backendServer?.value } shouldBe listOf("1", "2")
        ledger.apply(OrderIntent("o", "a", 1, OrderAction.LOAD_MODEL, 1, "chat", false, "1", "writer"), LogOffset(0), TimeMs(0))
        planEngineOrders(engines, policies, ledger, maxLoads = 9).map { it.backendServer?.value } shouldBe listOf("2", "3")
        ledger.apply(OrderOutcome("o", OrderResult.PLACED), LogOffset(1), TimeMs(0))
        planEngineOrders(engines, policies, ledger, maxLoads = 9).map { it.backendServer?.value } shouldBe listOf("2", "3")
    }
}
