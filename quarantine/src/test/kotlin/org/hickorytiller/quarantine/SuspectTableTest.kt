package org.hickorytiller.quarantine

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.TimeMs
import java.net.InetSocketAddress
import kotlin.random.Random

class SuspectTableTest : AnnotationSpec() {
    private val deadly = Fingerprint("deadly")
    private val sound = Fingerprint("sound")

    private fun server(name: String, domain: String, startedMs: Long = 0) = BackendServer(
        BackendServerId(name),
        PoolId("chat"),
        InetSocketAddress("127.0.0.1", 1),
        FailureDomain(domain),
        BackendServerState.RUNNING,
        8,
        false,
        startedMs,
    )

    private fun SuspectTable.crashWith(server: BackendServer, atMs: Long, parts: List<Fingerprint>) {
        started(server.id, parts)
        crashed(server, TimeMs(atMs))
    }

    private fun SuspectTable.answerWith(atMs: Long, parts: List<Fingerprint>) = answered(started(BackendServerId("other"), parts), TimeMs(atMs))

    private fun SuspectTable.isQuarantined(part: Fingerprint, atMs: Long) = isQuarantined(listOf(part), TimeMs(atMs))

    // Guards against the quarantine of parts that crashing requests share with sound ones.
    @Test
    fun `only the part that is never answered is quarantined`() {
        val suspects = SuspectTable()
        (0L until 3).forEach { i ->
            suspects.crashWith(server("s$i", "d$i"), i * 1_000, listOf(deadly, sound))
            suspects.answerWith(i * 1_000 + 500, listOf(sound))
        }
        suspects.isQuarantined(deadly, 2_500) shouldBe true
        suspects.isQuarantined(sound, 2_500) shouldBe false
    }

    // Guards against a shared part that is refused for good, since no request with it can clear it any more.
    @Test
    fun `a part that is quarantined with another one is sent without it and released by an answer`() {
        val suspects = SuspectTable()
        suspects.crashWith(server("s9", "d9"), 0, listOf(sound))
        (0L until 3).forEach { suspects.crashWith(server("s$it", "d$it"), it * 100, listOf(sound, deadly)) }
        suspects.isQuarantined(listOf(sound, deadly), TimeMs(500)) shouldBe true
        suspects.isQuarantined(listOf(deadly), TimeMs(500)) shouldBe false
        suspects.isQuarantined(listOf(sound, Fingerprint("other")), TimeMs(500)) shouldBe false
        suspects.answerWith(600, listOf(sound, Fingerprint("other")))
        suspects.isQuarantined(sound, 700) shouldBe false
        suspects.isQuarantined(deadly, 700) shouldBe true
    }

    // Guards against the loss of a failure domain, which breaks off many requests at once, being taken for the fault of
    // a part, and against repeated crashes in one domain never being counted.
    @Test
    fun `crashes of one domain within two seconds count as one`() {
        class Case(val domains: List<String>, val stepMs: Long, val isQuarantined: Boolean)
        listOf(
            Case(listOf("a", "a", "a", "a"), 100, false),
            Case(listOf("a", "a", "b", "b"), 100, false),
            Case(listOf("a", "b", "c"), 100, true),
            Case(listOf("a", "a", "a"), 2_000, true),
        ).forAll { case ->
            val suspects = SuspectTable()
            case.domains.forEachIndexed { i, domain -> suspects.crashWith(server("s$i", domain), i * case.stepMs, listOf(deadly)) }
            suspects.isQuarantined(deadly, 8_000) shouldBe case.isQuarantined
        }
    }

    @Test
    fun `an answer that has gone on for a while clears its parts, one that has just begun does not`() {
        listOf(200L to true, 300L to false).forAll { (answerMs, isSuspected) ->
            val suspects = SuspectTable()
            (0..1).forEach { suspects.crashWith(server("s$it", "d$it"), it * 10L, listOf(deadly)) }
            val run = suspects.started(BackendServerId("s2"), listOf(deadly))
            suspects.answerContinued(run, TimeMs(1_000))
            suspects.answerContinued(run, TimeMs(1_000 + answerMs))
            suspects.crashed(server("s2", "d2"), TimeMs(1_300))
            suspects.crashWith(server("s3", "d3"), 1_400, listOf(deadly))
            suspects.isQuarantined(deadly, 1_500) shouldBe isSuspected
        }
    }

    @Test
    fun `an answer after the last crash releases a part, also at peers that repeat its quarantine`() {
        val local = SuspectTable()
        val peer = SuspectTable()
        (0..2).forEach { local.crashWith(server("s$it", "d$it"), it * 10L, listOf(sound)) }
        peer.applyPeerEvidence(local.evidence(TimeMs(100)), TimeMs(100))
        peer.isQuarantined(sound, 100) shouldBe true
        local.answerWith(200, listOf(sound))
        local.isQuarantined(sound, 200) shouldBe false
        local.applyPeerEvidence(peer.evidence(TimeMs(300)), TimeMs(300))
        local.isQuarantined(sound, 300) shouldBe false
        peer.applyPeerEvidence(local.evidence(TimeMs(400)), TimeMs(400))
        peer.isQuarantined(sound, 400) shouldBe false
    }

    // Guards against a host that starts later and sends the requests that the others refuse.
    @Test
    fun `a host without memory learns a quarantine from any peer, and peers do not prolong it`() {
        val local = SuspectTable()
        (0..2).forEach { local.crashWith(server("s$it", "d$it"), 0, listOf(deadly)) }
        val started = SuspectTable()
        started.applyPeerEvidence(local.evidence(TimeMs(500_000)), TimeMs(500_000))
        started.isQuarantined(deadly, 599_000) shouldBe true
        local.applyPeerEvidence(started.evidence(TimeMs(599_000)), TimeMs(599_000))
        local.isQuarantined(deadly, 600_000) shouldBe false
        // One further crash is enough to renew it.
        local.crashWith(server("s3", "d0"), 700_000, listOf(deadly))
        local.isQuarantined(deadly, 700_000) shouldBe true
    }

    @Test
    fun `one crash that several hosts report counts once`() {
        val hosts = List(3) { SuspectTable() }
        hosts.forEachIndexed { i, host -> host.crashWith(server("s1", "a", startedMs = 7), i * 100L, listOf(deadly)) }
        hosts.drop(1).forEach { hosts[0].applyPeerEvidence(it.evidence(TimeMs(300)), TimeMs(300)) }
        hosts[0].isQuarantined(deadly, 300) shouldBe false
    }

    @Test
    fun `crashes that different hosts detect count together`() {
        val local = SuspectTable()
        val peer = SuspectTable()
        local.crashWith(server("s1", "a"), 0, listOf(deadly))
        peer.crashWith(server("s2", "b"), 100, listOf(deadly))
        local.crashWith(server("s3", "c"), 200, listOf(deadly))
        local.isQuarantined(deadly, 200) shouldBe false
        local.applyPeerEvidence(peer.evidence(TimeMs(300)), TimeMs(300))
        local.isQuarantined(deadly, 300) shouldBe true
    }

    @Test
    fun `crashes are shared for a limited time and in a limited number`() {
        val suspects = SuspectTable(SuspectTableRules(maxShared = 4))
        suspects.crashWith(server("s1", "a"), 0, List(9) { Fingerprint("f$it") })
        suspects.evidence(TimeMs(10)).crashes.map { it.ageMs } shouldBe List(4) { 10L }
        suspects.evidence(TimeMs(3_001)).crashes.shouldBeEmpty()
    }

    // Guards against a sound request that is refused because it was running on several servers that crashed.
    @Test
    fun `a request that a server was answering when it crashed is no suspect`() {
        val suspects = SuspectTable()
        repeat(9) { i ->
            val run = suspects.started(BackendServerId("s$i"), listOf(sound))
            suspects.answerContinued(run, TimeMs(i * 5_000L))
            suspects.answerContinued(run, TimeMs(i * 5_000L + 400))
            suspects.crashed(server("s$i", "d$i"), TimeMs(i * 5_000L + 500))
        }
        suspects.isQuarantined(sound, 45_000) shouldBe false
    }

    // Guards against the memory of a host growing with each part, and against a flood of parts that pushes out a
    // quarantine in use.
    @Test
    fun `full tables stay bounded and keep the quarantines that are asked for`() {
        val suspects = SuspectTable(SuspectTableRules(maxFingerprints = 50, maxQuarantines = 10))
        (0..2).forEach { suspects.crashWith(server("s$it", "d$it"), 0, listOf(deadly)) }
        repeat(500) { i ->
            val part = Fingerprint("p$i")
            (0..2).forEach { suspects.crashWith(server("s$i-$it", "d$it"), i.toLong(), listOf(part)) }
            suspects.answerWith(i.toLong(), listOf(Fingerprint("q$i")))
            suspects.isQuarantined(deadly, i.toLong()) shouldBe true
        }
        (0 until 500).count { suspects.isQuarantined(Fingerprint("p$it"), 500) } shouldBeLessThanOrEqual 10
        suspects.evidence(TimeMs(500)).crashes.size shouldBeLessThanOrEqual 64
        suspects.evidence(TimeMs(500)).quarantines.size shouldBeLessThanOrEqual 64
    }

    private class Pending(val host: Int, val run: ObservedRun, val server: BackendServer, val isDeadly: Boolean, val answerAtMs: Long)

    /** Hosts that exchange evidence by messages, some of which are lost, before servers that crash on [deadly]. */
    private inner class Fleet(seed: Int, hostCount: Int, private val domains: Int) {
        private val random = Random(seed)
        private val hosts = MutableList(hostCount) { SuspectTable() }
        private val downUntilMs = LongArray(13)
        val crashTimesMs = mutableListOf<Long>()
        val deadlySendsMs = mutableListOf<Long>()
        var refusedSound = 0

        private val pending = mutableListOf<Pending>()

        private fun send(host: Int, nowMs: Long) {
            val isDeadly = random.nextInt(15) == 0
            val parts = listOf(Fingerprint("all"), if (isDeadly) deadly else Fingerprint("part-${random.nextInt(150)}"))
            if (hosts[host].isQuarantined(parts, TimeMs(nowMs))) {
                if (!isDeadly) refusedSound++
                return
            }
            val number = downUntilMs.indices.filter { downUntilMs[it] <= nowMs }.random(random)
            if (isDeadly) deadlySendsMs += nowMs
            val target = server("s$number", "d${number % domains}", startedMs = downUntilMs[number])
            pending += Pending(host, hosts[host].started(target.id, parts), target, isDeadly, nowMs + random.nextLong(100, 900))
        }

        private fun crash(server: BackendServer, nowMs: Long) {
            crashTimesMs += nowMs
            downUntilMs[server.id.value.drop(1).toInt()] = nowMs + 3_000
            hosts.forEach { it.crashed(server, TimeMs(nowMs + random.nextLong(50))) }
            pending.removeIf { it.server == server }
        }

        private fun exchange(from: Int, nowMs: Long) {
            val evidence = hosts[from].evidence(TimeMs(nowMs))
            hosts.indices.filter { it != from && random.nextInt(10) > 0 }
                .forEach { hosts[it].applyPeerEvidence(evidence, TimeMs(nowMs + random.nextLong(100))) }
        }

        fun run(untilMs: Long): Fleet {
            for (nowMs in 0L until untilMs step 20) {
                if (random.nextInt(3) == 0) send(random.nextInt(hosts.size), nowMs)
                pending.filter { it.answerAtMs <= nowMs && it.isDeadly }.forEach { if (it in pending) crash(it.server, nowMs) }
                val answered = pending.filter { it.answerAtMs <= nowMs }
                answered.forEach { hosts[it.host].answered(it.run, TimeMs(nowMs)) }
                pending -= answered.toSet()
                hosts.indices.filter { (nowMs + it * 60) % 500 == 0L }.forEach { exchange(it, nowMs) }
                // A restarted host has lost its memory.
                if (nowMs % 5_000 == 4_980L) hosts[random.nextInt(hosts.size)] = SuspectTable()
            }
            return this
        }
    }

    @Test
    fun `hosts together stop requests with a deadly part after its fifth crash and refuse no sound ones`() {
        (1..40).toList().forAll { seed ->
            val fleet = Fleet(seed, hostCount = if (seed % 2 == 0) 8 else 23, domains = 3 + seed % 2).run(untilMs = 60_000)
            withClue("crashes at ${fleet.crashTimesMs}") {
                fleet.crashTimesMs.size shouldBeGreaterThan 2
                val fifthMs = fleet.crashTimesMs.getOrNull(4) ?: 60_000
                fleet.deadlySendsMs.count { it > fifthMs + 3_000 } shouldBeLessThanOrEqual 3
                fleet.refusedSound shouldBe 0
            }
        }
    }

    @Test
    fun `no part is suspected without a crash`() {
        val suspects = SuspectTable()
        suspects.ended(suspects.started(BackendServerId("s1"), listOf(sound)))
        suspects.crashed(server("s1", "a"), TimeMs(10))
        suspects.evidence(TimeMs(10)).crashes.shouldBeEmpty()
    }
}
