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
    private val poison = RequestFingerprint("poison")
    private val innocent = RequestFingerprint("innocent")

    private fun server(name: String, domain: String) = BackendServer(
        BackendServerId(name),
        PoolId("chat"),
        InetSocketAddress("127.0.0.1", 1),
        FailureDomain(domain),
        BackendServerState.RUNNING,
        slots = 8,
        reclaimable = false,
    )

    private fun CrashSuspects.crashWith(server: BackendServer, atMs: Long, requests: List<RequestFingerprint>) {
        requests.forEach { started(server.id, it) }
        crashed(server, TimeMs(atMs))
    }

    @Test
    fun `guards against a request that crashes a third server`() {
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
    fun `guards against blame for the same server twice`() {
        val suspects = CrashSuspects()
        suspects.crashWith(server("s1", "a"), 0, listOf(poison))
        suspects.crashWith(server("s1", "a"), 5_000, listOf(poison))
        suspects.quarantineMs(poison, TimeMs(5_000)) shouldBe null
    }

    @Test
    fun `guards against blame for the loss of a failure domain`() {
        data class Case(val secondDomain: String, val secondAtMs: Long, val suspect: Boolean)
        listOf(
            Case("a", 1_999, suspect = false),
            Case("a", 2_000, suspect = true),
            Case("b", 10, suspect = true),
        ).forAll { case ->
            val suspects = CrashSuspects()
            suspects.crashWith(server("s1", "a"), 0, listOf(innocent))
            suspects.crashWith(server("s2", case.secondDomain), case.secondAtMs, listOf(RequestFingerprint("other")))
            suspects.isSuspect(innocent) shouldBe case.suspect
        }
    }

    @Test
    fun `guards against blame for losses after an eviction notice`() {
        val suspects = CrashSuspects()
        suspects.evictionAnnounced(FailureDomain("a"), remainingMs = 5_000, now = TimeMs(0))
        suspects.crashWith(server("s1", "a"), 4_000, listOf(innocent))
        suspects.isSuspect(innocent) shouldBe false
        suspects.crashWith(server("s2", "a"), 20_000, listOf(innocent))
        suspects.isSuspect(innocent) shouldBe true
    }

    @Test
    fun `guards against a re-sent suspect beside other suspects or in a domain that just lost a server`() {
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
    fun `guards against suspicion that outlives a whole answer`() {
        val suspects = CrashSuspects()
        suspects.crashWith(server("s1", "a"), 0, listOf(innocent))
        suspects.completed(innocent)
        suspects.crashWith(server("s2", "b"), 10_000, listOf(innocent))
        suspects.quarantineMs(innocent, TimeMs(10_000)) shouldBe null
    }

    @Test
    fun `guards against peers that prolong a quarantine for each other`() {
        val suspects = CrashSuspects()
        suspects.applyPeerQuarantine(Quarantine(poison, 5_000_000), TimeMs(0))
        suspects.quarantineMs(poison, TimeMs(0)) shouldBe 600_000
        suspects.quarantines(TimeMs(100)) shouldBe listOf(Quarantine(poison, 599_900))
        suspects.quarantines(TimeMs(600_000)) shouldBe emptyList()
    }

    @Test
    fun `guards against memory that grows with fingerprints`() {
        val suspects = CrashSuspects(SuspectRules(maxFingerprints = 10))
        repeat(100) { suspects.crashWith(server("s$it", "d$it"), it * 10L, listOf(RequestFingerprint("f$it"))) }
        (0 until 100).count { suspects.isSuspect(RequestFingerprint("f$it")) } shouldBeLessThanOrEqual 10
        repeat(100) { suspects.applyPeerQuarantine(Quarantine(RequestFingerprint("q$it"), 1_000), TimeMs(0)) }
        suspects.quarantines(TimeMs(0)).size shouldBeLessThanOrEqual 10
    }

    /** Plays requests that are re-sent after each crash; returns the quarantined ones. */
    private fun quarantinedAfter(seed: Long, isolate: Boolean): Set<RequestFingerprint> {
        val random = Random(seed)
        val suspects = CrashSuspects()
        val alive = (0 until 12).map { server("s$it", "domain-${it % 6}") }.toMutableList()
        val running = HashMap<BackendServer, MutableList<RequestFingerprint>>()
        val waiting = (listOf(poison) + List(6) { RequestFingerprint("innocent-$it") }).toMutableList()
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
    fun `guards against an innocent request that is quarantined with the guilty one`() {
        (1L..200L).toList().forAll { seed -> quarantinedAfter(seed, isolate = true) shouldBe setOf(poison) }
    }

    @Test
    fun `shows that without isolation innocent requests are quarantined`() {
        (1L..200L).firstOrNull { seed -> quarantinedAfter(seed, isolate = false) != setOf(poison) }.shouldNotBeNull()
            .also { println("violation without isolation at seed $it") }
    }

    @Test
    fun `guards against a request that goes to another host after each crash`() {
        val rules = SuspectRules(crashes = 3)
        val here = CrashSuspects(rules)
        val there = CrashSuspects(rules)
        here.crashWith(server("s1", "a"), 0, listOf(poison))
        there.crashWith(server("s2", "b"), 100, listOf(poison))
        here.crashWith(server("s3", "c"), 200, listOf(poison))
        here.quarantineMs(poison, TimeMs(200)) shouldBe null
        there.recentCrashReports(TimeMs(300)).forEach { here.applyPeerCrashReport(it, TimeMs(300)) }
        here.quarantineMs(poison, TimeMs(300)).shouldNotBeNull()
    }

    @Test
    fun `guards against a server that starts again under its id after each crash`() {
        val suspects = CrashSuspects()
        suspects.crashWith(server("s1", "a").copy(startedMs = 1), 0, listOf(poison))
        suspects.crashWith(server("s1", "a").copy(startedMs = 2), 5_000, listOf(poison))
        suspects.quarantineMs(poison, TimeMs(5_000)).shouldNotBeNull()
    }

    @Test
    fun `guards against a blame that is told on for ever or in any number`() {
        val suspects = CrashSuspects(SuspectRules(maxShared = 4))
        suspects.crashWith(server("s1", "a"), 0, List(9) { RequestFingerprint("f$it") })
        suspects.recentCrashReports(TimeMs(10)).size shouldBe 4
        suspects.recentCrashReports(TimeMs(10)).map { it.ageMs }.toSet() shouldBe setOf(10L)
        suspects.recentCrashReports(TimeMs(3_001)) shouldBe emptyList()
    }

    @Test
    fun `guards against two callers or bodies with one fingerprint`() {
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
