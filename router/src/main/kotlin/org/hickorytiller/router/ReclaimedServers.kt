/** Moves requests away from servers that the platform reclaims. */
package org.hickorytiller.router

import org.hickorytiller.balancing.BackendServerTable
import org.hickorytiller.core.Clock
import org.hickorytiller.dispatch.Dispatcher

/**
 * Ends the attempts of idempotent requests on reclaimable servers that may no longer receive new work; the requests
 * continue on other servers. For [RECLAIM_NOTICE_MS], no request is suspected of crashing a server in the failure
 * domains of the reclaimed servers. To be called when the list of servers changes.
 */
internal fun moveOffReclaimedServers(dispatcher: Dispatcher, servers: BackendServerTable, clock: Clock) {
    val reclaimed = dispatcher.running.all().map { it.server }.distinct().filter { server ->
        server.reclaimable && servers.available(server.pool).none { it.id == server.id }
    }
    val now = clock()
    reclaimed.forEach { dispatcher.suspects.evictionAnnounced(it.failureDomain, RECLAIM_NOTICE_MS, now) }
    if (reclaimed.isNotEmpty()) dispatcher.running.moveFrom { it in reclaimed }
}

// The platform announces a reclaim a few seconds ahead. The only cost of a longer time is that crashes in it are not
// attributed to requests.
private const val RECLAIM_NOTICE_MS = 30_000L
