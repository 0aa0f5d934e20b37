/**
 * Passes decoded HTTP objects from Netty's pipeline to the connection's coroutine. Reading from the socket stops while
 * the queue is above its high watermark in parts or bytes, which applies back pressure to the peer. The queue then
 * holds at most the watermark and what one read of the socket decodes to.
 */
package org.hickorytiller.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.PrematureChannelClosureException
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull

/** A decoded part of a message. */
internal sealed interface Part {
    /** The first byte of a message has arrived; its head is not complete yet. */
    data object Begin : Part

    data class Request(val head: RequestHead) : Part

    data class Status(val head: ResponseHead) : Part

    class Body(val bytes: ByteArray) : Part

    data object End : Part

    data class Fault(val fault: HttpFault) : Part
}

internal class InboundQueue : ChannelInboundHandlerAdapter() {
    private val parts = Channel<Part>(Channel.UNLIMITED)
    private val closedSignal = CompletableDeferred<Unit>()
    private var writableSignal = CompletableDeferred<Unit>()
    private var size = 0
    private var byteCount = 0
    private var fault: HttpFault? = null
    private var isDiscarding = false
    private var isReadingStopped = false
    private var isBetweenMessages = true
    private lateinit var context: ChannelHandlerContext

    /** Completes when the peer has closed its side of the connection, or the connection is closed. */
    val closed: Deferred<Unit> get() = closedSignal

    /** Whether all parts have been taken, no message is received in part, and the connection has not failed. */
    val isIdle: Boolean get() = size == 0 && fault == null && isBetweenMessages

    /**
     * Returns the next part, or a fault if none arrives within [timeoutMs]. Once the connection has failed and all
     * parts are taken, every further call returns that fault.
     */
    suspend fun take(timeoutMs: Long): Part {
        val part =
            parts.tryReceive().getOrNull()
                ?: fault?.let { Part.Fault(it) }
                ?: withTimeoutOrNull(timeoutMs) { parts.receive() }
                ?: Part.Fault(HttpFault.TIMEOUT)
        if (part !is Part.Fault) onPartTaken(part)
        return part
    }

    /**
     * Drops what is queued and what still arrives. Reading from the socket continues, so that a peer that is still
     * sending can read the last response.
     */
    fun discard() {
        isDiscarding = true
        do {
            val dropped = parts.tryReceive()
        } while (dropped.isSuccess)
        context.channel().config().isAutoRead = !isReadingStopped
    }

    /** Stops reading from the socket for good. What was read is still passed on. */
    fun stopReading() {
        isReadingStopped = true
        context.channel().config().isAutoRead = false
    }

    /**
     * Suspends until the write buffer has room. Returns false if that takes longer than [timeoutMs] or the connection
     * is closed.
     */
    suspend fun awaitWritable(timeoutMs: Long): Boolean {
        while (!context.channel().isWritable) {
            if (!context.channel().isActive) return false
            writableSignal = CompletableDeferred()
            withTimeoutOrNull(timeoutMs) { writableSignal.await() } ?: return false
        }
        return context.channel().isActive
    }

    /** Called before decoding whenever bytes arrive, so that the queue knows when a message begins. */
    fun onBytesReceived() {
        if (!isBetweenMessages) return
        isBetweenMessages = false
        enqueue(Part.Begin)
    }

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        try {
            if (message is HttpObject && fault == null) accept(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        if (ctx.channel().isWritable) writableSignal.complete(Unit)
    }

    override fun userEventTriggered(ctx: ChannelHandlerContext, event: Any) {
        if (event is ChannelInputShutdownEvent) onInputEnded()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        onInputEnded()
        writableSignal.complete(Unit)
    }

    // Netty has deprecated this method in ChannelHandler, so the override has to be marked as well.
    @Deprecated("Netty's name for the callback")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        onInputEnded()
        ctx.close()
    }

    private fun onInputEnded() {
        enqueueFault(HttpFault.CLOSED)
        closedSignal.complete(Unit)
    }

    // The fault goes behind the parts that arrived before it.
    private fun enqueueFault(newFault: HttpFault) {
        if (fault != null) return
        fault = newFault
        parts.trySend(Part.Fault(newFault))
    }

    private fun accept(message: HttpObject) {
        if (message.decoderResult().isFailure) {
            enqueueFault(faultOf(message.decoderResult().cause()))
            return
        }
        when (message) {
            is HttpRequest -> acceptRequest(message)
            is HttpResponse -> {
                beginMessage()
                enqueue(Part.Status(ResponseHead(message.status().code(), message.headers().toHeaders())))
            }
        }
        if (message is HttpContent && fault == null) acceptContent(message)
    }

    private fun acceptRequest(message: HttpRequest) {
        val head = message.toHead()
        beginMessage()
        if (head.hasAmbiguousFraming()) enqueueFault(HttpFault.MALFORMED) else enqueue(Part.Request(head))
    }

    // The first bytes of this message may have arrived in the same read as the end of the previous one.
    private fun beginMessage() {
        if (isBetweenMessages) enqueue(Part.Begin)
        isBetweenMessages = false
    }

    private fun acceptContent(message: HttpContent) {
        val content = message.content()
        if (content.isReadable) {
            val bytes = ByteArray(content.readableBytes())
            content.readBytes(bytes)
            enqueue(Part.Body(bytes))
        }
        if (message is LastHttpContent) {
            isBetweenMessages = true
            enqueue(Part.End)
        }
    }

    private fun enqueue(part: Part) {
        if (isDiscarding) return
        parts.trySend(part)
        size++
        if (part is Part.Body) byteCount += part.bytes.size
        if (size >= HIGH_WATERMARK || byteCount >= HIGH_WATERMARK_BYTES) context.channel().config().isAutoRead = false
    }

    private fun onPartTaken(part: Part) {
        size--
        if (part is Part.Body) byteCount -= part.bytes.size
        val config = context.channel().config()
        val hasRoom = size <= LOW_WATERMARK && byteCount <= LOW_WATERMARK_BYTES
        if (hasRoom && !config.isAutoRead && !isReadingStopped) config.isAutoRead = true
    }

    private companion object {
        const val HIGH_WATERMARK = 64
        const val LOW_WATERMARK = 16

        // With reads of 16 KiB, 300 connections whose parts are all waiting hold at most 14 MB.
        const val HIGH_WATERMARK_BYTES = 32_768
        const val LOW_WATERMARK_BYTES = 16_384
    }
}

private fun faultOf(cause: Throwable): HttpFault = when (cause) {
    is TooLongHttpHeaderException, is TooLongHttpLineException -> HttpFault.HEAD_TOO_LARGE
    is PrematureChannelClosureException -> HttpFault.CLOSED
    else -> HttpFault.MALFORMED
}

/** Notifies [queue], which is behind the decoder, of incoming bytes, so that a head is timed from its first byte. */
internal class ArrivalNotifier(private val queue: InboundQueue) : ChannelInboundHandlerAdapter() {
    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        queue.onBytesReceived()
        ctx.fireChannelRead(message)
    }
}
