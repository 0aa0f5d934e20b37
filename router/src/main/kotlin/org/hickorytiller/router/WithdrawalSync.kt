/**
 * Exchanges key withdrawals between routers while the log is unavailable or has not delivered them yet. A hash in a
 * message means that its sender knows the withdrawal, so a hash is resent until it was received from the peer too.
 */
package org.hickorytiller.router

import org.hickorytiller.core.KeyHash
import org.hickorytiller.peering.LinkHandler
import org.hickorytiller.peering.PeerMessageBuilder

/** Returns the withdrawals that the configuration in effect does not contain yet. */
internal typealias PendingWithdrawals = () -> Collection<KeyHash>

/** Withdraws a key in this process. Returns false if it was withdrawn already. */
internal typealias WithdrawKey = (KeyHash) -> Boolean

/** Sends pending withdrawals on each link until the peer has confirmed them. Confined to the event loop. */
internal class WithdrawalSync(
    private val pending: PendingWithdrawals,
    private val withdraw: WithdrawKey,
    private val flushLinks: () -> Unit,
) {
    /** Creates the handler of one link. */
    fun open(): LinkHandler {
        val knownByPeer = HashSet<KeyHash>()
        val sentHashes = HashSet<KeyHash>()
        val hashesToConfirm = LinkedHashSet<KeyHash>()
        return LinkHandler(
            fill = { builder ->
                val outstanding = pending().filter { it !in knownByPeer }
                // Resent hashes come last, so that they never delay hashes that have not been sent at all.
                fill(builder, (hashesToConfirm + outstanding).sortedBy { it in sentHashes }, sentHashes)
                hashesToConfirm -= sentHashes
            },
            consume = { message ->
                message.withdrawnKeys.forEach { hash ->
                    knownByPeer += hash
                    if (hash !in sentHashes) hashesToConfirm += hash
                    if (withdraw(hash)) flushLinks()
                }
            },
        )
    }

    private fun fill(builder: PeerMessageBuilder, hashes: List<KeyHash>, sentHashes: MutableSet<KeyHash>) {
        builder.withdrawnKeys += hashes.take(MAX_PER_MESSAGE)
        sentHashes += builder.withdrawnKeys
        if (hashes.any { it !in sentHashes }) builder.hasMore = true
    }

    private companion object {
        /** 1000 hashes take 66 KB, a quarter of the message size limit. */
        const val MAX_PER_MESSAGE = 1_000
    }
}
