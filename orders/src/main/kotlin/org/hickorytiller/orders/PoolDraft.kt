/** Builds the orders of one pool within its limits and the offers of the platform. */
package org.hickorytiller.orders

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.FailureDomain

/** Draft of the orders for the pool of [policy], which has [servers] and the [pending] starts. */
internal class PoolDraft(
    private val policy: PoolPolicy,
    servers: List<BackendServer>,
    pending: List<OrderIntent>,
    private val starts: StartAllowance,
    private val offers: List<Offer>,
) {
    private val stoppable = servers.toMutableList()
    private val plannedServers =
        (
            servers.map { Offer(it.failureDomain, it.reclaimable) } +
                pending.flatMap { intent ->
                    List(intent.count) { Offer(FailureDomain(intent.failureDomain), intent.reclaimable) }
                }
            ).toMutableList()
    private val have = plannedServers.size
    private var target = have
    private var shortfall: Shortfall? = null

    val orders = mutableListOf<PlannedOrder>()

    /** Orders starts or stops towards a total of [servers] servers, at least [regular] of them not reclaimable. */
    fun planTowards(servers: Int, regular: Int) {
        target = servers
        while (cost() > policy.maxCentsPerHour && stopOne(regular)) shortfall = Shortfall.BUDGET
        var canStart = true
        while (canStart && plannedServers.size < servers) canStart = startOne(regular)
        if (shortfall == null && plannedServers.size >= servers) startMissingRegular(regular)
        // One server at a time, so that its load shows on the other servers before the next one is stopped.
        if (have > servers && orders.isEmpty()) stopOne(regular)
    }

    /** Stops [servers] that did not start in time: they incur cost and no longer count as capacity. */
    fun stopOverdue(servers: List<BackendServer>) {
        orders +=
            servers.map { PlannedOrder(OrderAction.STOP, policy.pool, it.failureDomain, it.reclaimable, it.id) }
    }

    fun plan() = PoolPlan(policy.pool, have, target, shortfall)

    private fun cost() = plannedServers.sumOf { policy.centsPerHour(it.reclaimable) }

    private fun regularCount() = plannedServers.count { !it.reclaimable }

    private fun startMissingRegular(regular: Int) {
        if (regularCount() >= regular || plannedServers.size >= policy.maxServers) return
        bestOffer(reclaimable = false)?.let { start(it) }
    }

    private fun startOne(regular: Int): Boolean {
        val preferReclaimable = regularCount() >= regular
        val choices =
            listOf(preferReclaimable, !preferReclaimable).mapNotNull { reclaimable -> bestOffer(reclaimable) }
        if (choices.isEmpty()) return fail(Shortfall.NO_OFFER)
        val affordable = choices.firstOrNull { cost() + policy.centsPerHour(it.reclaimable) <= policy.maxCentsPerHour }
        return if (affordable == null) fail(Shortfall.BUDGET) else start(affordable)
    }

    private fun start(offer: Offer): Boolean {
        if (cost() + policy.centsPerHour(offer.reclaimable) > policy.maxCentsPerHour) return fail(Shortfall.BUDGET)
        if (!starts.tryTake()) return fail(Shortfall.WEIGHT_STORE)
        plannedServers += offer
        orders += PlannedOrder(OrderAction.START, policy.pool, offer.failureDomain, offer.reclaimable)
        return true
    }

    private fun fail(reason: Shortfall): Boolean {
        shortfall = reason
        return false
    }

    // Prefers the failure domain with the fewest servers of the kind, so that an eviction removes as few as possible.
    private fun bestOffer(reclaimable: Boolean): Offer? = offers.filter { it.reclaimable == reclaimable }.minWithOrNull(
        compareBy(
            { offer -> plannedServers.count { it == offer } },
            { offer -> plannedServers.count { it.failureDomain == offer.failureDomain } },
            { it.failureDomain.value },
        ),
    )

    // Prefers a regular server if more than [regular] of them are planned, otherwise a reclaimable one; among these one
    // that is still starting, then one in the failure domain with the most servers of the pool.
    private fun stopOne(regular: Int): Boolean {
        val surplusRegular = regularCount() > regular
        val server =
            stoppable.minWithOrNull(
                compareBy(
                    { if (it.reclaimable == !surplusRegular) 0 else 1 },
                    { if (it.state == BackendServerState.STARTING) 0 else 1 },
                    { candidate -> -plannedServers.count { it.failureDomain == candidate.failureDomain } },
                    { it.id.value },
                ),
            ) ?: return false
        stoppable -= server
        plannedServers -= Offer(server.failureDomain, server.reclaimable)
        orders += PlannedOrder(OrderAction.STOP, policy.pool, server.failureDomain, server.reclaimable, server.id)
        return true
    }
}

/**
 * Returns whether the start of [entry] keeps its pool within its limits, given the [servers] that run and the intents
 * before it in the stream. The holders of different failure domains plan concurrently; the order of the stream decides
 * which of their intents fit.
 */
fun fitsLimits(
    entry: OrderLedgerEntry,
    policy: PoolPolicy,
    servers: List<OrderedServer>,
    openIntents: List<OrderLedgerEntry>,
): Boolean {
    val listedOrders = servers.mapNotNull { it.orderId }.toSet()
    val running =
        servers.map { it.server }.filter { it.pool == policy.pool && it.state != BackendServerState.LEAVING }
    val before =
        openIntents.filter {
            it.offset <= entry.offset &&
                it.intent.action == OrderAction.START &&
                it.intent.pool == policy.pool.value &&
                OrderId(it.intent.orderId) !in listedOrders
        }
    val count = running.size + before.sumOf { it.intent.count }
    val cents =
        running.sumOf { policy.centsPerHour(it.reclaimable) } +
            before.sumOf { it.intent.count * policy.centsPerHour(it.intent.reclaimable) }
    return count <= policy.maxServers && cents <= policy.maxCentsPerHour
}
