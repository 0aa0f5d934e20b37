/**
 * One stream between two peers, the same for the side that opened it and the side that accepted it. One coroutine
 * sends and receives: it waits for the next message, urgent news or the next heartbeat, whichever comes first.
 */
package org.hickorytiller.peering

import arrow.core.getOrElse
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.hickorytiller.core.Clock
import org.hickorytiller.peering.generated.PeerEnvelope

/** Why a stream has ended. */
enum class LinkCloseReason(val reason: String) {
    CLOSED("closed"),
    SILENT("silent"),
    BLOCKED("blocked"),
    MALFORMED("malformed"),
    UNNAMED("unnamed"),
    REFUSED("refused"),
    UNREACHABLE("unreachable"),
}

/** Sends a message on the stream. */
internal typealias SendEnvelope = suspend (PeerEnvelope) -> Unit

/** State of one stream. Confined to the event loop. */
internal class PeerSession(
    private val linkRegistry: PeerLinkRegistry,
    private val clock: Clock,
    private val limits: PeerLimits,
    private val counters: PeerCounters,
    private val inbound: Boolean,
) {
    private sealed interface Event {
        class Received(val envelope: PeerEnvelope) : Event

        data object Urgent : Event

        data object Due : Event

        data object Closed : Event
    }

    private val order = InboundOrder()
    private val signal = Channel<Unit>(Channel.CONFLATED)
    private var handlers = emptyList<LinkHandler>()
    private var sequence = 0L
    private var sendAt = clock()
    private var sentAt = clock() - limits.heartbeatMs
    private var receivedAt = clock()

    /** The peer, once it has named itself. */
    var peer: PeerIdentity? = null
        private set

    /** Runs the stream to its end. The side that opened it names itself first; the other side answers with its news. */
    suspend fun run(messages: ReceiveChannel<PeerEnvelope>, send: SendEnvelope): LinkCloseReason {
        linkRegistry.registerSignal(signal)
        try {
            return exchangeMessages(messages, send)
        } finally {
            linkRegistry.removeSignal(signal)
            handlers.forEach { it.close() }
            peer?.let { linkRegistry.linkClosed(it.id, inbound) }
        }
    }

    private suspend fun exchangeMessages(messages: ReceiveChannel<PeerEnvelope>, send: SendEnvelope): LinkCloseReason {
        while (true) {
            val mayFill = peer != null || (!inbound && sequence == 0L)
            if (mayFill && clock() >= sendAt && !sendNext(send)) return LinkCloseReason.BLOCKED
            if (clock() - receivedAt >= limits.silenceMs) return LinkCloseReason.SILENT
            when (val event = nextEvent(messages, mayFill)) {
                is Event.Received -> receive(event.envelope, send)?.let { return it }
                Event.Urgent -> sendAt = minOf(sendAt, sentAt + limits.coalesceMs)
                Event.Due -> Unit
                Event.Closed -> return LinkCloseReason.CLOSED
            }
        }
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun nextEvent(messages: ReceiveChannel<PeerEnvelope>, mayFill: Boolean): Event {
        val silentAt = receivedAt + limits.silenceMs
        val wakeAt = if (mayFill) minOf(sendAt, silentAt) else silentAt
        return select {
            messages.onReceiveCatching { result -> result.getOrNull()?.let { Event.Received(it) } ?: Event.Closed }
            signal.onReceive { Event.Urgent }
            onTimeout((wakeAt - clock()).coerceAtLeast(1)) { Event.Due }
        }
    }

    /** Handles a message; returns how the stream ends if it has to. */
    private suspend fun receive(envelope: PeerEnvelope, send: SendEnvelope): LinkCloseReason? {
        val message =
            envelope.toMessage().getOrElse {
                counters.count("malformed_${it.field}")
                return LinkCloseReason.MALFORMED
            }
        val arrival = order.judge(message)
        counters.count("message_${arrival.reason}")
        if (!arrival.isAccepted) return null
        receivedAt = clock()
        if (peer == null) {
            val end = open(message, send)
            if (end != null) return end
        }
        handlers.forEach { it.consume(message) }
        return null
    }

    private suspend fun open(message: PeerMessage, send: SendEnvelope): LinkCloseReason? {
        val sender = message.sender ?: return LinkCloseReason.UNNAMED
        val accepted = linkRegistry.accepts(sender, message.incarnation)
        peer = sender
        linkRegistry.linkOpened(sender.id, inbound)
        handlers = linkRegistry.open(sender, message.incarnation)
        sendAt = clock()
        if (accepted) return null
        // An outdated run gets one message, from which it learns of the newer one.
        sendNext(send)
        return LinkCloseReason.REFUSED
    }

    /** Sends the next message. Returns false if the peer does not read. */
    private suspend fun sendNext(send: SendEnvelope): Boolean {
        val builder = PeerMessageBuilder()
        handlers.forEach { it.fill(builder) }
        val (identity, incarnation) = linkRegistry.own()
        val envelope = builder.build(identity.takeIf { sequence == 0L }, incarnation, ++sequence).toEnvelope()
        counters.count("message_sent")
        sentAt = clock()
        sendAt = sentAt + if (builder.hasMore) limits.coalesceMs else limits.heartbeatMs
        return withTimeoutOrNull(limits.silenceMs) { send(envelope) } != null
    }
}
