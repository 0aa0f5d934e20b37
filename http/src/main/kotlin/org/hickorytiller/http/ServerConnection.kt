/**
 * One accepted HTTP connection, used by one coroutine: receive a request, answer it, receive the next.
 */
package org.hickorytiller.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.netty.buffer.Unpooled
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
import kotlinx.coroutines.withTimeoutOrNull
import java.io.ByteArrayOutputStream
import java.net.InetSocketAddress

/** One accepted HTTP connection. Not thread-safe: it belongs to the coroutine that serves it. */
class ServerConnection internal constructor(
    private val channel: SocketChannel,
    private val queue: InboundQueue,
    private val limits: HttpLimits,
) {
    /** The address of the peer. */
    val remoteAddress: InetSocketAddress? get() = channel.remoteAddress()

    /** Completes when the connection is closed by either side. */
    val closed: Deferred<Unit> get() = queue.closed

    /** If true, the next response tells the peer that the connection will be closed. */
    var closeAfterResponse = false

    /** Receives the head of the next request. */
    suspend fun receive(): Either<HttpFault, RequestHead> {
        while (true) {
            when (val part = queue.take(limits.idleTimeoutMs)) {
                is Part.Request -> return part.head.also { if (!it.keepAlive) closeAfterResponse = true }.right()
                is Part.Fault -> return part.fault.left()
                else -> Unit
            }
        }
    }

    /** Receives the rest of the current request's body. */
    suspend fun receiveBody(maxBytes: Int = limits.maxBodyBytes): Either<HttpFault, ByteArray> =
        collectBody(queue, maxBytes, limits.bodyTimeoutMs)

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
        response.fill(headers)
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        return write(response)
    }

    /** Sends a chunk of the body. Returns false if the peer is gone or does not read. */
    suspend fun writeChunk(bytes: ByteArray): Boolean = write(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))

    /** Ends a response that [startResponse] began. */
    suspend fun endResponse(): Boolean = write(LastHttpContent.EMPTY_LAST_CONTENT)

    /** Sends the interim response that asks the peer for the body. */
    suspend fun sendContinue(): Boolean =
        write(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER))

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

    private fun HttpResponse.fill(headers: Headers) {
        headers.fields.forEach { headers().add(it.name, it.value) }
        if (closeAfterResponse) headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private suspend fun write(message: Any): Boolean {
        if (!channel.isActive) {
            io.netty.util.ReferenceCountUtil.release(message)
            return false
        }
        channel.writeAndFlush(message)
        return queue.awaitWritable(limits.writeTimeoutMs)
    }
}

/** Collects the body parts of [queue] up to the end of the message. */
internal suspend fun collectBody(queue: InboundQueue, maxBytes: Int, timeoutMs: Long): Either<HttpFault, ByteArray> {
    val startNs = System.nanoTime()
    val body = ByteArrayOutputStream()
    while (true) {
        val elapsedMs = (System.nanoTime() - startNs) / NANOS_PER_MS
        when (val part = queue.take((timeoutMs - elapsedMs).coerceAtLeast(1))) {
            is Part.Body -> {
                if (body.size() + part.bytes.size > maxBytes) return HttpFault.BODY_TOO_LARGE.left()
                body.write(part.bytes)
            }
            is Part.End -> return body.toByteArray().right()
            is Part.Fault -> return part.fault.left()
            is Part.Request, is Part.Status -> return HttpFault.MALFORMED.left()
        }
    }
}

private const val NANOS_PER_MS = 1_000_000L
