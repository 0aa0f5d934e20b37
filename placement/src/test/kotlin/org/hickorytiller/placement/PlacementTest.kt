package org.hickorytiller.placement

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
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

class PlacementTest : AnnotationSpec() {
    private var nowMs = 1_000L
    private val pool = PoolId("engines")
    private val domain = FailureDomain("a")

    private fun server(id: String, state: BackendServerState = BackendServerState.RUNNING, startedMs: Long = 1) = BackendServer(BackendServerId(id), pool, InetSocketAddress("127.0.0.1", 1), domain, state, 64, reclaimable = false, startedMs)

    private fun placement(servers: Int = 6) = Placement({ TimeMs(nowMs) }).apply { replace((1..servers).map { server("s$it") }) }

    private fun prompt(document: Long, ownPart: Long = document + 1_000_000) = Prompt(ModelId("m"), listOf(PromptPart(PromptPartId(document), 13_300), PromptPart(PromptPartId(ownPart), 3_700)), 17_000, 120)

    private fun request(prompt: Prompt?, exclude: Set<BackendServerId> = emptySet()) = PlacementRequest(pool, prompt, domain, exclude)

    @Test
    fun `hosts choose the same server for a new part`() {
        val hosts = List(4) { placement() }
        (1L..50L).forEach { document ->
            hosts.map { it.choose(request(prompt(document))) }.toSet().size shouldBe 1
        }
        (1L..50L).map { hosts[0].choose(request(prompt(it))) }.toSet().size shouldBeGreaterThan 4
    }

    @Test
    fun `a part stays on its server when servers are added`() {
        val first = placement(3)
        val homes = (1L..60L).associateWith { document ->
            val server = first.choose(request(prompt(document)))!!
            first.prefillEnded(server.id, first.started(server.id, request(prompt(document))))
            first.ended(server.id)
            server
        }
        first.replace((1..12).map { server("s$it") })
        homes.forEach { (document, home) -> first.choose(request(prompt(document))) shouldBe home }
    }

    @Test
    fun `a host uses the part locations of its peers`() {
        val local = placement()
        val peer = placement()
        val home = local.choose(request(prompt(7)))!!
        val other = (1..6).map { BackendServerId("s$it") }.first { it != home.id }
        peer.started(other, request(prompt(7)))
        local.applyPeerPartLocations(peer.recentPartLocations())
        local.choose(request(prompt(7)))?.id shouldBe other
    }

    @Test
    fun `a request goes to another server if the server with the part is overloaded`() {
        val placement = placement()
        val home = placement.choose(request(prompt(7)))!!
        repeat(200) { placement.started(home.id, request(prompt(7, ownPart = it.toLong()))) }
        placement.choose(request(prompt(7))) shouldNotBe home
    }

    @Test
    fun `a restarted server is not expected to have parts in memory`() {
        val placement = placement(2)
        val nonHome = BackendServerId("s1").takeIf { placement.choose(request(prompt(7)))!!.id != it } ?: BackendServerId("s2")
        placement.started(nonHome, request(prompt(7)))
        placement.ended(nonHome)
        placement.choose(request(prompt(7)))?.id shouldBe nonHome
        placement.replace(listOf(server("s1", startedMs = 2), server("s2", startedMs = 2)))
        placement.choose(request(prompt(7)))?.id shouldNotBe nonHome
    }

    @Test
    fun `a server that is leaving, excluded or in another pool is not chosen`() {
        val placement = placement(0)
        placement.replace(listOf(server("s1", BackendServerState.LEAVING), server("s2")))
        placement.choose(request(prompt(1)))?.id?.value shouldBe "s2"
        placement.choose(request(prompt(1), exclude = setOf(BackendServerId("s2")))) shouldBe null
        placement.choose(PlacementRequest(PoolId("other"), null, domain)) shouldBe null
    }

    @Test
    fun `a failed server is avoided, but chosen if it is the only one`() {
        val placement = placement(2)
        val first = placement.choose(request(null))!!
        placement.failed(first.id)
        placement.choose(request(null)) shouldNotBe first
        nowMs += 60_000
        placement.started(placement.choose(request(null))!!.id, request(null))
        setOf(first.id, placement.choose(request(null))!!.id).size shouldBeGreaterThan 0
        placement.replace(listOf(server(first.id.value)))
        placement.failed(first.id)
        placement.choose(request(null)) shouldBe first
    }

    @Test
    fun `the number of requests in flight is correct after duplicate ends`() {
        val placement = placement(1)
        val id = BackendServerId("s1")
        placement.started(id, request(prompt(1)))
        placement.inFlight(pool) shouldBe 1
        placement.replacePeerLoad(mapOf(id to ServerLoad(4, 0)))
        placement.inFlight(pool) shouldBe 5
        repeat(3) { placement.ended(id) }
        placement.inFlight(pool) shouldBe 4
    }
}
