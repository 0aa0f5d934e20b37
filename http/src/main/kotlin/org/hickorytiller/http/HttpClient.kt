/**
 * Opens HTTP connections and keeps idle ones for later requests to the same address.
 */
package org.hickorytiller.http

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.coroutines.withTimeoutOrNull
import java.net.InetSocketAddress
import kotlin.coroutines.resume

/**
 * A client that keeps a small pool of idle connections for each address. Confined to the event loop of [group], which
 * must have one thread.
 */
class HttpClient(private val group: EventLoopGroup, private val limits: HttpLimits) {
    private val idleConnections = HashMap<InetSocketAddress, ArrayDeque<ClientConnection>>()

    /** Opens a new connection to [address]. */
    suspend fun connect(address: InetSocketAddress): Either<HttpFault, ClientConnection> {
        val queue = InboundQueue()
        val decoder = ResponseDecoder(limits)
        val initializer =
            object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    channel.pipeline().addLast(ArrivalNotifier(queue), decoder, HttpRequestEncoder(), queue)
                }
            }
        val future =
            Bootstrap()
                .group(group)
                .channel(NioSocketChannel::class.java)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, boundedReads())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectTimeoutMs.toInt())
                .handler(initializer)
                .connect(address)
        val channel = future.awaitChannel() ?: return HttpFault.UNREACHABLE.left()
        val connection = ClientConnection(channel, queue, decoder, limits, address)
        channel.closeFuture().addListener { removeFromIdle(connection) }
        return connection.right()
    }

    /** Returns an idle connection to [address], or opens a new one. */
    suspend fun acquire(address: InetSocketAddress): Either<HttpFault, ClientConnection> {
        val connections = idleConnections[address]
        while (connections != null) {
            val connection = connections.removeLastOrNull() ?: break
            if (connection.isReusable && !connection.hasExpired) return connection.apply { isReused = true }.right()
            connection.close()
        }
        return connect(address)
    }

    /** Keeps [connection] for a later request if it is reusable and the pool has room, otherwise closes it. */
    fun release(connection: ClientConnection) {
        if (connection.isReusable && (idleConnections[connection.address]?.size ?: 0) < MAX_IDLE_PER_ADDRESS) {
            connection.markIdle()
            idleConnections.getOrPut(connection.address) { ArrayDeque() }.addLast(connection)
        } else {
            connection.close()
        }
    }

    /** Sends a request on a pooled connection and collects the response within [timeoutMs]. */
    suspend fun call(
        address: InetSocketAddress,
        head: RequestHead,
        body: ByteArray = ByteArray(0),
        timeoutMs: Long = limits.bodyTimeoutMs,
    ): Either<HttpFault, Response> = acquire(address).flatMap { exchange(it, head, body, timeoutMs) }

    /** Does the same as [call] on a connection that no request was sent on before. */
    suspend fun callOnNewConnection(
        address: InetSocketAddress,
        head: RequestHead,
        body: ByteArray,
        timeoutMs: Long,
    ): Either<HttpFault, Response> = connect(address).flatMap { exchange(it, head, body, timeoutMs) }

    private suspend fun exchange(
        connection: ClientConnection,
        head: RequestHead,
        body: ByteArray,
        timeoutMs: Long,
    ): Either<HttpFault, Response> {
        try {
            return withTimeoutOrNull(timeoutMs) {
                connection.send(head, body)
                connection.receiveHead(timeoutMs).flatMap { responseHead ->
                    connection.receiveBody(timeoutMs).map { Response(responseHead, it) }
                }
            } ?: HttpFault.TIMEOUT.left()
        } finally {
            release(connection)
        }
    }

    private fun removeFromIdle(connection: ClientConnection) {
        val connections = idleConnections[connection.address] ?: return
        connections.remove(connection)
        if (connections.isEmpty()) idleConnections.remove(connection.address)
    }

    private suspend fun ChannelFuture.awaitChannel(): Channel? = suspendCancellableCoroutine { continuation ->
        addListener {
            if (continuation.isActive) {
                continuation.resume(if (isSuccess) channel() else null)
            } else {
                channel().close()
            }
        }
    }

    private companion object {
        const val MAX_IDLE_PER_ADDRESS = 32
    }
}
