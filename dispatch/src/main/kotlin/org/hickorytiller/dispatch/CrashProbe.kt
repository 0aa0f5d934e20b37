/** Tells the crash of a server from the loss of one connection to it. */
package org.hickorytiller.dispatch

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.Clock
import org.hickorytiller.http.HttpClient
import org.hickorytiller.http.HttpFault

internal class CrashProbe(
    private val client: HttpClient,
    private val suspects: CrashSuspects,
    private val clock: Clock,
) {
    /**
     * Connects to [server] after a connection to it was lost. If it accepts none, the server crashed, and what was in
     * flight on it becomes suspect. Returns whether it crashed.
     */
    suspend fun probe(server: BackendServer): Boolean {
        val fault = client.connect(server.address).fold({ it }, {
            it.close()
            null
        })
        if (fault != HttpFault.UNREACHABLE) return false
        suspects.crashed(server, clock())
        return true
    }
}
