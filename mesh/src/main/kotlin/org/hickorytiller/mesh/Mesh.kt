/** Sends the local host's status and evidence to all peers at an interval and receives theirs, one datagram each. */
package org.hickorytiller.mesh

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import kotlinx.coroutines.delay
import org.hickorytiller.core.parseTree
import org.hickorytiller.placement.LeavingNotice
import org.hickorytiller.placement.RateLimitNotice
import org.hickorytiller.quarantine.CrashEvidence
import java.net.InetSocketAddress

/** Builds the local host's status when it is sent. */
typealias BuildStatus = () -> HostStatus

/** Called for each status received; the flag is true if it is the first of its process run. */
typealias OnStatus = (HostStatus, Boolean) -> Unit

/** Builds the local host's evidence on crashes when it is sent. */
typealias BuildCrashEvidence = () -> CrashEvidence

/** Called for the evidence of a peer on crashes. */
typealias OnCrashEvidence = (CrashEvidence) -> Unit

/** Builds what servers stated to the local host about their rate limits. */
typealias BuildRateLimits = () -> List<RateLimitNotice>

/** Called for what servers stated to a peer. */
typealias OnRateLimits = (List<RateLimitNotice>) -> Unit

/** Builds what the local host knows of servers that leave. */
typealias BuildLeavingNotices = () -> List<LeavingNotice>

/** Called for what a peer knows of servers that leave. */
typealias OnLeavingNotices = (List<LeavingNotice>) -> Unit

/** Called for records that a peer has read from the platform's store. */
typealias OnTopicRecords = (TopicRecords) -> Unit

/** Functions that build the messages of the local host. */
class MeshSources(
    val status: BuildStatus,
    val crashEvidence: BuildCrashEvidence,
    val rateLimits: BuildRateLimits,
    val leavingNotices: BuildLeavingNotices,
)

/** Functions that are called for the messages of peers. */
class MeshListeners(
    val onStatus: OnStatus,
    val onCrashEvidence: OnCrashEvidence,
    val onTopicRecords: OnTopicRecords,
    val onRateLimits: OnRateLimits,
    val onLeavingNotices: OnLeavingNotices,
)

/** The exchange of messages between hosts. Confined to the event loop of [group], which must have one thread. */
class Mesh(
    private val group: EventLoopGroup,
    private val address: InetSocketAddress,
    private val peers: PeerTable,
    private val sources: MeshSources,
    private val listeners: MeshListeners,
    private val rules: MeshRules = MeshRules(),
) {
    private var channel: Channel? = null
    private var wasTooLong = false

    /** Starts receiving. Throws [java.net.BindException] if the address is in use. */
    fun listen() {
        channel =
            Bootstrap()
                .group(group)
                .channel(NioDatagramChannel::class.java)
                .option(ChannelOption.RECVBUF_ALLOCATOR, FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
                .handler(Receiver())
                .bind(address)
                .sync()
                .channel()
    }

    /** Sends the status until cancelled. The interval grows with the number of hosts to bound the load on each host. */
    suspend fun run() {
        while (true) {
            announce()
            val hosts = peers.destinations().size
            delay(rules.intervalMs.coerceAtLeast(hosts * INTERVAL_PER_HOST_MS).coerceAtMost(rules.silenceMs / 2))
        }
    }

    /** Sends the status and the evidence to all peers now. */
    fun announce() {
        val bytes = encodeStatus(sources.status())
        if (!logIfTooLong(bytes)) sendToAll(bytes)
        val evidence = sources.crashEvidence()
        if (!evidence.isEmpty) sendToAll(encodeCrashEvidence(evidence))
        val rateLimits = sources.rateLimits()
        if (rateLimits.isNotEmpty()) sendToAll(encodeRateLimits(rateLimits))
        val leavingNotices = sources.leavingNotices()
        if (leavingNotices.isNotEmpty()) sendToAll(encodeLeavingNotices(leavingNotices))
    }

    /** Sends [records] to all peers now. */
    fun share(records: TopicRecords) = records.divide(MAX_RECORD_BYTES).forEach { sendToAll(encodeTopicRecords(it)) }

    private fun sendToAll(bytes: ByteArray) = peers.destinations().filter { it != address }.forEach { send(bytes, it) }

    /** Returns whether [bytes] exceeds the limit of a datagram. Logs the first status in a row that does. */
    private fun logIfTooLong(bytes: ByteArray): Boolean {
        val isTooLong = bytes.size > MAX_DATAGRAM_BYTES
        if (isTooLong &&
            !wasTooLong
        ) {
            log.error { "event=status_too_long bytes=${bytes.size} limit=$MAX_DATAGRAM_BYTES" }
        }
        wasTooLong = isTooLong
        return isTooLong
    }

    private fun send(bytes: ByteArray, to: InetSocketAddress) {
        channel?.writeAndFlush(DatagramPacket(Unpooled.wrappedBuffer(bytes), to))
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(ctx: ChannelHandlerContext, packet: DatagramPacket) {
            val bytes = ByteArray(packet.content().readableBytes())
            packet.content().readBytes(bytes)
            val message = parseTree(bytes) ?: return
            val status = decodeStatus(message)
            if (status != null) return receive(status)
            val evidence = decodeCrashEvidence(message)
            if (evidence != null) return listeners.onCrashEvidence(evidence)
            val rateLimits = decodeRateLimits(message)
            if (rateLimits != null) return listeners.onRateLimits(rateLimits)
            val leavingNotices = decodeLeavingNotices(message)
            if (leavingNotices != null) return listeners.onLeavingNotices(leavingNotices)
            decodeTopicRecords(message)?.let(listeners.onTopicRecords)
        }

        private fun receive(status: HostStatus) {
            val isNew = peers.receive(status)
            listeners.onStatus(status, isNew)
            // A host that has just started learns its peers at once.
            if (isNew) send(encodeStatus(sources.status()), status.meshAddress)
        }

        @Deprecated("Netty's name for the callback")
        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            // A datagram to a host that is down may cause an ICMP error on this socket, which stays usable.
        }
    }

    private companion object {
        val log = KotlinLogging.logger {}
        const val MAX_DATAGRAM_BYTES = 16_384

        // Base64 makes the values a third longer; the limit leaves room for that and for the offsets.
        const val MAX_RECORD_BYTES = 8_192
        const val INTERVAL_PER_HOST_MS = 15L
    }
}
