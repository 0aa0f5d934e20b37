/** Finds the route and the customer of a request in one version of the configuration. */
package org.hickorytiller.routes

import org.hickorytiller.core.PoolId

/** What the configuration says about a request. */
sealed interface Resolution {
    /** The request may run for [customer], who is null on a public route. */
    data class Allowed(val route: Route, val customer: Customer?) : Resolution

    /** No route matches host and path. */
    data object NoRoute : Resolution

    /** The route needs a key, and the request has none or one that nobody holds. */
    data class UnknownKey(val route: Route) : Resolution
}

/** Immutable index of [configuration]. */
class RouteTable(val configuration: RoutingConfiguration) {
    private val byHost: Map<String, List<Route>> =
        configuration.routes.groupBy { it.host }.mapValues { (_, routes) ->
            routes.sortedByDescending { it.pathPrefix.length }
        }
    private val byKey: Map<String, Customer> =
        configuration.customers.flatMap { customer -> customer.keys.map { it to customer } }.toMap()

    /** Resolves a request for [path] at [host] (with or without a port) that came with [key]. */
    fun resolve(host: String, path: String, key: String?): Resolution {
        val routes = byHost[host.substringBefore(':')] ?: return Resolution.NoRoute
        val route = routes.firstOrNull { path.startsWith(it.pathPrefix) } ?: return Resolution.NoRoute
        if (route.isPublic || !configuration.needsKeys) return Resolution.Allowed(route, customer = null)
        val customer = key?.let { byKey[it] } ?: return Resolution.UnknownKey(route)
        return Resolution.Allowed(route, customer)
    }
}

/**
 * Chooses a pool of [route] by weight. [draw] is a number from 0 to 1 that is the same for all attempts of a request.
 * Null if the route has no pool with a weight.
 */
fun choosePool(route: Route, draw: Double): PoolId? {
    val total = route.pools.sumOf { it.weight }
    var rest = draw * total
    for (weighted in route.pools) {
        rest -= weighted.weight
        if (weighted.weight > 0 && rest < 0) return weighted.pool
    }
    return route.pools.lastOrNull { it.weight > 0 }?.pool
}
