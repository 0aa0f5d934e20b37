/** Orders backend servers while this host holds the duties. */
package org.hickorytiller.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.Clock
import org.hickorytiller.core.Delivery
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.TimeMs
import org.hickorytiller.http.HttpStatus
import org.hickorytiller.placement.Placement
import org.hickorytiller.platform.DutyClient
import org.hickorytiller.routes.PoolSpec
import org.hickorytiller.scaling.FleetOrder
import org.hickorytiller.scaling.FleetPlanner
import org.hickorytiller.scaling.OrderTracker
import org.hickorytiller.scaling.PoolStatus
import org.hickorytiller.scaling.ServerGroup

/** Returns the servers that state a rate limit. */
internal typealias ReadLimitedServers = () -> Set<BackendServerId>

/** Plans and places the orders of all pools that scale. Confined to the event loop. */
internal class FleetTask(
    private val clock: Clock,
    private val pools: () -> List<PoolSpec>,
    private val placement: Placement,
    private val limited: ReadLimitedServers,
    private val client: DutyClient,
) {
    private val planners = HashMap<PoolId, FleetPlanner>()
    private val tracker = OrderTracker(clock)
    private var lastToken = 0L

    // Halved, so that the difference to the current time does not overflow.
    private var lastPlanAt = TimeMs(Long.MIN_VALUE / 2)

    /** Sends the orders that are due under [token] while [mayAct] returns true; the others follow with a later plan. */
    suspend fun placeOrders(token: Long, mayAct: MayAct) {
        if (token != lastToken) {
            tracker.clear()
            planners.clear()
        }
        lastToken = token
        if (clock() - lastPlanAt < PLAN_INTERVAL_MS) return
        lastPlanAt = clock()
        for (pool in pools().filter { it.scaling != null }) placeOrders(pool, token, mayAct)
    }

    private suspend fun placeOrders(pool: PoolSpec, token: Long, mayAct: MayAct) {
        val planner = planners.getOrPut(pool.id) { FleetPlanner(clock) }
        val servers = placement.servers(pool.id)
        val inFlight = placement.inFlight(pool.id)
        val wanted = planner.plan(PoolStatus(pool, servers, inFlight, limited()))
        for (order in tracker.toSend(wanted) { count(it) }) {
            if (!mayAct()) return
            val delivery = client.placeOrder(order, token)
            log.info {
                "event=fleet_order pool=${pool.id} domain=${order.group.domain} " +
                    "reclaimable=${order.group.isReclaimable} count=${order.count} present=${count(
                        order.group,
                    )} inFlight=$inFlight token=$token outcome=$delivery"
            }
            recordOutcome(order, delivery, planner, pool)
        }
    }

    private fun recordOutcome(order: FleetOrder, delivery: Delivery, planner: FleetPlanner, pool: PoolSpec) {
        when (delivery) {
            Delivery.Taken -> {
                tracker.markAccepted(order)
                if (order.group.isReclaimable) {
                    planner.accepted(order.group.domain, order.count, pool.scaling?.bootDelayMs ?: 0)
                }
            }
            is Delivery.Refused ->
                if (delivery.status == HttpStatus.CONFLICT && order.group.isReclaimable) {
                    planner.refused(order.group.domain)
                }
            else -> Unit
        }
    }

    private fun count(group: ServerGroup) = placement.servers(group.pool).count {
        it.failureDomain == group.domain &&
            it.reclaimable == group.isReclaimable &&
            it.state == BackendServerState.RUNNING
    }

    private companion object {
        val log = KotlinLogging.logger {}
        const val PLAN_INTERVAL_MS = 500L
    }
}
