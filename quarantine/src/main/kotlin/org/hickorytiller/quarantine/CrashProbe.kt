/** Distinguishes the crash of a server from the loss of a single connection to it. */
package org.hickorytiller.quarantine

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.Clock
import org.hickorytiller.core.TimeMs

/** Whether a server accepts a new connection. */
typealias AcceptsConnections = suspend (BackendServer) -> Boolean

/** Records that a server has crashed. */
typealias RecordCrash = (BackendServer, TimeMs) -> Unit

/** Probes servers and records detected crashes. */
class CrashProbe(
    private val clock: Clock,
    private val recordCrash: RecordCrash,
    private val acceptsConnections: AcceptsConnections,
) {
    /** Returns whether [server] accepts a connection. Records nothing. */
    suspend fun isReachable(server: BackendServer): Boolean = acceptsConnections(server)

    /**
     * Connects to [server] after a connection to it was lost. If it accepts none, it has crashed, and the requests in
     * flight on it become suspects. Returns whether it has crashed.
     */
    suspend fun detectCrash(server: BackendServer): Boolean {
        if (acceptsConnections(server)) return false
        recordCrash(server, clock())
        return true
    }
}
