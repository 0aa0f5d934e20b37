/**
 * Accepts HTTP connections and serves each of them in one coroutine on the connection's event loop.
 */
package org.hickorytiller.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpServerCodec
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.launch
import org.hickorytiller.core.Verdict
import java.net.InetSocketAddress

/** A listening HTTP endpoint. */
class HttpServer private constructor(
    private val channel: io.netty.channel.Channel,
    private val connections: Set<InboundQueue>,
) {
    /** The address that the server listens on; the port is the assigned one if port 0 was requested. */
    val address: InetSocketAddress get() = channel.localAddress() as InetSocketAddress

    /** Stops accepting connections. Open connections are served to their end. */
    fun close() {
        channel.close()
    }

    /**
     * Stops reading from all connections, before the process ends: what is not read is not lost by its end. Must be
     * called on the event loop.
     */
    fun stopReading() = connections.forEach { it.stopReading() }

    companion object {
        /**
         * Listens on [address] and runs [serve] for each connection in [scope]. The connection is closed when [serve]
         * returns. Throws [java.net.BindException] if the address is in use.
         */
        fun start(
            group: EventLoopGroup,
            scope: CoroutineScope,
            address: InetSocketAddress,
            limits: HttpLimits,
            serve: suspend (ServerConnection) -> Unit,
        ): HttpServer {
            val connections = HashSet<InboundQueue>()
            val initializer =
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        if (connections.size >= limits.maxConnections) return rejectConnection(channel)
                        val queue = InboundQueue()
                        connections += queue
                        channel.closeFuture().addListener { connections -= queue }
                        startConnection(channel, queue, scope, limits, serve)
                    }
                }
            val bootstrap =
                ServerBootstrap()
                    .group(group)
                    .channel(NioServerSocketChannel::class.java)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childOption(ChannelOption.RECVBUF_ALLOCATOR, boundedReads())
                    .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                    .childHandler(initializer)
            return HttpServer(bootstrap.bind(address).sync().channel(), connections)
        }

        private fun startConnection(
            channel: SocketChannel,
            queue: InboundQueue,
            scope: CoroutineScope,
            limits: HttpLimits,
            serve: suspend (ServerConnection) -> Unit,
        ) {
            channel.pipeline().addLast(ArrivalNotifier(queue), HttpServerCodec(decoderConfig(limits)), queue)
            val connection = ServerConnection(channel, queue, limits)
            scope.launch(channel.eventLoop().asCoroutineDispatcher()) {
                try {
                    serve(connection)
                    connection.closeGracefully()
                } finally {
                    channel.close()
                }
            }
        }

        private fun rejectConnection(channel: SocketChannel) {
            val body =
                errorBody("too_many_connections", "the server has no room for a further connection", Verdict.NOT_RUN)
            val head =
                "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\nretry-after: 1\r\n" +
                    "connection: close\r\ncontent-length: ${body.size}\r\n\r\n"
            channel.eventLoop().execute {
                val message = Unpooled.wrappedBuffer(head.toByteArray(), body)
                channel.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE)
            }
        }

        private const val BACKLOG = 1024
    }
}
