/** Input and output of the fleet planner. */
package org.hickorytiller.scaling

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.PoolId
import org.hickorytiller.routes.PoolSpec

/** The servers of one kind in one failure domain of a pool. Each group has an order of its own. */
data class ServerGroup(val pool: PoolId, val domain: FailureDomain, val isReclaimable: Boolean)

/** An order for [count] servers in total in [group]. */
data class FleetOrder(val group: ServerGroup, val count: Int)

/**
 * Current state of a pool.
 *
 * @property servers the pool's servers as listed by the platform
 * @property inFlight requests in flight in the pool over all hosts
 * @property limited servers that state a rate limit and so serve little
 */
data class PoolStatus(
    val pool: PoolSpec,
    val servers: List<BackendServer>,
    val inFlight: Int,
    val limited: Set<BackendServerId> = emptySet(),
)
