/**
 * Connects slices to the links. A slice says what happens when a link opens: which news it adds to each outgoing
 * message and what it does with each incoming one. State that belongs to one link lives in these functions' closure.
 */
package org.hickorytiller.peering

import kotlinx.coroutines.channels.Channel

/** Adds a slice's news to the next message on a link. */
typealias FillMessage = (PeerMessageBuilder) -> Unit

/** Takes a slice's news from a message. */
typealias ConsumeMessage = (PeerMessage) -> Unit

/** What a slice does on one link. [close] is called when the link has ended. */
class LinkHandler(val fill: FillMessage = {}, val consume: ConsumeMessage = {}, val close: () -> Unit = {})

/** Opens a slice's exchange with a peer in the given incarnation. */
typealias LinkHandlerFactory = (PeerIdentity, Long) -> LinkHandler

/** Whether a link to a peer in the given incarnation may be used. */
typealias AcceptPeer = (PeerIdentity, Long) -> Boolean

/** This process as it names itself in its messages. */
typealias OwnIdentity = () -> Pair<PeerIdentity, Long>

/** The exchange of one process. Confined to the event loop. */
class PeerLinkRegistry(internal val own: OwnIdentity, internal val accepts: AcceptPeer = { _, _ -> true }) {
    private val slices = ArrayList<LinkHandlerFactory>()
    private val urgent = LinkedHashSet<Channel<Unit>>()

    /** Peers with an established link, with the number of links, by whether the peer opened them. */
    private val links = HashMap<Pair<MemberId, Boolean>, Int>()

    /** Adds a slice. To be called before the first link opens. */
    fun registerHandler(open: LinkHandlerFactory) {
        slices += open
    }

    /** Makes every link send its next message at once. */
    fun flushLinks() = urgent.forEach { it.trySend(Unit) }

    /** The peers that have opened a link to this process. */
    fun inboundPeers(): Set<MemberId> = links.keys.filter { it.second }.mapTo(HashSet()) { it.first }

    /** Number of established links. */
    fun linkCount(): Int = links.values.sum()

    internal fun open(peer: PeerIdentity, incarnation: Long): List<LinkHandler> = slices.map { it(peer, incarnation) }

    internal fun registerSignal(signal: Channel<Unit>) {
        urgent += signal
    }

    internal fun removeSignal(signal: Channel<Unit>) {
        urgent -= signal
    }

    internal fun linkOpened(peer: MemberId, inbound: Boolean) {
        links.merge(peer to inbound, 1, Int::plus)
    }

    internal fun linkClosed(peer: MemberId, inbound: Boolean) {
        links.computeIfPresent(peer to inbound) { _, count -> if (count > 1) count - 1 else null }
    }
}
