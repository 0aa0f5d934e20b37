package org.hickorytiller.balancing

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.ModelId
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.TimeMs
import java.net.InetSocketAddress
import kotlin.random.Random

class BackendServerTableTest : AnnotationSpec() {
    private val pool = PoolId("chat")
    private var now = TimeMs(0)

    private fun server(index: Int, reclaimable: Boolean = false, state: BackendServerState = BackendServerState.RUNNING) = BackendServer(
        BackendServerId("e$index"),
        pool,
        InetSocketAddress.createUnresolved("10.0.0.$index", 80),
        FailureDomain("zone-${index % 3}"),
        state,
        slots = 8,
        reclaimable = reclaimable,
    )

    private fun table(count: Int, rules: BalancingRules = BalancingRules(), quotas: QuotasOf = { null }) = BackendServerTable({ now }, rules, quotas).also { it.replace(List(count) { index -> server(index) }) }

    private fun id(index: Int) = BackendServerId("e$index")

    @BeforeEach
    fun reset() {
        now = TimeMs(0)
    }

    /**
     * Sends [rounds] rounds of requests that use three quarters of the slots. Server 0 is slower by [factor].
     * Returns the number of requests sent to server 0.
     */
    private fun withSlowServer(table: BackendServerTable, rounds: Int, factor: Double, seed: Long): Int {
        val random = Random(seed)
        var onSlow = 0
        repeat(rounds) {
            now += 200
            val chosen = List(table.totalSlots(pool) * 3 / 4) { table.choose(SelectionRequest(pool))!!.id.also(table::started) }
            chosen.forEach {
                val slow = if (it == id(0)) factor else 1.0
                if (it == id(0)) onSlow++
                table.recordTimeToFirstToken(it, ((150 + random.nextInt(100)) * slow).toLong())
                table.recordInterTokenLatency(it, (18 + random.nextInt(6)) * slow)
                table.ended(it)
            }
        }
        return onSlow
    }

    // Guards against a server that has become slow but still gets its full share of the requests.
    @Test
    fun `a straggler is detected within five slow responses`() {
        listOf(2, 3, 8, 13, 100).flatMap { size -> (1L..20L).map { size to it } }.forAll { (size, seed) ->
            reset()
            val table = table(size)
            withSlowServer(table, 10, 1.0, seed)
            withClue("$size servers, seed $seed") {
                table.isStraggler(id(0)) shouldBe false
                var responses = 0
                while (!table.isStraggler(id(0)) && responses < 50) {
                    responses++
                    table.recordTimeToFirstToken(id(0), 1_000)
                    table.recordInterTokenLatency(id(0), 100.0)
                }
                responses shouldBeLessThanOrEqual 5
            }
        }
    }

    // Guards against a straggler verdict that is never cleared, so that a recovered server stays unused.
    @Test
    fun `a straggler is probed and cleared after it has recovered`() {
        val table = table(4)
        withSlowServer(table, 100, 1.0, 1)
        withSlowServer(table, 10, 6.0, 2)
        table.isStraggler(id(0)) shouldBe true
        withSlowServer(table, 200, 1.0, 3)
        table.isStraggler(id(0)) shouldBe false
    }

    @Test
    fun `a straggler gets at most a third of the requests that it gets without the penalty`() {
        val penalised = table(4).also { withSlowServer(it, 100, 1.0, 1) }
        val unpenalised = table(4, BalancingRules(detectStragglers = false)).also { withSlowServer(it, 100, 1.0, 1) }
        val few = withSlowServer(penalised, 100, 3.0, 2)
        val many = withSlowServer(unpenalised, 100, 3.0, 2)
        withClue("with the penalty $few, without it $many") { (few * 3) shouldBeLessThanOrEqual many }
    }

    // Guards against an old load report that keeps requests away from a server permanently.
    @Test
    fun `the weight of a reported queue decreases with the age of the report`() {
        val table = table(2)
        table.report(id(0), LoadReport(ageMs = 0, running = 8, waiting = 4))
        table.choose(SelectionRequest(pool))!!.id shouldBe id(1)
        repeat(2) { table.started(id(1)) }
        table.choose(SelectionRequest(pool))!!.id shouldBe id(1)
        now += 3_000
        table.choose(SelectionRequest(pool))!!.id shouldBe id(0)
    }

    // Guards against load reports that arrive out of order.
    @Test
    fun `an older report does not replace a newer one`() {
        val table = table(2)
        now = TimeMs(5_000)
        table.report(id(0), LoadReport(ageMs = 100, running = 8, waiting = 8))
        table.report(id(0), LoadReport(ageMs = 4_000, running = 0, waiting = 0))
        table.choose(SelectionRequest(pool))!!.id shouldBe id(1)
    }

    // Guards against peers that all select the same server because each sees only its local requests.
    @Test
    fun `requests in flight from peers count as load`() {
        val table = table(2)
        table.replacePeersInFlight(mapOf(id(0) to 3))
        repeat(3) { table.choose(SelectionRequest(pool))!!.id.also(table::started) shouldBe id(1) }
    }

    @Test
    fun `requests do not exceed the quota of a server`() {
        val quotas = mapOf(id(0) to 2, id(1) to 0)
        val table = table(2) { quotas }
        table.totalSlots(pool) shouldBe 2
        repeat(2) { table.choose(SelectionRequest(pool))!!.id.also(table::started) shouldBe id(0) }
        table.freeSlots(pool) shouldBe 0
        table.choose(SelectionRequest(pool)) shouldBe null
    }

    // Guards against non-idempotent requests on a server that may be reclaimed within seconds.
    @Test
    fun `loss-sensitive requests avoid reclaimable servers and other requests prefer them`() {
        val table = BackendServerTable({ now })
        table.replace(listOf(server(0, reclaimable = true), server(1)))
        table.choose(SelectionRequest(pool, isLossCostly = true))!!.id shouldBe id(1)
        table.choose(SelectionRequest(pool))!!.id shouldBe id(0)
        repeat(7) { table.started(id(1)) }
        table.choose(SelectionRequest(pool, isLossCostly = true))!!.id shouldBe id(1)
        table.started(id(1))
        table.choose(SelectionRequest(pool, isLossCostly = true))!!.id shouldBe id(0)
    }

    // Guards against new requests on servers that are about to be evicted with their failure domain.
    @Test
    fun `a failure domain gets no new requests until its eviction notice has expired`() {
        val table = table(6)
        table.evictionAnnounced(FailureDomain("zone-0"), 30_000)
        repeat(32) { table.choose(SelectionRequest(pool))!!.also { table.started(it.id) }.failureDomain shouldNotBe FailureDomain("zone-0") }
        table.choose(SelectionRequest(pool)) shouldBe null
        now += 30_000
        table.choose(SelectionRequest(pool))!!.failureDomain shouldBe FailureDomain("zone-0")
    }

    @Test
    fun `a leaving server gets no new requests and keeps its requests in flight`() {
        val table = table(1)
        table.started(id(0))
        table.replace(emptyList())
        table.choose(SelectionRequest(pool)) shouldBe null
        table.inFlight() shouldBe mapOf(id(0) to 1)
        table.ended(id(0))
        table.replace(emptyList())
        table.inFlight() shouldBe emptyMap()
    }

    @Test
    fun `a server that has the model loaded is preferred`() {
        val table = table(2)
        val adapter = ModelId("reports-v2")
        table.report(id(0), LoadReport(0, 0, 0, emptySet()))
        table.report(id(1), LoadReport(0, 0, 0, setOf(adapter)))
        repeat(3) { table.choose(SelectionRequest(pool, model = adapter))!!.id.also(table::started) shouldBe id(1) }
    }

    // Guards against recomputing prompts on a server that does not have their prefix in its cache.
    @Test
    fun `requests with the same prefix go to the same server while it is not much busier`() {
        val table = table(8)
        val prefix = prefixHashes(ByteArray(8_192) { 7 })
        val first = table.choose(SelectionRequest(pool, prefix = prefix))!!.id
        table.started(first)
        table.ended(first)
        table.choose(SelectionRequest(pool, prefix = prefix))!!.id shouldBe first
        repeat(6) { table.started(first) }
        table.choose(SelectionRequest(pool, prefix = prefix))!!.id shouldNotBe first
    }

    // Guards against outdated prefix entries after cache events were lost.
    @Test
    fun `a gap in the cache events removes the prefix entries of the server`() {
        val table = table(4)
        val prefix = prefixHashes(ByteArray(4_096) { 1 })
        val none = LongArray(0)
        table.cacheEvent(CacheEvent(id(3), 1, prefix, none))
        table.choose(SelectionRequest(pool, prefix = prefix))!!.id shouldBe id(3)
        table.cacheEvent(CacheEvent(id(3), 3, none, none))
        table.choose(SelectionRequest(pool, prefix = prefix))!!.id shouldBe id(0)
        table.cacheEvent(CacheEvent(id(2), 1, prefix, none))
        table.cacheEvent(CacheEvent(id(2), 2, none, prefix))
        table.choose(SelectionRequest(pool, prefix = prefix))!!.id shouldBe id(0)
    }

    // Guards against a limit that stays low after a period of high latency, and against one that ignores overload.
    @Test
    fun `the concurrency limit decreases under overload and recovers`() {
        val limit = ConcurrencyLimit(16)
        repeat(200) { limit.observe(4.0, inFlight = 16) }
        limit.value shouldBeInRange 4..8
        repeat(400) { limit.observe(1.0, inFlight = 8) }
        limit.value shouldBe 16
    }

    // Guards against a median that diverges from the recent values.
    @Test
    fun `the recent median equals the median of the last values`() {
        (1L..30L).toList().forAll { seed ->
            val random = Random(seed)
            val median = RecentMedian(21)
            val values = List(200) { random.nextInt(50).toDouble() }
            values.forEachIndexed { index, value ->
                median.add(value)
                val last = values.subList(maxOf(0, index - 20), index + 1).sorted()
                withClue("seed $seed, value $index") { median.value shouldBe last[(last.size - 1) / 2] }
            }
        }
    }
}
