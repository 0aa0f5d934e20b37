/** Looks up the route and the customer of a request in one version of the configuration. */
package org.hickorytiller.routes

import org.hickorytiller.core.PoolId

/** Result of the lookup of a request in the configuration. */
sealed interface Resolution {
    /** The request may run for [customer], who is null on a public route or if no keys are needed. */
    data class Allowed(val route: Route, val customer: Customer?) : Resolution

    /** No route matches the host and path. */
    data object NoRoute : Resolution

    /** The route requires a key, and the request has none or one that belongs to no customer. */
    data class UnknownKey(val route: Route) : Resolution
}

/** Immutable index of [configuration]. */
class RouteTable(val configuration: RoutingConfiguration) {
    private val routesByHost: Map<String, List<Route>> =
        configuration.routes.groupBy { it.host }.mapValues { (_, routes) ->
            routes.sortedByDescending { it.pathPrefix.length }
        }
    private val customersByKey: Map<String, Customer> =
        configuration.customers.flatMap { customer -> customer.keys.map { it to customer } }.toMap()

    /** Resolves a request for [path] on [host] (with or without a port) with [key]. */
    fun resolve(host: String, path: String, key: String?): Resolution {
        val routes = routesByHost[host.substringBefore(':')] ?: return Resolution.NoRoute
        val route = routes.firstOrNull { path.startsWith(it.pathPrefix) } ?: return Resolution.NoRoute
        if (route.isPublic || !configuration.needsKeys) return Resolution.Allowed(route, customer = null)
        val customer = key?.let { customersByKey[it] } ?: return Resolution.UnknownKey(route)
        return Resolution.Allowed(route, customer)
    }
}

/**
 * Chooses a pool of [route] by weight. [fraction] is a number from 0 to 1 that is the same for all attempts of a
 * request. Returns null if no pool of the route has a positive weight.
 */
fun choosePool(route: Route, fraction: Double): PoolId? {
    val total = route.pools.sumOf { it.weight }
    var remaining = fraction * total
    for (weighted in route.pools) {
        remaining -= weighted.weight
        if (weighted.weight > 0 && remaining < 0) return weighted.pool
    }
    return route.pools.lastOrNull { it.weight > 0 }?.pool
}
