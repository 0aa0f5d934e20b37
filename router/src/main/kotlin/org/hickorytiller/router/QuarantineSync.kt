/** Exchanges quarantines between routers, so that all of them reject requests that crash servers. */
package org.hickorytiller.router

import org.hickorytiller.core.Clock
import org.hickorytiller.peering.LinkHandler
import org.hickorytiller.peering.QuarantineNotice
import org.hickorytiller.quarantine.CrashSuspects
import org.hickorytiller.quarantine.Fingerprint
import org.hickorytiller.quarantine.Quarantine
import org.hickorytiller.quarantine.SuspectTable
import org.hickorytiller.quarantine.isPromptPart

/** Sends this router's quarantines and applies those of its peers. Confined to the event loop. */
internal class QuarantineSync(
    private val suspects: CrashSuspects,
    private val partSuspects: SuspectTable,
    private val clock: Clock,
) {
    /** Creates the handler of one link. Each quarantine is sent once, and not to the peer that it was received from. */
    fun open(): LinkHandler {
        val knownByPeer = HashSet<Fingerprint>()
        return LinkHandler(
            fill = { builder ->
                val active = active()
                knownByPeer.retainAll(active.mapTo(HashSet()) { it.fingerprint })
                active.filter { knownByPeer.add(it.fingerprint) }.take(MAX_PER_MESSAGE).forEach {
                    builder.quarantines += QuarantineNotice(it.fingerprint.value, it.remainingMs)
                }
            },
            consume = { message ->
                message.quarantines.forEach {
                    val fingerprint = Fingerprint(it.fingerprint)
                    knownByPeer += fingerprint
                    apply(Quarantine(fingerprint, it.remainingMs))
                }
            },
        )
    }

    private fun active(): List<Quarantine> {
        val now = clock()
        val parts = partSuspects.quarantines(now).mapNotNull { (part, _) ->
            partSuspects.refusalMs(listOf(part), now)?.let { Quarantine(part, it) }
        }
        return suspects.quarantines(now) + parts
    }

    private fun apply(quarantine: Quarantine) {
        if (quarantine.fingerprint.isPromptPart) {
            partSuspects.applyPeerQuarantine(quarantine.fingerprint, quarantine.remainingMs, clock())
        } else {
            suspects.applyPeerQuarantine(quarantine, clock())
        }
    }

    private companion object {
        const val MAX_PER_MESSAGE = 64
    }
}
