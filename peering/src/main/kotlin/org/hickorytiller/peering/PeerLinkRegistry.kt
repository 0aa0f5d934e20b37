/**
 * Connects the components of a process to its links. A component registers a factory that creates a handler for each
 * new link. The handler adds updates to outgoing messages and applies incoming ones; the state of one link is kept in
 * the closure of its handler.
 */
package org.hickorytiller.peering

import kotlinx.coroutines.channels.Channel

/** Adds a component's updates to the next message on a link. */
typealias FillMessage = (PeerMessageBuilder) -> Unit

/** Applies a component's updates from a received message. */
typealias ConsumeMessage = (PeerMessage) -> Unit

/** Handler of one component on one link. [close] is called when the link has ended. */
class LinkHandler(val fill: FillMessage = {}, val consume: ConsumeMessage = {}, val close: () -> Unit = {})

/** Creates a component's handler for a link to a peer in the given incarnation. */
typealias LinkHandlerFactory = (PeerIdentity, Long) -> LinkHandler

/** Returns whether a link to a peer in the given incarnation may be used. */
typealias AcceptPeer = (PeerIdentity, Long) -> Boolean

/** Returns the identity and the incarnation that this process sends in its messages. */
typealias LocalIdentity = () -> Pair<PeerIdentity, Long>

/** The links of one process and the handlers on them. Confined to the event loop. */
class PeerLinkRegistry(internal val localIdentity: LocalIdentity, internal val accepts: AcceptPeer = { _, _ -> true }) {
    private val handlerFactories = ArrayList<LinkHandlerFactory>()
    private val flushSignals = LinkedHashSet<Channel<Unit>>()

    /** Number of established links by peer and by whether the peer opened them. */
    private val links = HashMap<Pair<MemberId, Boolean>, Int>()

    /** Registers a handler factory. To be called before the first link opens. */
    fun registerHandler(factory: LinkHandlerFactory) {
        handlerFactories += factory
    }

    /** Makes every link send its next message without waiting for the heartbeat. */
    fun flushLinks() = flushSignals.forEach { it.trySend(Unit) }

    /** The peers that have opened a link to this process. */
    fun inboundPeers(): Set<MemberId> = links.keys.filter { it.second }.mapTo(HashSet()) { it.first }

    /** Number of established links. */
    fun linkCount(): Int = links.values.sum()

    internal fun openHandlers(peer: PeerIdentity, incarnation: Long): List<LinkHandler> =
        handlerFactories.map { it(peer, incarnation) }

    internal fun registerFlushSignal(flushSignal: Channel<Unit>) {
        flushSignals += flushSignal
    }

    internal fun removeFlushSignal(flushSignal: Channel<Unit>) {
        flushSignals -= flushSignal
    }

    internal fun linkOpened(peer: MemberId, inbound: Boolean) {
        links.merge(peer to inbound, 1, Int::plus)
    }

    internal fun linkClosed(peer: MemberId, inbound: Boolean) {
        links.computeIfPresent(peer to inbound) { _, count -> if (count > 1) count - 1 else null }
    }
}
