package org.hickorytiller.placement

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.HostId
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.TimeMs
import java.net.InetSocketAddress
import kotlin.random.Random

class RateLimitsTest : AnnotationSpec() {
    private val server = BackendServerId("s1")
    private var nowMs = 0L
    private val clock = { TimeMs(nowMs) }

    private fun limits(host: String, hosts: () -> List<String>) = RateLimits(clock, HostId(host)) { hosts().map(::HostId) }

    /** Hosts that tell each other of a limit, some of whose messages are lost, and send whenever they may. */
    private inner class Fleet(seed: Int, hostCount: Int, private val ratePerS: Double) {
        private val random = Random(seed)
        private val names = List(hostCount) { "host-$it" }
        private val alive = names.toMutableSet()
        private val hosts = names.associateWith { limits(it) { alive.toList() } }.toMutableMap()
        val sendsMs = mutableListOf<Long>()

        private fun exchange(from: String) {
            val notices = hosts.getValue(from).recentNotices()
            alive.filter { it != from && random.nextInt(10) > 0 }.forEach { hosts.getValue(it).applyPeerNotices(notices) }
        }

        // A host that restarts has lost its memory. It is not alive meanwhile.
        private fun restartSomeHost() {
            if (nowMs % 6_000 == 3_000L) alive -= names.random(random)
            if (nowMs % 6_000 == 5_000L) {
                (names - alive).forEach {
                    alive += it
                    hosts[it] = limits(it) { alive.toList() }
                }
            }
        }

        fun run(untilMs: Long): Fleet {
            hosts.getValue(names.first()).stated(server, ratePerS)
            while (nowMs < untilMs) {
                nowMs += 10
                restartSomeHost()
                alive.filterIndexed { i, _ -> (nowMs + i * 30) % 500 == 0L }.forEach(::exchange)
                // Before a host knows the limit it may send anything.
                alive.shuffled(random).map(hosts::getValue).filter { nowMs > 3_000 && it.allows(server) }.forEach {
                    if (it.limited().isNotEmpty() || nowMs % 100 == 0L) {
                        sendsMs += nowMs
                        it.sent(server)
                        it.stated(server, ratePerS)
                    }
                }
            }
            return this
        }
    }

    // Guards against hosts that each keep to a limit by themselves and together exceed it.
    @Test
    fun `hosts together keep to the rate that a server states`() {
        val cases = listOf(1 to 0.3, 8 to 0.3, 8 to 1.2, 8 to 3.7, 8 to 20.0, 8 to 400.0, 95 to 0.5, 95 to 2.0, 95 to 12.0, 360 to 1.5)
        cases.forAll { (hostCount, ratePerS) ->
            nowMs = 0
            val sendsMs = Fleet(seed = hostCount, hostCount, ratePerS).run(untilMs = 30_000).sendsMs
            val most = sendsMs.maxOfOrNull { begin -> sendsMs.count { it in begin until begin + 4_000 } } ?: 0
            withClue("$hostCount hosts, $ratePerS/s") {
                most.toDouble() shouldBeLessThanOrEqual 4 * 1.5 * ratePerS + 5
                // The rate is used as well, after the first seconds.
                sendsMs.count { it > 10_000 } / 20.0 shouldBeGreaterThanOrEqual ratePerS * 0.5
            }
        }
    }

    @Test
    fun `the newest statement holds, and a restarted server has none`() {
        val limits = limits("a") { listOf("a") }
        nowMs = 10_000
        limits.stated(server, 2.0)
        limits.allows(server) shouldBe false
        limits.applyPeerNotices(listOf(RateLimitNotice(server, null, ageMs = 100)))
        limits.allows(server) shouldBe false
        nowMs += 100
        limits.applyPeerNotices(listOf(RateLimitNotice(server, null, ageMs = 0)))
        limits.allows(server) shouldBe true
        limits.stated(server, 2.0)
        limits.remove(server)
        limits.allows(server) shouldBe true
    }

    // Guards against a server that is never used again, since only its next answer could end its limit.
    @Test
    fun `a server that takes no requests is still tried now and then`() {
        val limits = limits("a") { listOf("a") }
        limits.stated(server, 0.0)
        nowMs += 9_000
        limits.allows(server) shouldBe false
        nowMs += 2_000
        limits.allows(server) shouldBe true
        limits.sent(server)
        limits.allows(server) shouldBe false
    }

    // Guards against a bucket that holds one request, which random arrivals mostly find empty.
    @Test
    fun `a high rate is used by arrivals at random`() {
        val limits = limits("a") { listOf("a", "b") }
        limits.stated(server, 200.0)
        val random = Random(1)
        var sent = 0
        repeat(10_000) {
            nowMs += 1
            if (random.nextInt(10) == 0 && limits.allows(server)) sent++.also { limits.sent(server) }
        }
        sent shouldBeGreaterThanOrEqual 800
    }

    // Guards against a server that is never used, since a very large figure overflows.
    @Test
    fun `a very high rate limits nothing`() {
        val limits = limits("a") { listOf("a", "b") }
        limits.stated(server, 1e300)
        nowMs += 10
        limits.allows(server) shouldBe true
    }

    @Test
    fun `statements are shared for a limited time and in a limited number`() {
        val limits = RateLimits(clock, HostId("a"), RateLimitRules(maxShared = 3)) { listOf(HostId("a")) }
        repeat(9) { limits.stated(BackendServerId("s$it"), it.toDouble()) }
        nowMs += 10
        limits.recentNotices().map { it.ageMs } shouldBe List(3) { 10L }
        nowMs += 3_000
        limits.recentNotices().shouldBeEmpty()
    }

    // Guards against requests that are refused or late although servers without a limit are free.
    @Test
    fun `requests beyond a limit go to other servers`() {
        val servers = List(4) {
            BackendServer(BackendServerId("s$it"), PoolId("p"), InetSocketAddress(1), FailureDomain("d"), BackendServerState.RUNNING, 8, false)
        }
        val limits = limits("a") { listOf("a") }
        val placement = Placement(clock, rateLimits = limits)
        placement.replace(servers)
        servers.drop(1).forEach { limits.stated(it.id, 1.0) }
        val chosen = (1..100).map {
            nowMs += 50
            val server = placement.choose(PlacementRequest(PoolId("p"), null, FailureDomain("d")))!!
            placement.started(server.id, PlacementRequest(PoolId("p"), null, FailureDomain("d")))
            placement.ended(server.id)
            server.id
        }
        servers.drop(1).forAll { limited -> chosen.count { it == limited.id }.toDouble() shouldBeLessThanOrEqual 5.0 }
    }
}
