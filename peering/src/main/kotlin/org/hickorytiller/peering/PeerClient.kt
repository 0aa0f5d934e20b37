/** The connecting side of the peer protocol: links that are kept open, and single calls. */
package org.hickorytiller.peering

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.grpc.ManagedChannel
import io.grpc.StatusException
import io.grpc.netty.NettyChannelBuilder
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioSocketChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.consumeAsFlow
import kotlinx.coroutines.flow.produceIn
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.hickorytiller.core.Clock
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.monotonicClock
import org.hickorytiller.core.parseAddress
import org.hickorytiller.peering.generated.FetchConfigurationRequest
import org.hickorytiller.peering.generated.PeerEnvelope
import org.hickorytiller.peering.generated.PeerGrpcKt
import org.hickorytiller.peering.generated.RecordIntentsRequest
import java.io.ByteArrayOutputStream
import java.net.InetSocketAddress

/** Why a call to a peer gave no answer. */
enum class PeerFailure { UNREACHABLE, TOO_LARGE }

/** Links to peers. Confined to the event loop of [group], which has one thread. */
class PeerClient(
    private val group: EventLoopGroup,
    private val scope: CoroutineScope,
    private val linkRegistry: PeerLinkRegistry,
    private val counters: PeerCounters,
    private val limits: PeerLimits = PeerLimits(),
    private val clock: Clock = monotonicClock,
) {
    private val tasks = HashMap<String, Job>()

    /** Keeps a link to each of [addresses], and ends the links to all others. */
    fun setTargets(addresses: Set<String>) {
        (tasks.keys - addresses).forEach { tasks.remove(it)?.cancel() }
        (addresses - tasks.keys).forEach { address ->
            val socket = parseAddress(address) ?: return@forEach
            tasks[address] = scope.launch { keepLink(socket) }
        }
    }

    /** Ends all links. */
    fun close() = setTargets(emptySet())

    /** Keeps one link: each stream gets a connection of its own, since the old one may be silent for good. */
    private suspend fun keepLink(address: InetSocketAddress): Nothing {
        while (true) {
            val channel = channel(address, limits.maxMessageBytes)
            try {
                val session = PeerSession(linkRegistry, clock, limits, counters, inbound = false)
                val end = runStream(channel, session)
                val peer = session.peer
                if (peer == null) counters.count("link_${end.reason}") else counters.linkEnded("${peer.id}", end.reason)
            } finally {
                channel.shutdownNow()
            }
            delay(limits.reconnectMs)
        }
    }

    private suspend fun runStream(channel: ManagedChannel, session: PeerSession): LinkCloseReason = try {
        coroutineScope {
            val outgoing = Channel<PeerEnvelope>()
            val messages = stub(channel).exchange(outgoing.consumeAsFlow()).produceIn(this)
            session.run(messages, outgoing::send).also { coroutineContext.cancelChildren() }
        }
    } catch (_: StatusException) {
        if (session.peer == null) LinkCloseReason.UNREACHABLE else LinkCloseReason.CLOSED
    }

    /** Fetches the configuration of the peer at [address] if it is later than [known]; null if it is not. */
    suspend fun fetchConfiguration(
        address: InetSocketAddress,
        known: LogOffset,
    ): Either<PeerFailure, EncodedConfiguration?> = call(address) { stub ->
        val state = ByteArrayOutputStream()
        var offset: Long? = null
        val request = FetchConfigurationRequest.newBuilder().setKnownOffset(known.value).build()
        stub.fetchConfiguration(request).collect { part ->
            if (state.size() + part.state.size() > limits.maxConfigurationBytes) throw TooLargeException()
            offset = part.offset
            part.state.writeTo(state)
        }
        offset?.let { EncodedConfiguration(LogOffset(it), state.toByteArray()) }
    }

    /** Asks the router at [address] what became of a request. */
    suspend fun queryIntent(address: InetSocketAddress, query: IntentQuery): Either<PeerFailure, IntentQueryResult> =
        call(address) { it.queryIntent(query.toRequest()).toAnswer() }

    /** Asks the router at [address] to append [intents]; null if it is unknown whether they were appended. */
    suspend fun recordIntents(
        address: InetSocketAddress,
        partition: Int,
        intents: List<PeerIntent>,
    ): Either<PeerFailure, LogOffset?> = call(address) { stub ->
        val request =
            RecordIntentsRequest.newBuilder().setPartition(partition).addAllIntents(intents.map { it.toRecord() })
        val reply = stub.recordIntents(request.build())
        if (reply.recorded) LogOffset(reply.offset) else null
    }

    private suspend fun <T> call(
        address: InetSocketAddress,
        ask: suspend (PeerGrpcKt.PeerCoroutineStub) -> T,
    ): Either<PeerFailure, T> {
        val channel = channel(address, limits.maxMessageBytes)
        return try {
            val answer = withTimeoutOrNull(limits.callMs) { ask(stub(channel)).right() }
            answer ?: PeerFailure.UNREACHABLE.left()
        } catch (_: StatusException) {
            PeerFailure.UNREACHABLE.left()
        } catch (_: TooLargeException) {
            PeerFailure.TOO_LARGE.left()
        } finally {
            channel.shutdownNow()
        }
    }

    private fun stub(channel: ManagedChannel) = PeerGrpcKt.PeerCoroutineStub(channel)

    private fun channel(address: InetSocketAddress, maxBytes: Int): ManagedChannel = NettyChannelBuilder
        .forAddress(address)
        .channelType(NioSocketChannel::class.java)
        .eventLoopGroup(group)
        .executor(group.next())
        .withOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectMs.toInt())
        .maxInboundMessageSize(maxBytes)
        .usePlaintext()
        .build()

    private class TooLargeException : CancellationException("the configuration is too large")
}
