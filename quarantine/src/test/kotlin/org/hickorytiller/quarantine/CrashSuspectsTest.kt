package org.hickorytiller.quarantine

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.TimeMs
import java.net.InetSocketAddress
import kotlin.random.Random

class CrashSuspectsTest : AnnotationSpec() {
    private val poison = Fingerprint("poison")
    private val innocent = Fingerprint("innocent")

    private fun server(name: String, domain: String) = BackendServer(
        BackendServerId(name),
        PoolId("chat"),
        InetSocketAddress("127.0.0.1", 1),
        FailureDomain(domain),
        BackendServerState.RUNNING,
        slots = 8,
        reclaimable = false,
    )

    private fun CrashSuspects.crashWith(server: BackendServer, atMs: Long, requests: List<Fingerprint>) {
        requests.forEach { started(server.id, it) }
        crashed(server, TimeMs(atMs))
    }

    @Test
    fun `a request that crashed two servers is quarantined and the quarantine is shared`() {
        val shared = mutableListOf<Quarantine>()
        val suspects = CrashSuspects(share = shared::add)
        suspects.crashWith(server("s1", "a"), 0, listOf(poison))
        suspects.quarantineMs(poison, TimeMs(0)) shouldBe null
        suspects.crashWith(server("s2", "b"), 10, listOf(poison))
        suspects.quarantineMs(poison, TimeMs(10)) shouldBe 600_000
        suspects.quarantineMs(poison, TimeMs(600_010)) shouldBe null
        shared.map { it.fingerprint } shouldContainExactly listOf(poison)
    }

    @Test
    fun `two crash records of one server run count once`() {
        val suspects = CrashSuspects()
        suspects.crashWith(server("s1", "a"), 0, listOf(poison))
        suspects.crashWith(server("s1", "a"), 5_000, listOf(poison))
        suspects.quarantineMs(poison, TimeMs(5_000)) shouldBe null
    }

    @Test
    fun `the loss of a failure domain makes no request a suspect`() {
        data class Case(val secondDomain: String, val secondAtMs: Long, val isSuspected: Boolean)
        listOf(
            Case("a", 1_999, isSuspected = false),
            Case("a", 2_000, isSuspected = true),
            Case("b", 10, isSuspected = true),
        ).forAll { case ->
            val suspects = CrashSuspects()
            suspects.crashWith(server("s1", "a"), 0, listOf(innocent))
            suspects.crashWith(server("s2", case.secondDomain), case.secondAtMs, listOf(Fingerprint("other")))
            suspects.isSuspect(innocent) shouldBe case.isSuspected
        }
    }

    @Test
    fun `lost servers of an announced eviction make no request a suspect`() {
        val suspects = CrashSuspects()
        suspects.evictionAnnounced(FailureDomain("a"), remainingMs = 5_000, now = TimeMs(0))
        suspects.crashWith(server("s1", "a"), 4_000, listOf(innocent))
        suspects.isSuspect(innocent) shouldBe false
        suspects.crashWith(server("s2", "a"), 20_000, listOf(innocent))
        suspects.isSuspect(innocent) shouldBe true
    }

    @Test
    fun `a suspect may not run beside another suspect or in a domain with a recent loss`() {
        val suspects = CrashSuspects()
        suspects.crashWith(server("s1", "a"), 0, listOf(poison, innocent))
        val other = server("s2", "b")
        suspects.mayRunOn(server("s1", "a"), poison, TimeMs(9_000)) shouldBe false
        suspects.mayRunOn(server("s3", "a"), poison, TimeMs(1_000)) shouldBe false
        suspects.mayRunOn(server("s3", "a"), poison, TimeMs(2_000)) shouldBe true
        suspects.mayRunOn(other, poison, TimeMs(1_000)) shouldBe true
        suspects.started(other.id, innocent)
        suspects.mayRunOn(other, poison, TimeMs(1_000)) shouldBe false
        suspects.ended(other.id, innocent)
        suspects.mayRunOn(other, poison, TimeMs(1_000)) shouldBe true
    }

    @Test
    fun `a request with a complete response is no longer a suspect`() {
        val suspects = CrashSuspects()
        suspects.crashWith(server("s1", "a"), 0, listOf(innocent))
        suspects.completed(innocent)
        suspects.crashWith(server("s2", "b"), 10_000, listOf(innocent))
        suspects.quarantineMs(innocent, TimeMs(10_000)) shouldBe null
    }

    @Test
    fun `a quarantine from a peer is limited in time and not extended`() {
        val suspects = CrashSuspects()
        suspects.applyPeerQuarantine(Quarantine(poison, 5_000_000), TimeMs(0))
        suspects.quarantineMs(poison, TimeMs(0)) shouldBe 600_000
        suspects.quarantines(TimeMs(100)) shouldBe listOf(Quarantine(poison, 599_900))
        suspects.quarantines(TimeMs(600_000)) shouldBe emptyList()
    }

    @Test
    fun `the number of remembered fingerprints is bounded`() {
        val suspects = CrashSuspects(SuspectRules(maxFingerprints = 10))
        repeat(100) { suspects.crashWith(server("s$it", "d$it"), it * 10L, listOf(Fingerprint("f$it"))) }
        (0 until 100).count { suspects.isSuspect(Fingerprint("f$it")) } shouldBeLessThanOrEqual 10
        repeat(100) { suspects.applyPeerQuarantine(Quarantine(Fingerprint("q$it"), 1_000), TimeMs(0)) }
        suspects.quarantines(TimeMs(0)).size shouldBeLessThanOrEqual 10
    }

    /** Simulates requests that are retried after each crash; returns the quarantined ones. */
    private fun quarantinedInSimulation(seed: Long, isolate: Boolean): Set<Fingerprint> {
        val random = Random(seed)
        val suspects = CrashSuspects()
        val alive = (0 until 12).map { server("s$it", "domain-${it % 6}") }.toMutableList()
        val running = HashMap<BackendServer, MutableList<Fingerprint>>()
        val waiting = (listOf(poison) + List(6) { Fingerprint("innocent-$it") }).toMutableList()
        var nowMs = 0L
        repeat(60) {
            nowMs += 3_000
            val (refused, sendable) = waiting.partition { suspects.quarantineMs(it, TimeMs(nowMs)) != null }
            waiting.clear()
            sendable.shuffled(random).forEach { request ->
                val allowed = alive.take(3).filter { !isolate || suspects.mayRunOn(it, request, TimeMs(nowMs)) }
                val chosen = allowed.randomOrNull(random)
                if (chosen == null) {
                    waiting += request
                } else {
                    suspects.started(chosen.id, request)
                    running.getOrPut(chosen) { mutableListOf() } += request
                }
            }
            running.toList().forEach { (server, requests) ->
                if (poison in requests) {
                    suspects.crashed(server, TimeMs(nowMs))
                    alive -= server
                    waiting += requests
                } else {
                    requests.forEach { suspects.ended(server.id, it) }
                    requests.forEach(suspects::completed)
                }
            }
            running.clear()
            if (refused.isNotEmpty()) return suspects.quarantines(TimeMs(nowMs)).map { it.fingerprint }.toSet()
        }
        return suspects.quarantines(TimeMs(nowMs)).map { it.fingerprint }.toSet()
    }

    @Test
    fun `only the request that causes the crashes is quarantined`() {
        (1L..200L).toList().forAll { seed -> quarantinedInSimulation(seed, isolate = true) shouldBe setOf(poison) }
    }

    @Test
    fun `innocent requests are quarantined if suspects are not isolated`() {
        (1L..200L).firstOrNull { seed -> quarantinedInSimulation(seed, isolate = false) != setOf(poison) }.shouldNotBeNull()
            .also { println("violation without isolation at seed $it") }
    }

    @Test
    fun `crashes of a server that restarts with the same id count separately`() {
        val suspects = CrashSuspects()
        suspects.crashWith(server("s1", "a").copy(startedMs = 1), 0, listOf(poison))
        suspects.crashWith(server("s1", "a").copy(startedMs = 2), 5_000, listOf(poison))
        suspects.quarantineMs(poison, TimeMs(5_000)).shouldNotBeNull()
    }

    @Test
    fun `requests that differ in customer, target or body have different fingerprints`() {
        val base = crc32Fingerprint(CustomerId("c"), "/path", "body".toByteArray())
        listOf(
            crc32Fingerprint(CustomerId("d"), "/path", "body".toByteArray()),
            crc32Fingerprint(null, "/path", "body".toByteArray()),
            crc32Fingerprint(CustomerId("c"), "/other", "body".toByteArray()),
            crc32Fingerprint(CustomerId("c"), "/path", "bodz".toByteArray()),
            crc32Fingerprint(CustomerId("c"), "/path", "body ".toByteArray()),
        ).forAll { (it == base) shouldBe false }
        crc32Fingerprint(CustomerId("c"), "/path", "body".toByteArray()) shouldBe base
    }
}
