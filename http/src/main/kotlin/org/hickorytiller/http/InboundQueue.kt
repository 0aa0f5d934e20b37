/**
 * Hands decoded HTTP objects from Netty's pipeline to the task of the connection. Reading from the socket stops while
 * the queue is long or holds many bytes, which gives back pressure down to the peer; the queue then holds at most the
 * watermark and what one read of the socket decodes to.
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
    /** The first byte of a message arrived; its head is not complete yet. */
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
    private var length = 0
    private var bytes = 0
    private var fault: HttpFault? = null
    private var discarding = false
    private var betweenMessages = true
    private lateinit var context: ChannelHandlerContext

    /** Completes when the peer has closed its side or the connection is closed. */
    val closed: Deferred<Unit> get() = closedSignal

    /** Whether nothing has arrived that was not taken yet, not even a part of a message. */
    val isQuiet: Boolean get() = length == 0 && fault == null && betweenMessages

    /** The next part, or a fault if none arrives within [timeoutMs]. After a fault the queue gives that fault again. */
    suspend fun take(timeoutMs: Long): Part {
        val part = parts.tryReceive().getOrNull() ?: fault?.let { Part.Fault(it) } ?: receive(timeoutMs)
        if (part !is Part.Fault) taken(part)
        return part
    }

    /** Drops everything that arrives from now on, so that a peer which still sends can be told to stop. */
    fun discard() {
        discarding = true
        do {
            val dropped = parts.tryReceive()
        } while (dropped.isSuccess)
        context.channel().config().isAutoRead = true
    }

    /** Suspends until the write buffer has room. Returns false if that takes longer than [timeoutMs]. */
    suspend fun awaitWritable(timeoutMs: Long): Boolean {
        while (!context.channel().isWritable) {
            if (!context.channel().isActive) return false
            writableSignal = CompletableDeferred()
            withTimeoutOrNull(timeoutMs) { writableSignal.await() } ?: return false
        }
        return context.channel().isActive
    }

    /** Called before decoding whenever bytes arrive. */
    fun bytesArrived() {
        if (!betweenMessages) return
        betweenMessages = false
        push(Part.Begin)
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
        if (event is ChannelInputShutdownEvent) inputEnded()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        inputEnded()
        writableSignal.complete(Unit)
    }

    @Deprecated("Netty's name for the callback")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        inputEnded()
        ctx.close()
    }

    private suspend fun receive(timeoutMs: Long): Part =
        withTimeoutOrNull(timeoutMs) { parts.receive() } ?: Part.Fault(HttpFault.TIMEOUT)

    private fun inputEnded() {
        fail(HttpFault.CLOSED)
        closedSignal.complete(Unit)
    }

    // Parts that arrived before the fault are still taken first.
    private fun fail(newFault: HttpFault) {
        if (fault != null) return
        fault = newFault
        parts.trySend(Part.Fault(newFault))
    }

    private fun accept(message: HttpObject) {
        if (message.decoderResult().isFailure) {
            fail(faultOf(message.decoderResult().cause()))
            return
        }
        when (message) {
            is HttpRequest -> acceptRequest(message)
            is HttpResponse -> {
                begin()
                push(Part.Status(ResponseHead(message.status().code(), message.headers().toHeaders())))
            }
        }
        if (message is HttpContent && fault == null) acceptContent(message)
    }

    private fun acceptRequest(message: HttpRequest) {
        val head = message.toHead()
        begin()
        if (head.framingIsAmbiguous()) fail(HttpFault.MALFORMED) else push(Part.Request(head))
    }

    // The bytes of a further message may have arrived together with the end of the one before.
    private fun begin() {
        if (betweenMessages) push(Part.Begin)
        betweenMessages = false
    }

    private fun acceptContent(message: HttpContent) {
        val content = message.content()
        if (content.isReadable) {
            val bytes = ByteArray(content.readableBytes())
            content.readBytes(bytes)
            push(Part.Body(bytes))
        }
        if (message is LastHttpContent) {
            betweenMessages = true
            push(Part.End)
        }
    }

    private fun push(part: Part) {
        if (discarding) return
        parts.trySend(part)
        length++
        if (part is Part.Body) bytes += part.bytes.size
        if (length >= HIGH_WATERMARK || bytes >= HIGH_WATERMARK_BYTES) context.channel().config().isAutoRead = false
    }

    private fun taken(part: Part) {
        length--
        if (part is Part.Body) bytes -= part.bytes.size
        val config = context.channel().config()
        if (!config.isAutoRead && length <= LOW_WATERMARK && bytes <= LOW_WATERMARK_BYTES) config.isAutoRead = true
    }

    private companion object {
        const val HIGH_WATERMARK = 64
        const val LOW_WATERMARK = 16
        const val HIGH_WATERMARK_BYTES = 262_144
        const val LOW_WATERMARK_BYTES = 65_536
    }
}

private fun faultOf(cause: Throwable): HttpFault = when (cause) {
    is TooLongHttpHeaderException, is TooLongHttpLineException -> HttpFault.HEAD_TOO_LARGE
    is PrematureChannelClosureException -> HttpFault.CLOSED
    else -> HttpFault.MALFORMED
}

/** Tells the queue behind the decoder that bytes arrive, so that the time for a head runs from its first byte. */
internal class ArrivalWatch(private val queue: InboundQueue) : ChannelInboundHandlerAdapter() {
    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        queue.bytesArrived()
        ctx.fireChannelRead(message)
    }
}
