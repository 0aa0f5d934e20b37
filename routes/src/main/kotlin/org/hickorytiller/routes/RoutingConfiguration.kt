/** One version of the operators' configuration, as far as requests and backend servers are concerned. */
package org.hickorytiller.routes

import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.PoolId

/** Number of a configuration. Later versions have larger numbers. */
@JvmInline
value class ConfigurationVersion(val value: Long) : Comparable<ConfigurationVersion> {
    override fun compareTo(other: ConfigurationVersion) = value.compareTo(other.value)

    override fun toString() = value.toString()
}

/**
 * A customer with the keys that are valid now.
 *
 * @property priority goes before the priority of the route; null if the customer has none
 */
data class Customer(val id: CustomerId, val keys: List<String>, val priority: Int?)

/** What a pool's model engines can hold. */
data class EngineSpec(val slots: Int, val memoryTokens: Long)

/**
 * Bounds and prices of a pool whose size the system orders.
 *
 * @property min smallest number of servers in each failure domain
 * @property max largest number of servers in each failure domain
 * @property bootDelayMs time from an order to the first request that a new server can take
 * @property reclaimablePrice price of a reclaimable server as a part of the price of another one
 * @property domainPrices price of a server for a second, by failure domain
 */
data class ScalingSpec(
    val min: Int,
    val max: Int,
    val bootDelayMs: Long,
    val reclaimablePrice: Double?,
    val domainPrices: Map<FailureDomain, Double>,
)

/** A pool; [engine] is null for a plain service, [scaling] for a pool of fixed size. */
data class PoolSpec(val id: PoolId, val engine: EngineSpec?, val scaling: ScalingSpec?)

/** One whole version. [needsKeys] is false where no customers are configured: every request is then served. */
data class RoutingConfiguration(
    val version: ConfigurationVersion,
    val routes: List<Route>,
    val pools: List<PoolSpec>,
    val customers: List<Customer>,
    val needsKeys: Boolean,
)
