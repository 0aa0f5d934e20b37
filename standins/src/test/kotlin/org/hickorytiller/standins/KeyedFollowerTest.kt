package org.hickorytiller.standins

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.hickorytiller.core.ClockReading
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.StreamName
import org.hickorytiller.core.monotonicClock
import org.hickorytiller.http.EventLoop
import org.hickorytiller.http.HttpClient
import org.hickorytiller.http.HttpLimits
import org.hickorytiller.platform.FollowRules
import org.hickorytiller.platform.KeyedFollower
import org.hickorytiller.platform.KeyedRecord
import org.hickorytiller.platform.KeyedTopicListener
import org.hickorytiller.platform.ProofSource
import org.hickorytiller.platform.StoreClient
import java.net.InetSocketAddress

class KeyedFollowerTest : AnnotationSpec() {
    private lateinit var loop: EventLoop
    private lateinit var store: PlatformStoreStandIn
    private lateinit var follower: KeyedFollower
    private val values = mutableListOf<String>()
    private val proofs = mutableListOf<Pair<ProofSource, Int>>()

    private fun follow(rules: FollowRules) {
        loop = EventLoop()
        store = PlatformStoreStandIn()
        val server = store.start(loop.group, loop.scope, InetSocketAddress("127.0.0.1", 0))
        val client = StoreClient(HttpClient(loop.group, HttpLimits()), server.address)
        val addValues = { records: List<KeyedRecord> -> records.forEach { values += String(it.value!!) } }
        val listener =
            KeyedTopicListener(addValues, addValues, onCaughtUp = { _, source -> proofs += source to values.size }, onFailure = { })
        follower = KeyedFollower(client, StreamName("keyed.t"), rules, ::now, isReader = { false }, listener)
        onLoop { store.put("keyed.t", "k", "first") }
        loop.scope.launch { follower.run() }
        await { "first" in values }
    }

    private fun now() = ClockReading(monotonicClock(), System.currentTimeMillis())

    private fun <T> onLoop(block: suspend () -> T): T = runBlocking { withContext(loop.scope.coroutineContext) { block() } }

    /** Waits for [condition] and fails after 10 s, which is far more than a passing run takes. */
    private fun await(condition: () -> Boolean) {
        val deadline = monotonicClock() + 10_000
        while (!onLoop { condition() }) {
            check(monotonicClock() < deadline) { "the condition did not come true" }
            runBlocking { delay(10) }
        }
    }

    private fun peerProgress(end: Long) = onLoop { follower.onPeerProgress(LogOffset(end), now()) }

    @BeforeEach
    fun reset() {
        values.clear()
        proofs.clear()
    }

    @AfterEach
    fun stop() = loop.close()

    @Test
    fun `a page that does not reach the end of the topic does not prove that the follower has caught up`() {
        follow(FollowRules(staleMs = 60_000, waitMs = 60))
        onLoop {
            store.maxRecords = 1
            store.outageStatus = 503
            repeat(3) { store.put("keyed.t", "k", "later-$it") }
            proofs.clear()
            store.outageStatus = null
        }
        await { values.size == 4 && proofs.isNotEmpty() }
        proofs.filter { it.second < 4 }.shouldBeEmpty()
    }

    @Test
    fun `progress reported by a peer replaces reads of the store`() {
        follow(FollowRules(staleMs = 60_000, waitMs = 30))
        peerProgress(1)
        runBlocking { delay(200) }
        val before = onLoop { store.calls }
        runBlocking { delay(500) }
        onLoop { store.calls } - before shouldBeLessThanOrEqual 1
        onLoop { proofs.map { it.first } } shouldContain ProofSource.PEER
        onLoop { store.put("keyed.t", "k", "second") }
        await { "second" in values }
    }

    @Test
    fun `a read that gets no response is retried if a peer reports more records`() {
        follow(FollowRules(staleMs = 60_000, waitMs = 30, maxLagMs = 100))
        peerProgress(1)
        runBlocking { delay(200) }
        onLoop {
            store.isSilent = true
            store.put("keyed.t", "k", "second")
        }
        runBlocking { delay(100) }
        onLoop { store.isSilent = false }
        ("second" in onLoop { values.toList() }) shouldBe false
        await {
            follower.onPeerProgress(LogOffset(2), now())
            "second" in values
        }
    }

    @Test
    fun `the store is read again when the progress reported by a peer is stale`() {
        follow(FollowRules(staleMs = 400, waitMs = 30))
        peerProgress(1)
        runBlocking { delay(100) }
        val before = onLoop { store.calls }
        await { store.calls >= before + 3 }
    }

    @Test
    fun `progress reported by a peer beyond the local offset does not prove that the follower has caught up`() {
        follow(FollowRules(staleMs = 60_000, waitMs = 5_000))
        val proofsBefore = onLoop { proofs.count { it.first == ProofSource.PEER } }
        peerProgress(2)
        onLoop { proofs.count { it.first == ProofSource.PEER } } shouldBe proofsBefore
    }

    private fun sharedBy(peerSilenceMs: Long = 60_000) = FollowRules(staleMs = 60_000, waitMs = 30, maxLagMs = 100, peerSilenceMs = peerSilenceMs)

    private fun peerRecords(from: Long, vararg records: String) = onLoop {
        follower.onPeerRecords(LogOffset(from), records.map { KeyedRecord("k", it.toByteArray()) })
    }

    @Test
    fun `records shared by a peer replace reads of the store`() {
        follow(sharedBy())
        peerProgress(1)
        runBlocking { delay(100) }
        val before = onLoop { store.calls }
        peerRecords(from = 1, "second", "third")
        peerRecords(from = 2, "third", "fourth")
        peerProgress(4)
        runBlocking { delay(300) }
        onLoop { values.toList() } shouldBe listOf("first", "second", "third", "fourth")
        onLoop { store.calls } shouldBe before
    }

    @Test
    fun `the store is read if records that a peer reports do not arrive`() {
        follow(sharedBy())
        peerProgress(1)
        runBlocking { delay(100) }
        onLoop { store.put("keyed.t", "k", "second") }
        peerRecords(from = 2, "third")
        onLoop { values.toList() } shouldBe listOf("first")
        peerProgress(2)
        await { "second" in values }
    }

    @Test
    fun `the store is read if a peer that shares its records falls silent`() {
        follow(sharedBy(peerSilenceMs = 200))
        peerProgress(1)
        onLoop { store.put("keyed.t", "k", "second") }
        await { "second" in values }
    }

    // A page of an older read must not replace newer values.
    @Test
    fun `records that a peer has shared during a read are not applied again`() {
        follow(FollowRules(staleMs = 60_000, waitMs = 5_000, maxLagMs = 100))
        runBlocking { delay(100) }
        peerRecords(from = 1, "second", "third")
        onLoop { store.put("keyed.t", "k", "second") }
        runBlocking { delay(200) }
        onLoop { values.toList() } shouldBe listOf("first", "second", "third")
        onLoop { follower.end } shouldBe LogOffset(3)
    }
}
