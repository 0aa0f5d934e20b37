/**
 * What this router knows of the backend servers, and the choice among them.
 */
package org.hickorytiller.balancing

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.PoolId

/** Backend servers by pool with this router's requests in flight. Confined to the event loop. */
class BackendServerTable {
    private var servers = emptyMap<BackendServerId, BackendServer>()
    private val inFlight = HashMap<BackendServerId, Int>()

    /** Replaces the list of backend servers. */
    fun replace(listed: List<BackendServer>) {
        servers = listed.associateBy { it.id }
    }

    /** The servers of [pool] that may receive new work. */
    fun available(pool: PoolId): List<BackendServer> =
        servers.values.filter { it.pool == pool && it.state == BackendServerState.RUNNING }

    /** Number of requests that [pool] can take right now. */
    fun freeSlots(pool: PoolId): Int = available(pool).sumOf { maxOf(0, it.slots - inFlight(it.id)) }

    /**
     * Chooses the server of [pool] that [mayUse] allows with the smallest share of its slots in use; null if every slot
     * is in use.
     */
    fun choose(pool: PoolId, mayUse: (BackendServer) -> Boolean = { true }): BackendServer? = available(pool)
        .filter { inFlight(it.id) < it.slots && mayUse(it) }
        .minByOrNull { inFlight(it.id).toDouble() / it.slots }

    /** Records that a request starts on [id]. */
    fun started(id: BackendServerId) {
        inFlight.merge(id, 1, Int::plus)
    }

    /** Records that a request ended on [id]. */
    fun ended(id: BackendServerId) {
        inFlight.computeIfPresent(id) { _, count -> if (count > 1) count - 1 else null }
    }

    private fun inFlight(id: BackendServerId) = inFlight[id] ?: 0
}
