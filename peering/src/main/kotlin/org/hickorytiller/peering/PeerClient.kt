/** The client side of the peer protocol: persistent links and single calls. */
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

/** Why a call to a peer failed. */
enum class PeerFailure { UNREACHABLE, TOO_LARGE }

/** Maintains links to peers and calls them. Confined to the event loop of [group], which has one thread. */
class PeerClient(
    private val group: EventLoopGroup,
    private val scope: CoroutineScope,
    private val linkRegistry: PeerLinkRegistry,
    private val counters: PeerCounters,
    private val limits: PeerLimits = PeerLimits(),
    private val clock: Clock = monotonicClock,
) {
    private val linkTasks = HashMap<String, Job>()

    /** Maintains a link to each of [addresses] and closes the links to all others. */
    fun setTargets(addresses: Set<String>) {
        (linkTasks.keys - addresses).forEach { linkTasks.remove(it)?.cancel() }
        (addresses - linkTasks.keys).forEach { address ->
            val socket = parseAddress(address) ?: return@forEach
            linkTasks[address] = scope.launch { maintainLink(socket) }
        }
    }

    /** Closes all links. */
    fun close() = setTargets(emptySet())

    /** Maintains one link. Each stream uses a new connection, since the old one may be broken permanently. */
    private suspend fun maintainLink(address: InetSocketAddress): Nothing {
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
            delay(limits.reconnectDelayMs)
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

    /** Fetches the configuration of the peer at [address]; null if it is not later than [known]. */
    suspend fun fetchConfiguration(
        address: InetSocketAddress,
        known: LogOffset,
    ): Either<PeerFailure, EncodedConfiguration?> = call(address) { stub ->
        val state = ByteArrayOutputStream()
        var offset: Long? = null
        val request = FetchConfigurationRequest.newBuilder().setKnownOffset(known.value).build()
        stub.fetchConfiguration(request).collect { chunk ->
            if (state.size() + chunk.state.size() > limits.maxConfigurationBytes) throw TooLargeException()
            offset = chunk.offset
            chunk.state.writeTo(state)
        }
        offset?.let { EncodedConfiguration(LogOffset(it), state.toByteArray()) }
    }

    /** Asks the router at [address] for the status of a request. */
    suspend fun queryIntent(address: InetSocketAddress, query: IntentQuery): Either<PeerFailure, IntentQueryResult> =
        call(address) { it.queryIntent(query.toRequest()).toResult() }

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
        block: suspend (PeerGrpcKt.PeerCoroutineStub) -> T,
    ): Either<PeerFailure, T> {
        val channel = channel(address, limits.maxMessageBytes)
        return try {
            val result = withTimeoutOrNull(limits.callTimeoutMs) { block(stub(channel)).right() }
            result ?: PeerFailure.UNREACHABLE.left()
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
        .withOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectTimeoutMs.toInt())
        .maxInboundMessageSize(maxBytes)
        .usePlaintext()
        .build()

    private class TooLargeException : CancellationException("the configuration exceeds the size limit")
}
