package org.hickorytiller.router

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.KeyHash
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.TimeMs
import org.hickorytiller.membership.Drain
import org.hickorytiller.membership.DrainLimits
import org.hickorytiller.peering.LinkHandler
import org.hickorytiller.peering.PeerMessageBuilder
import org.hickorytiller.timeline.EventKind
import java.net.InetSocketAddress

class WithdrawalSyncTest : AnnotationSpec() {
    private class Side {
        val withdrawn = LinkedHashSet<KeyHash>()
        var flushes = 0
        val sync = WithdrawalSync({ withdrawn }, { withdrawn.add(it) }, { flushes++ })
    }

    private fun hash(index: Int) = KeyHash("%064x".format(index))

    /** Sends one message and returns its hashes. It is lost if [to] is null. */
    private fun send(from: LinkHandler, to: LinkHandler?): List<KeyHash> {
        val message = PeerMessageBuilder().also(from.fill).build(null, 1, 1)
        to?.consume?.invoke(message)
        return message.withdrawnKeys
    }

    @Test
    fun `a withdrawal is resent until the peer confirms it, and then no longer`() {
        val (a, b) = Side() to Side()
        val (atA, atB) = a.sync.open() to b.sync.open()
        a.withdrawn += hash(1)
        send(atA, null) shouldContainExactly listOf(hash(1))
        send(atA, atB) shouldContainExactly listOf(hash(1))
        b.withdrawn shouldBe setOf(hash(1))
        b.flushes shouldBe 1
        send(atB, atA) shouldContainExactly listOf(hash(1))
        repeat(3) {
            send(atA, atB) shouldBe emptyList()
            send(atB, atA) shouldBe emptyList()
        }
        val newLink = a.sync.open()
        send(newLink, null) shouldContainExactly listOf(hash(1))
    }

    @Test
    fun `many withdrawals are split over several messages`() {
        val (a, b) = Side() to Side()
        val (atA, atB) = a.sync.open() to b.sync.open()
        a.withdrawn += List(2_500) { hash(it) }
        val builders = List(3) { PeerMessageBuilder().also(atA.fill) }
        builders.map { it.withdrawnKeys.size } shouldContainExactly listOf(1_000, 1_000, 1_000)
        builders.map { it.hasMore } shouldContainExactly listOf(true, true, false)
        builders.forEach { atB.consume(it.build(null, 1, 1)) }
        b.withdrawn shouldBe a.withdrawn
        repeat(3) { send(atB, atA) }
        send(atA, atB) shouldBe emptyList()
    }
}

class DrainTaskTest : AnnotationSpec() {
    @OptIn(ExperimentalCoroutinesApi::class)
    @Test
    fun `the process does not exit before the shutdown functions have run and the last request has ended`() = runTest {
        val steps = ArrayList<String>()
        val clock = { TimeMs(currentTime + 100_000) }
        val drain = Drain(DrainLimits(addressLifetimeMs = 10_000))
        val task =
            DrainTask(drain, clock, { steps += "leaving" }, { steps += "end" }) { kind, _, _ -> steps += kind.name.lowercase() }
        var interruptions = 1
        task.onShutdown("usage flush") {
            steps += "flush at $currentTime with ${drain.inFlight} in flight"
            if (interruptions-- > 0) {
                drain.requestStarted(clock())
                launch {
                    delay(10_500)
                    drain.requestEnded(clock())
                }
            }
        }
        task.onShutdown("fails") { error("the log is down") }
        task.onShutdown("hangs") { delay(1_000_000) }
        launch { task.run() }
        advanceTimeBy(5_000)
        steps shouldBe emptyList()
        task.begin() shouldBe true
        task.begin() shouldBe false
        task.ended.await()
        steps shouldContainExactly listOf(
            "leaving",
            "drain_started",
            "drain_closing",
            "flush at 17000 with 0 in flight",
            "flush at 28500 with 0 in flight",
            "drain_ended",
            "end",
        )
    }
}

class StateEventsTest : AnnotationSpec() {
    private fun server(name: String, state: BackendServerState) = BackendServer(
        BackendServerId(name),
        PoolId("chat"),
        InetSocketAddress("127.0.0.1", 1),
        FailureDomain("zone-a"),
        state,
        4,
        false,
    )

    private fun list(vararg servers: BackendServer) = servers.associateBy { it.id }

    private data class Case(val before: Map<BackendServerId, BackendServer>, val after: Map<BackendServerId, BackendServer>, val events: List<EventKind>)

    @Test
    fun `each change of a backend server yields one event`() {
        val running = server("e", BackendServerState.RUNNING)
        val leaving = server("e", BackendServerState.LEAVING)
        listOf(
            Case(list(), list(running), listOf(EventKind.BACKEND_SERVER_ADDED)),
            Case(list(running), list(running), emptyList()),
            Case(list(running), list(leaving), listOf(EventKind.BACKEND_SERVER_LEAVING)),
            Case(list(leaving), list(leaving), emptyList()),
            Case(list(leaving), list(), listOf(EventKind.BACKEND_SERVER_REMOVED)),
            Case(list(), list(leaving), listOf(EventKind.BACKEND_SERVER_ADDED, EventKind.BACKEND_SERVER_LEAVING)),
        ).forAll { case -> differences(case.before, case.after).map { it.first } shouldContainExactly case.events }
    }
}
