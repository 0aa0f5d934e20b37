package org.hickorytiller.peering

import io.grpc.CallOptions
import io.grpc.ClientCall
import io.grpc.ManagedChannel
import io.grpc.Metadata
import io.grpc.MethodDescriptor
import io.grpc.Status
import io.grpc.netty.NettyChannelBuilder
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.withContext
import org.hickorytiller.core.HostId
import org.hickorytiller.core.KeyHash
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.ProcessId
import org.hickorytiller.peering.generated.PeerEnvelope
import java.io.ByteArrayInputStream
import java.io.InputStream
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/** Tests the peer protocol over gRPC on the loopback address. */
class PeerContractTest : AnnotationSpec() {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val dispatcher = group.next().asCoroutineDispatcher()
    private val tasks = CoroutineScope(SupervisorJob() + dispatcher)

    /** One process with a server and a client, on the shared event loop. */
    private inner class Peer(name: String, calls: PeerCallHandlers = PeerCallHandlers(), accepts: AcceptPeer = { _, _ -> true }) {
        val id = MemberId(HostId(name), MemberRole.ROUTER)
        val known = LinkedHashSet<KeyHash>()
        val counters = PeerCounters()
        val linkRegistry = PeerLinkRegistry({ PeerIdentity(id, ProcessId("$name-1")) to 1L }, accepts)
        val peerClient = PeerClient(group, tasks, linkRegistry, counters)
        val server: PeerServer
        val address get() = InetSocketAddress("127.0.0.1", server.port)

        init {
            linkRegistry.registerHandler { _, _ -> LinkHandler({ it.withdrawnKeys += known }, { message -> known += message.withdrawnKeys }) }
            server = PeerServer.Builder(linkRegistry, calls, counters).start(group, InetSocketAddress("127.0.0.1", 0))
        }

        suspend fun setTargets(vararg peers: Peer) = withContext(dispatcher) { peerClient.setTargets(peers.map { "127.0.0.1:${it.server.port}" }.toSet()) }
    }

    @AfterAll
    fun stop() {
        tasks.cancel()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    @Test
    suspend fun `one link carries updates in both directions`() {
        val (a, b) = Peer("a") to Peer("b")
        a.known += hash("1")
        b.known += hash("2")
        a.setTargets(b)
        eventually(3.seconds) {
            a.known shouldBe setOf(hash("1"), hash("2"))
            b.known.toSet() shouldBe a.known
            a.linkRegistry.linkCount() shouldBe 1
            b.linkRegistry.inboundPeers() shouldBe setOf(a.id)
        }
    }

    @Test
    suspend fun `a flush sends an update before the next heartbeat`() {
        val (a, b) = Peer("a") to Peer("b")
        a.setTargets(b)
        eventually(3.seconds) { b.linkRegistry.inboundPeers() shouldBe setOf(a.id) }
        val start = System.nanoTime()
        withContext(dispatcher) {
            a.known += hash("3")
            a.linkRegistry.flushLinks()
        }
        eventually(3.seconds) { b.known shouldBe setOf(hash("3")) }
        println("FIG flushed update over loopback after ${(System.nanoTime() - start) / 1_000_000} ms")
    }

    @Test
    suspend fun `a link is re-established after the peer has restarted`() {
        val (a, b) = Peer("a") to Peer("b")
        a.setTargets(b)
        eventually(3.seconds) { a.linkRegistry.linkCount() shouldBe 1 }
        val address = b.address
        b.server.close()
        eventually(3.seconds) { a.linkRegistry.linkCount() shouldBe 0 }
        val restarted = Peer("b2")
        val server = PeerServer.Builder(restarted.linkRegistry, PeerCallHandlers(), restarted.counters).start(group, address)
        eventually(4.seconds) { restarted.linkRegistry.inboundPeers() shouldBe setOf(a.id) }
        server.close()
    }

    @Test
    suspend fun `a silent stream is closed within 2 s`() {
        val a = Peer("a")
        val raw = RawStream(a.server.port)
        val start = System.nanoTime()
        raw.send(envelope("silent", 1).toByteArray())
        raw.closed.get(4, TimeUnit.SECONDS)
        val elapsedMs = (System.nanoTime() - start) / 1_000_000
        println("FIG silent link closed after $elapsedMs ms")
        elapsedMs shouldBeLessThan 2_000
        eventually(1.seconds) { a.counters["link_silent"] shouldBe 1 }
        raw.close()
    }

    private data class BadInput(val fault: String, val messages: List<ByteArray>, val counter: String)

    @Test
    suspend fun `invalid input is rejected and does not affect other links`() {
        val a = Peer("a", accepts = { peer, incarnation -> peer.id.host.value != "stale" || incarnation > 5 })
        val good = Peer("good")
        good.setTargets(a)
        eventually(3.seconds) { a.linkRegistry.inboundPeers() shouldBe setOf(good.id) }
        val named = envelope("bad", 1).toByteArray()
        val hash = hash("f").value
        listOf(
            BadInput("no protobuf", listOf(ByteArray(50) { 0xff.toByte() }), "stream_"),
            BadInput("a message over the limit", listOf(ByteArray(300_000)), "stream_resource_exhausted"),
            BadInput("no name in the first message", listOf(envelope("", 1).toByteArray()), "link_unnamed"),
            BadInput("an unknown role", listOf(envelope("bad", 1) { senderRole = "x" }.toByteArray()), "malformed_role"),
            BadInput("sequence 0", listOf(envelope("bad", 0).toByteArray()), "malformed_sequence"),
            BadInput("incarnation 0", listOf(envelope("bad", 1) { incarnation = 0 }.toByteArray()), "malformed_incarnation"),
            BadInput("a hash that is none", listOf(envelope("bad", 1) { addWithdrawnKeyHashes("zz") }.toByteArray()), "malformed_key_hash"),
            BadInput("a replayed message", listOf(named, envelope("bad", 1) { addWithdrawnKeyHashes(hash) }.toByteArray()), "message_replayed"),
            BadInput(
                "a message of an older run",
                listOf(named, envelope("bad", 2) { setIncarnation(1).addWithdrawnKeyHashes(hash) }.toByteArray()),
                "message_outdated_incarnation",
            ),
            BadInput("an outdated run", listOf(envelope("stale", 1) { incarnation = 5 }.toByteArray()), "link_refused"),
        ).forEach { case ->
            val before = a.counters.all().filterKeys { it.startsWith(case.counter) }.values.sum()
            val raw = RawStream(a.server.port)
            case.messages.forEach(raw::send)
            eventually(3.seconds) {
                io.kotest.assertions.withClue(case.fault) {
                    a.counters.all().filterKeys { it.startsWith(case.counter) }.values.sum() shouldBeGreaterThan before
                }
            }
            raw.close()
        }
        a.known shouldBe emptySet()
        a.linkRegistry.inboundPeers().filter { it == good.id } shouldBe listOf(good.id)
        a.counters["link_silent"] shouldBe 0
    }

    @Test
    suspend fun `a configuration larger than a message is transferred completely`() {
        val state = ByteArray(1_000_000) { it.toByte() }
        listOf(0, 1, 65_536, 1_000_000).forEach { size ->
            val server = Peer("a", PeerCallHandlers({ known -> EncodedConfiguration(LogOffset(7), state.copyOf(size)).takeIf { known < it.offset } }))
            val client = Peer("b")
            withContext(dispatcher) {
                val copy = client.peerClient.fetchConfiguration(server.address, LogOffset.NONE).getOrNull()
                copy?.offset shouldBe LogOffset(7)
                copy?.state.contentEquals(state.copyOf(size)) shouldBe true
                client.peerClient.fetchConfiguration(server.address, LogOffset(7)).fold({ "failed" }, { it }) shouldBe null
            }
        }
    }

    @Test
    suspend fun `intent calls transfer all fields and fail on an unreachable peer`() {
        val recorded = ArrayList<PeerIntent>()
        val calls = PeerCallHandlers(
            handleIntentQuery = { IntentQueryResult(if (it.idempotencyKey == "k") IntentOutcome.RAN else IntentOutcome.UNKNOWN, 201, "body".toByteArray()) },
            recordIntents = { partition, intents ->
                recorded += intents
                LogOffset(partition + 40L)
            },
        )
        val (server, client) = Peer("a", calls) to Peer("b")
        val intent = PeerIntent(org.hickorytiller.core.CustomerId("c"), "k", "digest", HostId("b"))
        withContext(dispatcher) {
            val answer = client.peerClient.queryIntent(server.address, IntentQuery(intent.customer, "k")).getOrNull()
            answer?.outcome shouldBe IntentOutcome.RAN
            answer?.status shouldBe 201
            String(answer?.body ?: ByteArray(0)) shouldBe "body"
            client.peerClient.recordIntents(server.address, 3, listOf(intent)).getOrNull() shouldBe LogOffset(43)
            recorded shouldBe listOf(intent)
            val unreachable = InetSocketAddress("127.0.0.1", 1)
            client.peerClient.queryIntent(unreachable, IntentQuery(intent.customer, "k")).leftOrNull() shouldBe PeerFailure.UNREACHABLE
        }
    }

    private fun hash(digit: String) = KeyHash(digit.repeat(64))

    private fun envelope(host: String, sequence: Long, change: PeerEnvelope.Builder.() -> Unit = {}): PeerEnvelope = PeerEnvelope.newBuilder()
        .setSenderHost(host)
        .setSenderProcess(host)
        .setSenderRole("router")
        .setIncarnation(2)
        .setSequence(sequence)
        .apply(change)
        .build()

    /** A stream that sends arbitrary bytes as messages. */
    private class RawStream(port: Int) {
        val closed = CompletableFuture<Status>()
        private val channel: ManagedChannel = NettyChannelBuilder.forAddress("127.0.0.1", port).usePlaintext().build()
        private val call: ClientCall<ByteArray, ByteArray>

        init {
            val bytes = object : MethodDescriptor.Marshaller<ByteArray> {
                override fun stream(value: ByteArray): InputStream = ByteArrayInputStream(value)

                override fun parse(stream: InputStream): ByteArray = stream.readAllBytes()
            }
            val method = MethodDescriptor.newBuilder(bytes, bytes)
                .setType(MethodDescriptor.MethodType.BIDI_STREAMING)
                .setFullMethodName("hickorytiller.peering.Peer/Exchange")
                .build()
            call = channel.newCall(method, CallOptions.DEFAULT)
            val listener = object : ClientCall.Listener<ByteArray>() {
                override fun onClose(status: Status, trailers: Metadata) {
                    closed.complete(status)
                }
            }
            call.start(listener, Metadata())
            call.request(1_000)
        }

        fun send(message: ByteArray) = call.sendMessage(message)

        fun close() {
            channel.shutdownNow()
        }
    }
}

class PeerMessageCodecTest : AnnotationSpec() {
    @Test
    fun `all fields of a message survive encoding and decoding`() {
        val id = MemberId(HostId("h"), MemberRole.CONTROLLER)
        val full = PeerMessage(
            PeerIdentity(id, ProcessId("p")),
            3,
            4,
            LogOffset(5),
            600,
            listOf(
                MemberRecord(id, ProcessId("p"), org.hickorytiller.core.FailureDomain("z"), 3, 2, MemberState.LEAVING, "127.0.0.1:1", "127.0.0.1:2", "[::1]:3"),
            ),
            listOf(Suspicion(id, 3, MemberId(HostId("o"), MemberRole.ROUTER), 9, true)),
            -7,
            listOf(1, -2),
            listOf(KeyHash("a".repeat(64))),
            listOf(QuarantineNotice("f", 10)),
            listOf(EvictionNotice(org.hickorytiller.core.FailureDomain("z"), 20)),
            DemandReport(
                1,
                listOf(ClassDemand(org.hickorytiller.core.PoolId("p"), org.hickorytiller.core.ClassId("c"), org.hickorytiller.core.Tier(1), 1, 2, 3)),
                listOf(CustomerCharge(org.hickorytiller.core.PoolId("p"), org.hickorytiller.core.ClassId("c"), org.hickorytiller.core.CustomerId("u"), 4, 5, 6)),
                listOf(ServerInFlight(org.hickorytiller.core.BackendServerId("b"), 7)),
            ),
        )
        listOf(full, PeerMessage(incarnation = 1, sequence = 1)).forAll { it.toEnvelope().toMessage().getOrNull() shouldBe it }
        listOf("10.0.0.1", "host:80").forAll { address ->
            full.copy(members = full.members.map { it.copy(peerAddress = address) }).toEnvelope().toMessage().leftOrNull()?.field shouldBe "members.peer_address"
        }
    }
}
