/**
 * Receives requests on an accepted connection and sends the responses, one request after the other.
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

    // Whether the current request has a body that has not been received to its end.
    private var isBodyPending = false
    private var isContinuePending = false
    private var announcedBodyBytes = 0L

    // An HTTP/1.0 peer does not support chunked encoding, so a streamed response ends with the close of the connection.
    private var isCloseDelimited = false
    private var lastWrite: ChannelFuture? = null

    /** Whether a request has been received in part. */
    var isReceiving = false
        private set

    /**
     * Receives the head of the next request. The time for the head runs from its first byte. What was not received of
     * the body of the previous request is dropped.
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

    /**
     * Receives the body of the current request. Sends `100 Continue` first if the peer waits for it. The bytes are
     * reserved in [memory], before any is received if the head states the length.
     */
    suspend fun receiveBody(
        maxBytes: Int = limits.maxBodyBytes,
        memory: MemoryReservation = MemoryBudget.unlimited().reservation(),
    ): Either<HttpFault, ByteArray> {
        if (announcedBodyBytes > maxBytes) return HttpFault.BODY_TOO_LARGE.left()
        if (!memory.raiseTo(announcedBodyBytes)) return HttpFault.NO_MEMORY.left()
        if (isContinuePending) sendContinue()
        return collectBody(
            queue,
            BodyBuffer(maxBytes, memory, announcedBodyBytes.toInt()),
            limits.bodyTimeoutMs,
        ).onRight {
            isBodyPending = false
            isReceiving = false
        }
    }

    /** Sends a whole response. Returns false if the connection is closed or the peer does not read. */
    suspend fun respond(status: Int, headers: Headers, body: ByteArray): Boolean {
        if (body.size > SLICE_BYTES) return respondInSlices(status, headers, body)
        val response =
            DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                Unpooled.wrappedBuffer(body),
            )
        response.addFields(headers)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        return write(response)
    }

    /**
     * Sends the head of a response whose body follows in chunks. Returns false if the connection is closed or the peer
     * does not read.
     */
    suspend fun startResponse(status: Int, headers: Headers): Boolean {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        if (isCloseDelimited) closeAfterResponse = true
        response.addFields(headers)
        if (!isCloseDelimited) response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        return write(response)
    }

    /** Sends a chunk of the body. Returns false if the connection is closed or the peer does not read. */
    suspend fun writeChunk(bytes: ByteArray): Boolean = writeSlices(bytes)

    /** Ends a response that [startResponse] began. */
    suspend fun endResponse(): Boolean = write(LastHttpContent.EMPTY_LAST_CONTENT)

    /** Sends `100 Continue` if the peer waits for it before it sends the body. */
    suspend fun sendContinue(): Boolean {
        if (!isContinuePending) return channel.isActive
        isContinuePending = false
        return write(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER))
    }

    /**
     * Suspends until everything written so far has been handed to the socket. Returns false if the connection is closed
     * or the peer does not read.
     */
    suspend fun flush(): Boolean {
        val flushed = CompletableDeferred<Boolean>()
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener { flushed.complete(it.isSuccess) }
        return withTimeoutOrNull(limits.writeTimeoutMs) { flushed.await() } == true
    }

    /** Closes the connection at once, even in the middle of a response. */
    fun abort() {
        channel.close()
    }

    /**
     * Closes the connection so that the peer can still read the last response. If the peer is still sending, closing at
     * once would reset the connection, and the peer could lose the response.
     */
    internal suspend fun closeGracefully() {
        // Closing the channel drops data that has not been written to the socket yet.
        withTimeoutOrNull(limits.writeTimeoutMs) { lastWrite?.awaitCompletion() }
        if (channel.isActive && isBodyPending && !queue.closed.isCompleted) {
            channel.shutdownOutput()
            queue.discard()
            withTimeoutOrNull(limits.lingerTimeoutMs) { queue.closed.await() }
        }
        channel.close()
    }

    private fun accept(head: RequestHead): Either<HttpFault, RequestHead> {
        if (!head.keepAlive) closeAfterResponse = true
        isCloseDelimited = head.protocol == "HTTP/1.0"
        val expectation = head.headers["expect"]
        announcedBodyBytes = head.headers["content-length"]?.toLongOrNull() ?: 0
        isBodyPending = announcedBodyBytes > 0 || head.headers["transfer-encoding"] != null
        isContinuePending = expectation.equals("100-continue", ignoreCase = true) && head.protocol == "HTTP/1.1"
        if (expectation != null && !expectation.equals("100-continue", ignoreCase = true)) {
            return HttpFault.UNKNOWN_EXPECTATION.left()
        }
        return head.right()
    }

    private fun HttpResponse.addFields(headers: Headers) {
        headers.fields.forEach { headers().add(it.name, it.value) }
        // Closes after the response, so that the rest of the body need not be read before the next request.
        if (isBodyPending) closeAfterResponse = true
        if (closeAfterResponse) headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private suspend fun respondInSlices(status: Int, headers: Headers, body: ByteArray): Boolean {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        response.addFields(headers)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        return write(response) && writeSlices(body) && write(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    // Netty copies what is written to the socket to direct memory, so large bodies are written as the peer reads them.
    private suspend fun writeSlices(bytes: ByteArray): Boolean {
        val startNs = System.nanoTime()
        for (start in bytes.indices step SLICE_BYTES) {
            val slice = Unpooled.wrappedBuffer(bytes, start, minOf(SLICE_BYTES, bytes.size - start))
            val remainingMs = (limits.writeTimeoutMs - elapsedMs(startNs)).coerceAtLeast(1)
            if (!write(DefaultHttpContent(slice), remainingMs)) return false
        }
        return true
    }

    private suspend fun write(message: Any, timeoutMs: Long = limits.writeTimeoutMs): Boolean {
        if (!channel.isActive) {
            io.netty.util.ReferenceCountUtil.release(message)
            return false
        }
        lastWrite = channel.writeAndFlush(message)
        return queue.awaitWritable(timeoutMs).also { if (!it) channel.close() }
    }
}

private suspend fun ChannelFuture.awaitCompletion() = suspendCancellableCoroutine { continuation ->
    addListener { if (continuation.isActive) continuation.resume(Unit) }
}

/** Collects the body from [queue] in [body] up to the end of the message, within [timeoutMs]. */
internal suspend fun collectBody(queue: InboundQueue, body: BodyBuffer, timeoutMs: Long): Either<HttpFault, ByteArray> {
    val startNs = System.nanoTime()
    while (true) {
        when (val part = queue.take((timeoutMs - elapsedMs(startNs)).coerceAtLeast(1))) {
            is Part.Body -> body.append(part.bytes)?.let { return it.left() }
            is Part.End -> return body.toByteArray().right()
            is Part.Fault -> return part.fault.left()
            is Part.Begin, is Part.Request, is Part.Status -> return HttpFault.MALFORMED.left()
        }
    }
}

private fun elapsedMs(startNs: Long) = (System.nanoTime() - startNs) / NANOS_PER_MS

private const val NANOS_PER_MS = 1_000_000L

/** Largest part of a body that is handed to Netty at once. */
internal const val SLICE_BYTES = 32_768
