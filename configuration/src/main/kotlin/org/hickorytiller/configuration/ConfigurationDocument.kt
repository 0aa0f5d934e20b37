/**
 * The configuration as typed values. Each section belongs to a different team and changes independently; references
 * between sections are checked in the merged document.
 */
package org.hickorytiller.configuration

import org.hickorytiller.core.ClassId
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.KeyHash
import org.hickorytiller.core.ModelId
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.RequestClass

/** The sections of the document. */
enum class Section(val key: String) {
    CUSTOMERS("customers"),
    CLASSES("classes"),
    BUDGETS("budgets"),
    BACKEND_SERVERS("backendServers"),
    ROUTES("routes"),
    ;

    companion object {
        /** Returns the section with the document key [key], or null if there is none. */
        fun of(key: String): Section? = entries.firstOrNull { it.key == key }
    }
}

/**
 * A customer.
 *
 * @property weight share relative to other customers
 * @property requestsPerMinute limit across all routers; 0 means no limit
 * @property maxConcurrent limit of concurrent requests across all routers; 0 means no limit
 */
data class CustomerEntry(
    val id: CustomerId,
    val weight: Double,
    val requestsPerMinute: Int,
    val maxConcurrent: Int,
    val keys: Set<KeyHash>,
)

/**
 * Budget of one pool of backend servers.
 *
 * @property maxCentsPerHour limit of the total cost of the running servers
 */
data class Budget(
    val pool: PoolId,
    val maxCentsPerHour: Long,
    val centsPerServerHour: Long,
    val centsPerReclaimableServerHour: Long,
    val minServers: Int,
    val maxServers: Int,
)

/** Kind of the backend servers of a pool. */
enum class PoolKind { ENGINE, SERVICE }

/**
 * A pool of interchangeable backend servers.
 *
 * @property checksFencingToken whether the servers reject an order with an outdated fencing token
 */
data class Pool(val id: PoolId, val kind: PoolKind, val model: ModelId?, val checksFencingToken: Boolean)

/**
 * A route from a path, and for engines also a model, to a pool.
 *
 * @property open whether requests are accepted without a key
 * @property idempotent whether a request may be executed more than once
 * @property classes request classes that a caller may choose; the first is the default
 */
data class RouteEntry(
    val name: String,
    val path: String,
    val pool: PoolId,
    val open: Boolean,
    val idempotent: Boolean,
    val classes: List<ClassId>,
)

/** The merged document. Routes are sorted by name. */
data class ConfigurationDocument(
    val customers: Map<CustomerId, CustomerEntry> = emptyMap(),
    val classes: Map<ClassId, RequestClass> = emptyMap(),
    val budgets: Map<PoolId, Budget> = emptyMap(),
    val pools: Map<PoolId, Pool> = emptyMap(),
    val routes: List<RouteEntry> = emptyList(),
) {
    /** Returns the route for [path] and, if it is not null, [model]; null if there is none. */
    fun route(path: String, model: ModelId? = null): RouteEntry? =
        routes.firstOrNull { it.path == path && (model == null || pools[it.pool]?.model == model) }
}
