/** Moves work away from servers that the platform takes back. */
package org.hickorytiller.router

import org.hickorytiller.balancing.BackendServerTable
import org.hickorytiller.core.Clock
import org.hickorytiller.dispatch.Dispatcher

/**
 * Ends the attempts of idempotent requests on reclaimable servers that may not receive new work any more; the requests
 * go on elsewhere. Losses in their failure domains blame no request. To be called when the list of servers changes.
 */
internal fun moveFromReclaimed(dispatcher: Dispatcher, servers: BackendServerTable, clock: Clock) {
    val reclaimed = dispatcher.running.all().map { it.server }.distinct().filter { server ->
        server.reclaimable && servers.available(server.pool).none { it.id == server.id }
    }
    val now = clock()
    reclaimed.forEach { dispatcher.suspects.evictionAnnounced(it.failureDomain, NOTICE_MS, now) }
    if (reclaimed.isNotEmpty()) dispatcher.running.moveFrom { it in reclaimed }
}

// The platform's notice is a few seconds; a longer time only spares requests from suspicion.
private const val NOTICE_MS = 30_000L
