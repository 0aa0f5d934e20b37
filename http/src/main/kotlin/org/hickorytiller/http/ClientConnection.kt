/**
 * One HTTP connection to a server, used for one exchange at a time by one coroutine.
 */
package org.hickorytiller.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpVersion
import java.net.InetSocketAddress

/** One connection to a server. Not thread-safe. */
class ClientConnection internal constructor(
    private val channel: Channel,
    private val queue: InboundQueue,
    private val decoder: ResponseDecoder,
    private val limits: HttpLimits,
    internal val address: InetSocketAddress,
) {
    private var exchangeComplete = true
    private var closeAnnounced = false
    private var interim = false

    // Number of writes that have not reached the socket. A server may answer before it has read the whole request.
    private var unwritten = 0

    /** Whether the connection served an exchange before the current one. */
    var isReused = false
        internal set

    /** How long the connection may stay idle before it is not used again; servers close idle connections. */
    var idleLimitMs = Long.MAX_VALUE

    private var idleSinceNs = 0L

    /** Whether the connection has been idle for longer than [idleLimitMs]. */
    internal val hasExpired: Boolean
        get() = (System.nanoTime() - idleSinceNs) / NANOS_PER_MS >= idleLimitMs

    internal fun idle() {
        idleSinceNs = System.nanoTime()
    }

    /** Whether the connection is still established as far as this side knows. */
    val isOpen: Boolean get() = channel.isActive

    /**
     * Whether a further exchange can use the connection. It cannot after an exchange that did not end cleanly, or if
     * the server sent anything beyond its answer: that could be taken for the answer to the next request.
     */
    val isReusable: Boolean
        get() = isOpen &&
            exchangeComplete &&
            !closeAnnounced &&
            unwritten == 0 &&
            queue.isQuiet &&
            !decoder.hasBytesLeft

    /** Sends a whole request. From here on the request may run. */
    fun send(head: RequestHead, body: ByteArray = ByteArray(0)) {
        val request =
            DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(head.method),
                head.target,
                Unpooled.wrappedBuffer(body),
            )
        request.fill(head)
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        exchangeComplete = false
        decoder.answersHead = head.method == "HEAD"
        write(request)
    }

    /** Sends the head of a request whose body of [bodyBytes] bytes follows with [sendBody]. */
    fun sendHead(head: RequestHead, bodyBytes: Int) {
        val request = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(head.method), head.target)
        request.fill(head)
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes)
        exchangeComplete = false
        decoder.answersHead = head.method == "HEAD"
        write(request)
    }

    /** Sends the body announced with [sendHead]. */
    fun sendBody(body: ByteArray) {
        write(DefaultLastHttpContent(Unpooled.wrappedBuffer(body)))
    }

    /** Receives the head of the response, an interim one included. */
    suspend fun receiveHead(timeoutMs: Long): Either<HttpFault, ResponseHead> {
        var remainingMs = timeoutMs
        while (true) {
            when (val part = queue.take(remainingMs)) {
                // The rest of the head follows its first byte at once, unless the server is stuck.
                is Part.Begin -> remainingMs = minOf(remainingMs, limits.headTimeoutMs)
                is Part.Status -> return acceptHead(part.head).right()
                is Part.Fault -> return part.fault.left()
                is Part.End -> if (!interim) return HttpFault.MALFORMED.left() else interim = false
                else -> return HttpFault.MALFORMED.left()
            }
        }
    }

    /** Receives the next chunk of the body as it arrives; null at the end of the response. */
    suspend fun receiveChunk(timeoutMs: Long): Either<HttpFault, ByteArray?> = when (val part = queue.take(timeoutMs)) {
        is Part.Body -> part.bytes.right()
        is Part.End -> {
            exchangeComplete = true
            null.right()
        }
        is Part.Fault -> part.fault.left()
        else -> HttpFault.MALFORMED.left()
    }

    /** Collects the body of the response. */
    suspend fun receiveBody(timeoutMs: Long): Either<HttpFault, ByteArray> =
        collectBody(queue, limits.maxBodyBytes, timeoutMs).onRight { exchangeComplete = true }

    /** Closes the connection; the server learns that the answer is no longer wanted. */
    fun close() {
        channel.close()
    }

    private fun acceptHead(head: ResponseHead): ResponseHead {
        closeAnnounced = head.headers.all("connection").any { it.contains("close", ignoreCase = true) }
        interim = head.status < HttpStatus.OK
        return head
    }

    private fun write(message: Any) {
        unwritten++
        channel.writeAndFlush(message).addListener { if (it.isSuccess) unwritten-- }
    }

    private fun HttpRequest.fill(head: RequestHead) {
        head.headers.fields.forEach { headers().add(it.name, it.value) }
        if (!headers().contains(HttpHeaderNames.HOST)) {
            headers().set(HttpHeaderNames.HOST, "${address.hostString}:${address.port}")
        }
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
    }
}
