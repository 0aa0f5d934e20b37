/** Inputs and results of the order planner. */
package org.hickorytiller.orders

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.ClassId
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.Tier
import org.hickorytiller.core.TimeMs

/**
 * Limits of one pool.
 *
 * @property maxCentsPerHour limit of the cost of the running servers
 * @property model model that the engines of the pool have to load; null for plain services
 * @property role role that the engines must have; null if they keep their current one
 */
data class PoolPolicy(
    val pool: PoolId,
    val maxCentsPerHour: Long,
    val centsPerServerHour: Long,
    val centsPerReclaimableServerHour: Long,
    val minServers: Int,
    val maxServers: Int,
    val model: String? = null,
    val role: String? = null,
) {
    /** Returns the cost of one server in cents per hour. */
    fun centsPerHour(reclaimable: Boolean) = if (reclaimable) centsPerReclaimableServerHour else centsPerServerHour
}

/**
 * Demand of a class for a pool: [busySlots] is the mean number of requests that run at the same time, or would run if
 * there were enough slots.
 */
data class ClassSlotDemand(val classId: ClassId, val tier: Tier, val pool: PoolId, val busySlots: Double)

/** Returns the current demand. */
typealias ReadDemand = () -> List<ClassSlotDemand>

/**
 * @property targetUtilisation share of the slots that the demand may take up; the rest absorbs bursts
 * @property protectedTier demand of this tier and more urgent ones has to survive the eviction of any failure domain
 * @property evictionHeadroom reserve for less urgent tiers, as a fraction of the servers lost in the largest eviction
 * @property scaleUpHoldMs time for which more servers have to be required before any are started
 * @property idleHoldMs time for which fewer servers have to be required before one is stopped
 * @property offerHoldMs time for which an offer is not ordered again after a rejection
 * @property evictionHoldMs time for which no reclaimable server is ordered in a failure domain after a reclaim notice
 * @property startTimeoutMs time after which a starting server no longer counts as capacity
 * @property maxConcurrentStarts number of servers that may load weights at once, set by the rate of the weight store
 * @property defaultSlots assumed slots of a server in a pool without servers
 */
data class PlannerSettings(
    val targetUtilisation: Double = 0.7,
    val protectedTier: Tier = Tier(0),
    val evictionHeadroom: Double = 0.5,
    val scaleUpHoldMs: Long = 5_000,
    val idleHoldMs: Long = 300_000,
    val offerHoldMs: Long = 60_000,
    val evictionHoldMs: Long = 60_000,
    val startTimeoutMs: Long = 600_000,
    val maxConcurrentStarts: Int = 4,
    val defaultSlots: Int = 8,
)

/** The state at [now] from which orders are planned. */
data class PlannerInput(
    val now: TimeMs,
    val policies: List<PoolPolicy>,
    val demand: List<ClassSlotDemand>,
    val servers: List<OrderedServer>,
    val openIntents: List<OrderLedgerEntry>,
    val failureDomains: List<FailureDomain>,
    val unavailableOffers: Set<Offer>,
)

/** A backend server and the order that started it; null if there is none. */
data class OrderedServer(val server: BackendServer, val orderId: OrderId?)

/** An order to be placed in [failureDomain]. */
data class PlannedOrder(
    val action: OrderAction,
    val pool: PoolId,
    val failureDomain: FailureDomain,
    val reclaimable: Boolean,
    val backendServer: BackendServerId? = null,
    val subject: String = "",
)

/** The reason why a pool has fewer servers than its target. */
enum class Shortfall { BUDGET, MAX_SERVERS, NO_OFFER, WEIGHT_STORE }

/** The number of servers that a pool has, its target number, and the reason for a shortfall. */
data class PoolPlan(val pool: PoolId, val have: Int, val target: Int, val shortfall: Shortfall?)

/** The orders to place, most urgent first, and the state of each pool. */
data class OrderPlan(val orders: List<PlannedOrder>, val pools: List<PoolPlan>)
