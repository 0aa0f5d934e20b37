package org.hickorytiller.daemon

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.hickorytiller.core.ClockReading
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.monotonicClock
import org.hickorytiller.http.EventLoop
import org.hickorytiller.http.HttpClient
import org.hickorytiller.http.HttpLimits
import org.hickorytiller.placement.Placement
import org.hickorytiller.platform.FollowRules
import org.hickorytiller.platform.StoreClient
import org.hickorytiller.standins.PlatformStoreStandIn
import java.net.InetSocketAddress

class ServerViewTest : AnnotationSpec() {
    private lateinit var loop: EventLoop
    private lateinit var store: PlatformStoreStandIn
    private lateinit var view: ServerView
    private lateinit var placement: Placement
    private lateinit var health: DependencyHealth

    @BeforeEach
    fun start() {
        loop = EventLoop()
        store = PlatformStoreStandIn()
        placement = Placement(monotonicClock)
        health = DependencyHealth("store", monotonicClock)
        val server = store.start(loop.group, loop.scope, InetSocketAddress("127.0.0.1", 0))
        view =
            ServerView(
                StoreClient(HttpClient(loop.group, HttpLimits()), server.address),
                monotonicClock,
                { ClockReading(monotonicClock(), System.currentTimeMillis()) },
                loop.scope,
                ServerListeners(placement::replace, shareRecords = { _, _ -> }),
                health,
                FollowRules(staleMs = 60_000, waitMs = 30),
                isReader = { false },
            )
        onLoop { store.put(TOPIC, "i-1", ENTRY) }
        loop.scope.launch { view.run() }
        await { servers() == 1 }
        onLoop { view.onPeerProgress(LogOffset(1)) }
        runBlocking { delay(200) }
    }

    @AfterEach
    fun stop() = loop.close()

    private fun <T> onLoop(block: suspend () -> T): T = runBlocking { withContext(loop.scope.coroutineContext) { block() } }

    private fun servers() = placement.servers(PoolId("p")).size

    /** Waits until [condition] holds and returns the time in ms; fails after ten seconds, far more than a run needs. */
    private fun await(condition: () -> Boolean): Long {
        val startedAt = monotonicClock()
        while (!onLoop { condition() }) {
            check(monotonicClock() - startedAt < 10_000) { "the condition did not hold within 10 s" }
            runBlocking { delay(10) }
        }
        return monotonicClock() - startedAt
    }

    @Test
    fun `a server without an entry is removed`() {
        onLoop {
            view.onPeerProgress(LogOffset(1))
            store.put(TOPIC, "i-1", null)
        }
        await { servers() == 0 }
    }

    /** Regression test: one unreadable entry ended every daemon that read it, again at each start (review/1). */
    @Test
    fun `an entry that cannot be read leaves the other servers in use`() {
        // Jackson assumes UTF-32 because of the zero bytes.
        val entries = listOf("\u0000\u0000\u0000\u0010\u007f\u007f\u007f\u007f", "[".repeat(5_000), ENTRY.replace(":9", ":99999"))
        entries.forEachIndexed { index, entry -> onLoop { store.put(TOPIC, "odd-$index", entry) } }
        onLoop { store.put(TOPIC, "i-2", ENTRY) }
        await { servers() == 2 }
        // A host that has just started reads the newest record of each key.
        onLoop { store.compact(TOPIC) }
        onLoop { store.put(TOPIC, "i-3", ENTRY) }
        await { servers() == 3 }
    }

    @Test
    fun `live servers are kept for a while after their entries expire in an unnoticed outage`() {
        // Neither a read nor a peer reports anything meanwhile, as in an outage shorter than the stale limit.
        runBlocking { delay(2_800) }
        onLoop { store.put(TOPIC, "i-1", null) }
        await { servers() == 0 } shouldBeGreaterThanOrEqual 1_500
        onLoop { servers() } shouldBe 0
    }

    /**
     * Regression test: a removed server received requests for 2,014 ms (check DRAIN of the bench scenario scale-2 on
     * andamio-cl, `--seed 298024510509`).
     */
    @Test
    fun `a server that is removed after an outage receives requests for at most two seconds`() {
        onLoop {
            store.outageStatus = 503
            // Ends the pending read.
            store.put(TOPIC, "i-1", ENTRY)
        }
        await { health.lastFailureAt != null }
        onLoop { store.outageStatus = null }
        await { servers() == 1 }
        runBlocking { delay(300) }
        onLoop { store.put(TOPIC, "i-2", ENTRY) }
        await { servers() == 2 }
        onLoop { store.put(TOPIC, "i-1", null) }
        await { servers() == 1 } shouldBeLessThan 2_000
    }

    private companion object {
        const val TOPIC = "keyed.servers"
        const val ENTRY = """{"service":"p","addr":"127.0.0.1:9","zone":"z","slots":6,"state":"ready","born":1}"""
    }
}
