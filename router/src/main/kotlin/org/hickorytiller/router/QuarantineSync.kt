/** Passes quarantined requests between routers, so that a request that crashes servers is refused on all of them. */
package org.hickorytiller.router

import org.hickorytiller.core.Clock
import org.hickorytiller.peering.LinkHandler
import org.hickorytiller.peering.QuarantineNotice
import org.hickorytiller.quarantine.CrashSuspects
import org.hickorytiller.quarantine.Quarantine
import org.hickorytiller.quarantine.RequestFingerprint

/** Quarantines of one router. Confined to the event loop. */
internal class QuarantineSync(private val suspects: CrashSuspects, private val clock: Clock) {
    /** Opens the exchange on one link. Each quarantine is sent once, and not back to where it came from. */
    fun open(): LinkHandler {
        val known = HashSet<RequestFingerprint>()
        return LinkHandler(
            fill = { builder ->
                val active = suspects.quarantines(clock())
                known.retainAll(active.mapTo(HashSet()) { it.fingerprint })
                active.filter { known.add(it.fingerprint) }.take(MAX_PER_MESSAGE).forEach {
                    builder.quarantines += QuarantineNotice(it.fingerprint.value, it.remainingMs)
                }
            },
            consume = { message ->
                message.quarantines.forEach {
                    val fingerprint = RequestFingerprint(it.fingerprint)
                    known += fingerprint
                    suspects.applyPeerQuarantine(Quarantine(fingerprint, it.remainingMs), clock())
                }
            },
        )
    }

    private companion object {
        const val MAX_PER_MESSAGE = 64
    }
}
