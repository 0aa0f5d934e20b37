/**
 * Passes key withdrawals between routers while the log is down or has not delivered them yet. A hash in a message says
 * that its sender knows the withdrawal, so it is repeated until the peer has named it too.
 */
package org.hickorytiller.router

import org.hickorytiller.core.KeyHash
import org.hickorytiller.peering.LinkHandler
import org.hickorytiller.peering.PeerMessageBuilder

/** The withdrawals that the configuration in force does not contain yet. */
internal typealias PendingWithdrawals = () -> Collection<KeyHash>

/** Withdraws a key in this process. Returns false if that was known already. */
internal typealias WithdrawKey = (KeyHash) -> Boolean

internal class WithdrawalSync(
    private val pending: PendingWithdrawals,
    private val withdraw: WithdrawKey,
    private val flushLinks: () -> Unit,
) {
    /** Opens the exchange on one link. */
    fun open(): LinkHandler {
        val knownByPeer = HashSet<KeyHash>()
        val named = HashSet<KeyHash>()
        val unanswered = LinkedHashSet<KeyHash>()
        return LinkHandler(
            fill = { builder ->
                val outstanding = pending().filter { it !in knownByPeer }
                // Repeats come last, so that they never keep back what the peer has not been told at all.
                fill(builder, (unanswered + outstanding).sortedBy { it in named }, named)
                unanswered -= named
            },
            consume = { message ->
                message.withdrawnKeys.forEach { hash ->
                    knownByPeer += hash
                    if (hash !in named) unanswered += hash
                    if (withdraw(hash)) flushLinks()
                }
            },
        )
    }

    private fun fill(builder: PeerMessageBuilder, hashes: List<KeyHash>, named: MutableSet<KeyHash>) {
        builder.withdrawnKeys += hashes.take(MAX_PER_MESSAGE)
        named += builder.withdrawnKeys
        if (hashes.any { it !in named }) builder.hasMore = true
    }

    private companion object {
        /** 1000 hashes take 66 KB, a quarter of the limit of a message. */
        const val MAX_PER_MESSAGE = 1_000
    }
}
