/** Failure domains that are about to be evicted. */
package org.hickorytiller.balancing

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.TimeMs

internal class Evictions {
    private val until = HashMap<FailureDomain, TimeMs>()

    /** Keeps new work away from [domain] up to [end]. */
    fun add(domain: FailureDomain, end: TimeMs) {
        until[domain] = maxOf(until[domain] ?: end, end)
    }

    /** Whether [server] may receive new work. */
    fun takesNewWork(server: BackendServer, now: TimeMs): Boolean {
        if (server.state != BackendServerState.RUNNING) return false
        if (until.isEmpty()) return true
        val end = until[server.failureDomain] ?: return true
        return now >= end
    }
}
