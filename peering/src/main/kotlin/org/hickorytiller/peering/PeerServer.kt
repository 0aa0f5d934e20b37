/** The server side of the peer protocol. gRPC runs on the event loop of the process, so no state needs a lock. */
package org.hickorytiller.peering

import com.google.protobuf.ByteString
import io.grpc.Metadata
import io.grpc.Server
import io.grpc.ServerStreamTracer
import io.grpc.Status
import io.grpc.netty.NettyServerBuilder
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.channels.SendChannel
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.asFlow
import kotlinx.coroutines.flow.channelFlow
import kotlinx.coroutines.flow.emptyFlow
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.flow.produceIn
import org.hickorytiller.core.Clock
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.monotonicClock
import org.hickorytiller.peering.generated.FetchConfigurationReply
import org.hickorytiller.peering.generated.FetchConfigurationRequest
import org.hickorytiller.peering.generated.PeerEnvelope
import org.hickorytiller.peering.generated.PeerGrpcKt
import org.hickorytiller.peering.generated.QueryIntentReply
import org.hickorytiller.peering.generated.QueryIntentRequest
import org.hickorytiller.peering.generated.RecordIntentsReply
import org.hickorytiller.peering.generated.RecordIntentsRequest
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/** An encoded configuration state and its offset. */
class EncodedConfiguration(val offset: LogOffset, val state: ByteArray)

/** Returns the configuration in effect; null if it is not later than the given offset. */
typealias FindConfiguration = (LogOffset) -> EncodedConfiguration?

/** Handlers for the calls of peers. */
class PeerCallHandlers(
    val findConfiguration: FindConfiguration = { null },
    val handleIntentQuery: HandleIntentQuery = { IntentQueryResult(IntentOutcome.UNKNOWN) },
    val recordIntents: RecordIntents = { _, _ -> null },
)

/** A running server of the peer protocol. */
class PeerServer private constructor(private val server: Server) : AutoCloseable {
    /** The local port; if port 0 was requested, the one that the system assigned. */
    val port: Int get() = server.port

    /** Closes all streams and stops listening. */
    override fun close() {
        server.shutdownNow()
    }

    /** Configures and starts a server whose links are registered in [linkRegistry]. */
    class Builder(
        private val linkRegistry: PeerLinkRegistry,
        private val calls: PeerCallHandlers,
        private val counters: PeerCounters,
        private val limits: PeerLimits = PeerLimits(),
        private val clock: Clock = monotonicClock,
    ) {
        /** Listens on [address]. Throws [java.io.IOException] if the address is in use. */
        fun start(group: EventLoopGroup, address: InetSocketAddress): PeerServer {
            val loop = group.next()
            val service = PeerService(linkRegistry, calls, counters, limits, clock, loop.asCoroutineDispatcher())
            val server =
                NettyServerBuilder
                    .forAddress(address)
                    .channelType(NioServerSocketChannel::class.java)
                    .bossEventLoopGroup(group)
                    .workerEventLoopGroup(group)
                    .executor(loop)
                    .maxInboundMessageSize(limits.maxMessageBytes)
                    .maxInboundMetadataSize(MAX_METADATA_BYTES)
                    .maxConcurrentCallsPerConnection(MAX_CALLS_PER_CONNECTION)
                    .maxConnectionIdle(MAX_IDLE_S, TimeUnit.SECONDS)
                    .addStreamTracerFactory(CountingTracerFactory(counters))
                    .addService(service)
                    .build()
                    .start()
            return PeerServer(server)
        }
    }

    private companion object {
        const val MAX_METADATA_BYTES = 4_096
        const val MAX_CALLS_PER_CONNECTION = 16
        const val MAX_IDLE_S = 30L
    }
}

/** Counts streams that gRPC itself closes, for example because a message is too large or not valid protobuf. */
private class CountingTracerFactory(private val counters: PeerCounters) : ServerStreamTracer.Factory() {
    override fun newServerStreamTracer(method: String, headers: Metadata) = object : ServerStreamTracer() {
        override fun streamClosed(status: Status) {
            if (!status.isOk) counters.count("stream_${status.code.name.lowercase()}")
        }
    }
}

private class PeerService(
    private val linkRegistry: PeerLinkRegistry,
    private val calls: PeerCallHandlers,
    private val counters: PeerCounters,
    private val limits: PeerLimits,
    private val clock: Clock,
    dispatcher: kotlin.coroutines.CoroutineContext,
) : PeerGrpcKt.PeerCoroutineImplBase(dispatcher) {
    override fun exchange(requests: Flow<PeerEnvelope>): Flow<PeerEnvelope> = channelFlow { runSession(requests, this) }

    private suspend fun runSession(
        requests: Flow<PeerEnvelope>,
        scope: kotlinx.coroutines.channels.ProducerScope<PeerEnvelope>,
    ) {
        val messages = requests.produceIn(scope)
        val session = PeerSession(linkRegistry, clock, limits, counters, inbound = true)
        try {
            val closeReason = session.run(messages, (scope as SendChannel<PeerEnvelope>)::send)
            counters.linkEnded(session.peer?.id.toString(), closeReason.reason)
        } finally {
            messages.cancel()
        }
    }

    override fun fetchConfiguration(request: FetchConfigurationRequest): Flow<FetchConfigurationReply> {
        val configuration = calls.findConfiguration(LogOffset(request.knownOffset)) ?: return emptyFlow()
        val chunks = (0..configuration.state.size step CHUNK_BYTES).asFlow()
        return chunks.map { from ->
            val length = minOf(CHUNK_BYTES, configuration.state.size - from)
            FetchConfigurationReply
                .newBuilder()
                .setOffset(configuration.offset.value)
                .setState(ByteString.copyFrom(configuration.state, from, length))
                .build()
        }
    }

    override suspend fun queryIntent(request: QueryIntentRequest): QueryIntentReply =
        calls.handleIntentQuery(request.toQuery()).toReply()

    override suspend fun recordIntents(request: RecordIntentsRequest): RecordIntentsReply =
        recordedReply(calls.recordIntents(request.partition, request.intentsList.map { it.toIntent() }))

    private companion object {
        const val CHUNK_BYTES = 65_536
    }
}
