/**
 * Sends requests on a connection to a server and receives the responses, one exchange at a time.
 */
package org.hickorytiller.http

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpVersion
import java.net.InetSocketAddress
import java.nio.channels.ClosedChannelException

/** One HTTP connection to a server. Not thread-safe: one coroutine uses it at a time. */
class ClientConnection internal constructor(
    private val channel: Channel,
    private val queue: InboundQueue,
    private val decoder: ResponseDecoder,
    private val limits: HttpLimits,
    internal val address: InetSocketAddress,
) {
    private var isExchangeComplete = true
    private var isCloseAnnounced = false
    private var isInterim = false

    // Number of writes that have not reached the socket. A server may respond before it has read the whole request.
    private var pendingWrites = 0

    /** Whether the connection served an exchange before the current one. */
    var isReused = false
        internal set

    /** How long the connection may stay idle and still be reused; servers close connections that are idle for long. */
    var idleLimitMs = Long.MAX_VALUE

    private var idleSinceNs = 0L

    /** Whether the connection has been idle for [idleLimitMs] or longer. */
    internal val hasExpired: Boolean
        get() = (System.nanoTime() - idleSinceNs) / NANOS_PER_MS >= idleLimitMs

    internal fun markIdle() {
        idleSinceNs = System.nanoTime()
    }

    /** Whether the connection is established, as far as is known locally. */
    val isOpen: Boolean get() = channel.isActive

    /**
     * Whether a further exchange can use the connection. It cannot after an exchange that did not end cleanly, or if
     * the server sent anything beyond its response: that could be mistaken for the response to the next request.
     */
    val isReusable: Boolean
        get() = isOpen &&
            isExchangeComplete &&
            !isCloseAnnounced &&
            pendingWrites == 0 &&
            queue.isIdle &&
            !decoder.hasUndecodedBytes

    /** Sends a whole request. From this call on, the server may run the request. */
    fun send(head: RequestHead, body: ByteArray = ByteArray(0)) {
        if (body.size > SLICE_BYTES) {
            sendHead(head, body.size)
            sendBody(body)
            return
        }
        val request =
            DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(head.method),
                head.target,
                Unpooled.wrappedBuffer(body),
            )
        request.addFields(head)
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        isExchangeComplete = false
        decoder.isHeadRequest = head.method == "HEAD"
        write(request)
    }

    /** Sends the head of a request whose body of [bodyBytes] bytes follows with [sendBody]. */
    fun sendHead(head: RequestHead, bodyBytes: Int) {
        val request = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(head.method), head.target)
        request.addFields(head)
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes)
        isExchangeComplete = false
        decoder.isHeadRequest = head.method == "HEAD"
        write(request)
    }

    /** Sends the body announced with [sendHead]. */
    fun sendBody(body: ByteArray) {
        pendingWrites++
        sendSlice(body, start = 0)
    }

    // Netty copies what is written to the socket to direct memory, so a slice follows once the last one was written.
    private fun sendSlice(body: ByteArray, start: Int) {
        val end = minOf(body.size, start + SLICE_BYTES)
        val slice = Unpooled.wrappedBuffer(body, start, end - start)
        val isLast = end == body.size
        channel.writeAndFlush(if (isLast) DefaultLastHttpContent(slice) else DefaultHttpContent(slice)).addListener {
            when {
                !it.isSuccess -> onWriteFailed(it.cause())
                isLast -> pendingWrites--
                else -> sendSlice(body, end)
            }
        }
    }

    /** Receives the head of the next response, which may be an interim response. */
    suspend fun receiveHead(timeoutMs: Long): Either<HttpFault, ResponseHead> {
        var remainingMs = timeoutMs
        while (true) {
            when (val part = queue.take(remainingMs)) {
                // A server that has sent the first byte of a head sends the rest without delay, unless it hangs.
                is Part.Begin -> remainingMs = minOf(remainingMs, limits.headTimeoutMs)
                is Part.Status -> return acceptHead(part.head).right()
                is Part.Fault -> return part.fault.left()
                is Part.End -> if (!isInterim) return HttpFault.MALFORMED.left() else isInterim = false
                else -> return HttpFault.MALFORMED.left()
            }
        }
    }

    /** Receives the next chunk of the body as it arrives. Returns null at the end of the response. */
    suspend fun receiveChunk(timeoutMs: Long): Either<HttpFault, ByteArray?> = when (val part = queue.take(timeoutMs)) {
        is Part.Body -> part.bytes.right()
        is Part.End -> {
            isExchangeComplete = true
            null.right()
        }
        is Part.Fault -> part.fault.left()
        else -> HttpFault.MALFORMED.left()
    }

    /** Receives the whole body of the response. */
    suspend fun receiveBody(timeoutMs: Long): Either<HttpFault, ByteArray> =
        collectBody(queue, BodyBuffer(limits.maxBodyBytes, MemoryBudget.unlimited().reservation()), timeoutMs)
            .onRight { isExchangeComplete = true }

    /** Receives the body of the response up to its end or the limit, without keeping it. */
    suspend fun skipBody(timeoutMs: Long): Either<HttpFault, Unit> {
        val startNs = System.nanoTime()
        var size = 0L
        while (size <= limits.maxBodyBytes) {
            val remainingMs = timeoutMs - (System.nanoTime() - startNs) / NANOS_PER_MS
            val bytes = receiveChunk(remainingMs.coerceAtLeast(1)).getOrElse { return it.left() } ?: return Unit.right()
            size += bytes.size
        }
        return HttpFault.BODY_TOO_LARGE.left()
    }

    /** Closes the connection, which also shows the server that the response is no longer wanted. */
    fun close() {
        channel.close()
    }

    private fun acceptHead(head: ResponseHead): ResponseHead {
        isCloseAnnounced = head.headers.all("connection").any { it.contains("close", ignoreCase = true) }
        isInterim = head.status < HttpStatus.OK
        return head
    }

    private fun write(message: Any) {
        pendingWrites++
        channel.writeAndFlush(message).addListener {
            if (it.isSuccess) pendingWrites-- else onWriteFailed(it.cause())
        }
    }

    // A failed write closes the connection before a reset of the peer is read; a body that ends with the connection
    // would then seem complete. A clean close fails pending writes with ClosedChannelException.
    private fun onWriteFailed(cause: Throwable) {
        if (cause !is ClosedChannelException) channel.pipeline().fireExceptionCaught(cause)
    }

    private fun HttpRequest.addFields(head: RequestHead) {
        head.headers.fields.forEach { headers().add(it.name, it.value) }
        if (!headers().contains(HttpHeaderNames.HOST)) {
            headers().set(HttpHeaderNames.HOST, "${address.hostString}:${address.port}")
        }
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
    }
}
