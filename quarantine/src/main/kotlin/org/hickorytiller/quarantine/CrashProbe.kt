/** Distinguishes the crash of a server from the loss of a single connection to it. */
package org.hickorytiller.quarantine

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.Clock

/** Whether a server accepts a new connection. */
typealias AcceptsConnections = suspend (BackendServer) -> Boolean

/** Probes servers and records detected crashes in [suspects] and [partSuspects]. */
class CrashProbe(
    val suspects: CrashSuspects,
    private val clock: Clock,
    val partSuspects: PartSuspects = PartSuspects(),
    private val acceptsConnections: AcceptsConnections,
) {
    /**
     * Connects to [server] after a connection to it was lost. If it accepts none, it has crashed, and the requests in
     * flight on it and the parts of their prompts become suspects. Returns whether it has crashed.
     */
    suspend fun detectCrash(server: BackendServer): Boolean {
        if (acceptsConnections(server)) return false
        val now = clock()
        suspects.crashed(server, now)
        partSuspects.crashed(server, now)
        return true
    }
}
