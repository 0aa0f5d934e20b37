/** What the size of a pool is decided from, and the orders that follow. */
package org.hickorytiller.scaling

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.PoolId
import org.hickorytiller.routes.PoolSpec

/** One kind of server in one failure domain; orders are placed for each of them by itself. */
data class ServerGroup(val pool: PoolId, val domain: FailureDomain, val isReclaimable: Boolean)

/** Asks for [count] servers of [group]. */
data class FleetOrder(val group: ServerGroup, val count: Int)

/**
 * @property servers the pool's servers as the platform lists them
 * @property inFlight requests in flight in the pool over all hosts
 */
data class PoolStatus(val pool: PoolSpec, val servers: List<BackendServer>, val inFlight: Int)
