/** Failure domains that are about to be evicted. */
package org.hickorytiller.balancing

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.TimeMs

internal class Evictions {
    private val blockedUntil = HashMap<FailureDomain, TimeMs>()

    /** Excludes the servers of [domain] from new requests until [end]. */
    fun add(domain: FailureDomain, end: TimeMs) {
        blockedUntil[domain] = maxOf(blockedUntil[domain] ?: end, end)
    }

    /** Whether [server] is running and may receive new requests. */
    fun allows(server: BackendServer, now: TimeMs): Boolean {
        if (server.state != BackendServerState.RUNNING) return false
        if (blockedUntil.isEmpty()) return true
        val end = blockedUntil[server.failureDomain] ?: return true
        return now >= end
    }
}
