/** The part of one version of the operators' configuration that concerns requests and backend servers. */
package org.hickorytiller.routes

import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.PoolId

/** Number of a configuration version. Later versions have larger numbers. */
@JvmInline
value class ConfigurationVersion(val value: Long) : Comparable<ConfigurationVersion> {
    override fun compareTo(other: ConfigurationVersion) = value.compareTo(other.value)

    override fun toString() = value.toString()
}

/**
 * A customer with its valid keys.
 *
 * @property priority overrides the priority of the route; null if the customer has none
 */
data class Customer(val id: CustomerId, val keys: List<String>, val priority: Int?)

/** A model engine in a pool. [canMoveRuns] is whether it can move a run to another engine of the pool. */
data class EngineSpec(val slots: Int, val memoryTokens: Long, val canMoveRuns: Boolean = false)

/**
 * Limits and prices of a pool that is scaled automatically.
 *
 * @property min minimum number of servers in each failure domain
 * @property max maximum number of servers in each failure domain
 * @property bootDelayMs time from an order until the new server can serve requests
 * @property reclaimablePrice price of a reclaimable server as a fraction of the price of a server that is not
 * @property domainPrices price of a server per second, by failure domain
 */
data class ScalingSpec(
    val min: Int,
    val max: Int,
    val bootDelayMs: Long,
    val reclaimablePrice: Double?,
    val domainPrices: Map<FailureDomain, Double>,
)

/** A pool. [engine] is null for a plain service, [scaling] is null for a pool of fixed size. */
data class PoolSpec(val id: PoolId, val engine: EngineSpec?, val scaling: ScalingSpec?)

/** One complete version. [needsKeys] is false if no customers are configured: every request is then served. */
data class RoutingConfiguration(
    val version: ConfigurationVersion,
    val routes: List<Route>,
    val pools: List<PoolSpec>,
    val customers: List<Customer>,
    val needsKeys: Boolean,
)
