/**
 * One accepted HTTP connection, used by one coroutine: receive a request, answer it, receive the next.
 */
package org.hickorytiller.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.coroutines.withTimeoutOrNull
import java.io.ByteArrayOutputStream
import java.net.InetSocketAddress
import kotlin.coroutines.resume

/** One accepted HTTP connection. Not thread-safe: it belongs to the coroutine that serves it. */
class ServerConnection internal constructor(
    private val channel: SocketChannel,
    private val queue: InboundQueue,
    private val limits: HttpLimits,
) {
    /** The address of the peer. */
    val remoteAddress: InetSocketAddress? get() = channel.remoteAddress()

    /** Completes when the peer has closed its side, even if only for sending, or the connection is closed. */
    val closed: Deferred<Unit> get() = queue.closed

    /** If true, the next response tells the peer that the connection will be closed. */
    var closeAfterResponse = false

    // Whether the request in progress has a body that was not received to its end.
    private var bodyPending = false
    private var continuePending = false
    private var announcedBytes = 0L

    // A peer that speaks HTTP/1.0 does not know chunks; the end of a streamed response is the end of the connection.
    private var endsByClose = false
    private var lastWrite: ChannelFuture? = null

    /** Whether a part of a request was received, but not yet the whole request. */
    var isReceiving = false
        private set

    /**
     * Receives the head of the next request. The time for the head runs from its first byte. What the task left of the
     * body of the request before is dropped.
     */
    suspend fun receive(): Either<HttpFault, RequestHead> {
        var timeoutMs = limits.idleTimeoutMs
        var headStartNs = 0L
        isReceiving = false
        while (true) {
            when (val part = queue.take(timeoutMs)) {
                is Part.Request -> return accept(part.head)
                is Part.Fault -> return part.fault.left()
                is Part.Begin -> {
                    headStartNs = System.nanoTime()
                    isReceiving = true
                }
                else -> Unit
            }
            if (headStartNs != 0L) timeoutMs = (limits.headTimeoutMs - elapsedMs(headStartNs)).coerceAtLeast(1)
        }
    }

    /** Receives the rest of the current request's body, and asks for it if the peer waits to be asked. */
    suspend fun receiveBody(maxBytes: Int = limits.maxBodyBytes): Either<HttpFault, ByteArray> {
        if (announcedBytes > maxBytes) return HttpFault.BODY_TOO_LARGE.left()
        if (continuePending) sendContinue()
        return collectBody(queue, maxBytes, limits.bodyTimeoutMs).onRight {
            bodyPending = false
            isReceiving = false
        }
    }

    /** Sends a whole response. Returns false if the connection is gone. */
    suspend fun respond(status: Int, headers: Headers, body: ByteArray): Boolean {
        val response =
            DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                Unpooled.wrappedBuffer(body),
            )
        response.fill(headers)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        return write(response)
    }

    /** Sends the head of a response whose body follows in chunks. Returns false if the connection is gone. */
    suspend fun startResponse(status: Int, headers: Headers): Boolean {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        if (endsByClose) closeAfterResponse = true
        response.fill(headers)
        if (!endsByClose) response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        return write(response)
    }

    /** Sends a chunk of the body. Returns false if the peer is gone or does not read. */
    suspend fun writeChunk(bytes: ByteArray): Boolean = write(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))

    /** Ends a response that [startResponse] began. */
    suspend fun endResponse(): Boolean = write(LastHttpContent.EMPTY_LAST_CONTENT)

    /** Sends the interim response that asks the peer for the body, if it waits for that. */
    suspend fun sendContinue(): Boolean {
        if (!continuePending) return channel.isActive
        continuePending = false
        return write(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER))
    }

    /** Suspends until all that was written has left the process. Returns false if the peer is gone or does not read. */
    suspend fun flush(): Boolean {
        val flushed = CompletableDeferred<Boolean>()
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener { flushed.complete(it.isSuccess) }
        return withTimeoutOrNull(limits.writeTimeoutMs) { flushed.await() } == true
    }

    /** Closes the connection at once, without ending a response in progress. */
    fun abort() {
        channel.close()
    }

    /**
     * Closes the connection so that the peer can still read the last response. A peer that is still sending would
     * otherwise be reset, and could lose the response.
     */
    internal suspend fun closeGracefully() {
        // Closing drops what has not been written to the socket yet.
        withTimeoutOrNull(limits.writeTimeoutMs) { lastWrite?.awaitEnd() }
        if (channel.isActive && bodyPending && !queue.closed.isCompleted) {
            channel.shutdownOutput()
            queue.discard()
            withTimeoutOrNull(limits.lingerTimeoutMs) { queue.closed.await() }
        }
        channel.close()
    }

    private fun accept(head: RequestHead): Either<HttpFault, RequestHead> {
        if (!head.keepAlive) closeAfterResponse = true
        endsByClose = head.protocol == "HTTP/1.0"
        val expectation = head.headers["expect"]
        announcedBytes = head.headers["content-length"]?.toLongOrNull() ?: 0
        bodyPending = announcedBytes > 0 || head.headers["transfer-encoding"] != null
        continuePending = expectation.equals("100-continue", ignoreCase = true) && head.protocol == "HTTP/1.1"
        if (expectation != null && !expectation.equals("100-continue", ignoreCase = true)) {
            return HttpFault.UNKNOWN_EXPECTATION.left()
        }
        return head.right()
    }

    private fun HttpResponse.fill(headers: Headers) {
        headers.fields.forEach { headers().add(it.name, it.value) }
        // The rest of a body that nobody receives would have to be read before the next request.
        if (bodyPending) closeAfterResponse = true
        if (closeAfterResponse) headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private suspend fun write(message: Any): Boolean {
        if (!channel.isActive) {
            io.netty.util.ReferenceCountUtil.release(message)
            return false
        }
        lastWrite = channel.writeAndFlush(message)
        return queue.awaitWritable(limits.writeTimeoutMs).also { if (!it) channel.close() }
    }
}

private suspend fun ChannelFuture.awaitEnd() = suspendCancellableCoroutine { continuation ->
    addListener { if (continuation.isActive) continuation.resume(Unit) }
}

/** Collects the body parts of [queue] up to the end of the message. */
internal suspend fun collectBody(queue: InboundQueue, maxBytes: Int, timeoutMs: Long): Either<HttpFault, ByteArray> {
    val startNs = System.nanoTime()
    val body = ByteArrayOutputStream()
    while (true) {
        when (val part = queue.take((timeoutMs - elapsedMs(startNs)).coerceAtLeast(1))) {
            is Part.Body -> {
                if (body.size() + part.bytes.size > maxBytes) return HttpFault.BODY_TOO_LARGE.left()
                body.write(part.bytes)
            }
            is Part.End -> return body.toByteArray().right()
            is Part.Fault -> return part.fault.left()
            is Part.Begin, is Part.Request, is Part.Status -> return HttpFault.MALFORMED.left()
        }
    }
}

private fun elapsedMs(startNs: Long) = (System.nanoTime() - startNs) / NANOS_PER_MS

private const val NANOS_PER_MS = 1_000_000L
