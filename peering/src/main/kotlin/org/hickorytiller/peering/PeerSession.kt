/**
 * One stream between two peers, for the side that opened it as well as the side that accepted it. One coroutine sends
 * and receives: it waits for the next message, a flush request or the next heartbeat, whichever comes first.
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

/** Why a stream was closed. */
enum class LinkCloseReason(val reason: String) {
    /** The stream ended. */
    CLOSED("closed"),

    /** No message was received for [PeerLimits.idleTimeoutMs]. */
    SILENT("silent"),

    /** A message could not be sent within [PeerLimits.idleTimeoutMs]. */
    BLOCKED("blocked"),

    /** A message could not be decoded. */
    MALFORMED("malformed"),

    /** The first message has no sender. */
    UNNAMED("unnamed"),

    /** The peer is an outdated process run. */
    REFUSED("refused"),

    /** A stream opened by this process failed before a message of the peer was received. */
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

        data object FlushRequested : Event

        data object TimerElapsed : Event

        data object Closed : Event
    }

    private val sequenceChecker = SequenceChecker()
    private val flushSignal = Channel<Unit>(Channel.CONFLATED)
    private var handlers = emptyList<LinkHandler>()
    private var sequence = 0L
    private var nextSendAt = clock()
    private var lastSentAt = clock() - limits.heartbeatIntervalMs
    private var lastReceivedAt = clock()

    /** The peer; null until its first message was received. */
    var peer: PeerIdentity? = null
        private set

    /** Runs the stream until it is closed. The side that opened it sends the first message. */
    suspend fun run(messages: ReceiveChannel<PeerEnvelope>, send: SendEnvelope): LinkCloseReason {
        linkRegistry.registerFlushSignal(flushSignal)
        try {
            return exchangeMessages(messages, send)
        } finally {
            linkRegistry.removeFlushSignal(flushSignal)
            handlers.forEach { it.close() }
            peer?.let { linkRegistry.linkClosed(it.id, inbound) }
        }
    }

    private suspend fun exchangeMessages(messages: ReceiveChannel<PeerEnvelope>, send: SendEnvelope): LinkCloseReason {
        while (true) {
            val canSend = peer != null || (!inbound && sequence == 0L)
            if (canSend && clock() >= nextSendAt && !sendNext(send)) return LinkCloseReason.BLOCKED
            if (clock() - lastReceivedAt >= limits.idleTimeoutMs) return LinkCloseReason.SILENT
            when (val event = nextEvent(messages, canSend)) {
                is Event.Received -> handleMessage(event.envelope, send)?.let { return it }
                Event.FlushRequested -> nextSendAt = minOf(nextSendAt, lastSentAt + limits.minMessageIntervalMs)
                Event.TimerElapsed -> Unit
                Event.Closed -> return LinkCloseReason.CLOSED
            }
        }
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun nextEvent(messages: ReceiveChannel<PeerEnvelope>, canSend: Boolean): Event {
        val idleAt = lastReceivedAt + limits.idleTimeoutMs
        val wakeAt = if (canSend) minOf(nextSendAt, idleAt) else idleAt
        return select {
            messages.onReceiveCatching { result -> result.getOrNull()?.let { Event.Received(it) } ?: Event.Closed }
            flushSignal.onReceive { Event.FlushRequested }
            onTimeout((wakeAt - clock()).coerceAtLeast(1)) { Event.TimerElapsed }
        }
    }

    /** Handles a message. Returns the reason if the stream has to be closed, else null. */
    private suspend fun handleMessage(envelope: PeerEnvelope, send: SendEnvelope): LinkCloseReason? {
        val message =
            envelope.toMessage().getOrElse {
                counters.count("malformed_${it.field}")
                return LinkCloseReason.MALFORMED
            }
        val status = sequenceChecker.check(message)
        counters.count("message_${status.reason}")
        if (!status.isAccepted) return null
        lastReceivedAt = clock()
        if (peer == null) {
            val closeReason = openLink(message, send)
            if (closeReason != null) return closeReason
        }
        handlers.forEach { it.consume(message) }
        return null
    }

    private suspend fun openLink(message: PeerMessage, send: SendEnvelope): LinkCloseReason? {
        val sender = message.sender ?: return LinkCloseReason.UNNAMED
        val isAccepted = linkRegistry.accepts(sender, message.incarnation)
        peer = sender
        linkRegistry.linkOpened(sender.id, inbound)
        handlers = linkRegistry.openHandlers(sender, message.incarnation)
        nextSendAt = clock()
        if (isAccepted) return null
        // An outdated process run gets one message, which informs it of the newer one.
        sendNext(send)
        return LinkCloseReason.REFUSED
    }

    /** Sends the next message. Returns false if the peer does not receive it in time. */
    private suspend fun sendNext(send: SendEnvelope): Boolean {
        val builder = PeerMessageBuilder()
        handlers.forEach { it.fill(builder) }
        val (identity, incarnation) = linkRegistry.localIdentity()
        val envelope = builder.build(identity.takeIf { sequence == 0L }, incarnation, ++sequence).toEnvelope()
        counters.count("message_sent")
        lastSentAt = clock()
        nextSendAt = lastSentAt + if (builder.hasMore) limits.minMessageIntervalMs else limits.heartbeatIntervalMs
        return withTimeoutOrNull(limits.idleTimeoutMs) { send(envelope) } != null
    }
}
