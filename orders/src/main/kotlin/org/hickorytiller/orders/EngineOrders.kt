/** Decides which engines have to load a model or change their role. */
package org.hickorytiller.orders

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerState

/**
 * Returns the orders for those running engines among [servers] whose last ordered model or role differs from the policy
 * of their pool. At most [maxLoads] of them load a model, since the rate of the store from which engines load model
 * weights is limited.
 */
fun planEngineOrders(
    servers: List<BackendServer>,
    policies: List<PoolPolicy>,
    ledger: OrderLedger,
    maxLoads: Int,
): List<PlannedOrder> {
    val open = ledger.openIntents().map { it.intent.backendServer to it.intent.action }.toSet()
    val orders =
        servers.filter { it.state == BackendServerState.RUNNING }.flatMap { server ->
            val policy = policies.firstOrNull { it.pool == server.pool }
            listOfNotNull(
                policy?.model?.takeIf { it != ledger.lastOrderedModel(server.id) }?.let {
                    engineOrder(server, OrderAction.LOAD_MODEL, it)
                },
                policy?.role?.takeIf { it != ledger.lastOrderedRole(server.id) }?.let {
                    engineOrder(server, OrderAction.CHANGE_ROLE, it)
                },
            ).filter { (server.id.value to it.action) !in open }
        }
    val (loads, others) = orders.partition { it.action == OrderAction.LOAD_MODEL }
    return others + loads.take(maxLoads.coerceAtLeast(0))
}

private fun engineOrder(server: BackendServer, action: OrderAction, subject: String) =
    PlannedOrder(action, server.pool, server.failureDomain, server.reclaimable, server.id, subject)
