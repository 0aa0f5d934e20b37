package org.hickorytiller.membership

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.withContext
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.HostId
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.ProcessId
import org.hickorytiller.peering.MemberRecord
import org.hickorytiller.peering.MemberState
import java.net.ServerSocket
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/** Membership over real gRPC connections on the loopback address. */
class PeerNodeTest : AnnotationSpec() {
    private inner class Process(record: MemberRecord, contacts: List<Contact>) {
        private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        private val dispatcher = group.next().asCoroutineDispatcher()
        private val tasks = CoroutineScope(SupervisorJob() + dispatcher)
        val id = record.id
        val node = PeerNode(record, group, tasks, { contacts }, { NodeStatus(300, LogOffset(4)) })

        suspend fun <T> on(block: suspend (PeerNode) -> T): T = withContext(dispatcher) { block(node) }

        fun crash() {
            tasks.cancel()
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
        }
    }

    private fun freePort() = ServerSocket(0).use { it.localPort }

    @Test
    suspend fun `routers and controllers discover each other and detect a crash in time`() {
        val records = List(3) { member("host-$it").copy(peerAddress = "127.0.0.1:${freePort()}") }
        val contacts = records.take(1).map { Contact(it.id.host, it.peerAddress) }
        val routers = records.map { Process(it, contacts) }
        val controller = Process(controllerRecord(HostId("host-0"), ProcessId("c"), FailureDomain("zone-a")), contacts)
        val all = routers + controller
        all.forEach { it.node.start() }
        eventually(10.seconds) { all.forAll { process -> process.on { it.liveMembers().size } shouldBe 4 } }
        eventually(5.seconds) {
            routers[0].on { it.loadOf(routers[1].id.host) } shouldBe 300
            routers[0].on { it.peersWithNewerConfiguration(LogOffset(3)).size } shouldBe 2
        }
        routers[1].on { it.announceLeaving() }
        eventually(2.seconds) {
            all.forAll { process -> process.on { it.membership.table[routers[1].id]?.state } shouldBe MemberState.LEAVING }
        }
        val start = System.nanoTime()
        routers[2].crash()
        val others = all - routers[2]
        eventually(8.seconds) {
            others.forAll { process -> process.on { it.membership.table[routers[2].id]?.state } shouldBe MemberState.DEAD }
        }
        val elapsedMs = (System.nanoTime() - start) / 1_000_000
        println("FIG crash over real gRPC known by all after $elapsedMs ms")
        elapsedMs shouldBeLessThan 4_500
        others.forEach { it.crash() }
    }
}
