/**
 * Places the orders of one failure domain while its lease is held: settles the intents that a previous holder or a lost
 * response left open, plans, appends the intent of each order to the log, sends the order and records its outcome.
 */
package org.hickorytiller.controller

import arrow.core.Either
import arrow.core.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.Clock
import org.hickorytiller.core.Delivery
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.TimeMs
import org.hickorytiller.core.json
import org.hickorytiller.core.sendWhileLeaseHeld
import org.hickorytiller.http.HttpFault
import org.hickorytiller.http.HttpStatus
import org.hickorytiller.orders.ClassSlotDemand
import org.hickorytiller.orders.ORDER_STREAM
import org.hickorytiller.orders.OrderAction
import org.hickorytiller.orders.OrderId
import org.hickorytiller.orders.OrderIntent
import org.hickorytiller.orders.OrderLedgerEntry
import org.hickorytiller.orders.OrderOutcome
import org.hickorytiller.orders.OrderPlan
import org.hickorytiller.orders.OrderPlanner
import org.hickorytiller.orders.OrderRecord
import org.hickorytiller.orders.OrderResult
import org.hickorytiller.orders.OrderedServer
import org.hickorytiller.orders.PlannedOrder
import org.hickorytiller.orders.PlannerInput
import org.hickorytiller.orders.PlannerSettings
import org.hickorytiller.orders.PoolPolicy
import org.hickorytiller.orders.fitsLimits
import org.hickorytiller.orders.planEngineOrders
import org.hickorytiller.platform.AppendToLog
import org.hickorytiller.platform.EngineOrder
import org.hickorytiller.platform.ListOrderedServers
import org.hickorytiller.platform.LogFailure
import org.hickorytiller.platform.ServerOrder
import java.net.InetSocketAddress

/** Places an order with the platform; see [org.hickorytiller.core.SendChecked] for the functions. */
internal typealias PlaceServerOrder = suspend (ServerOrder, () -> Boolean, () -> Unit) -> Delivery

/** Sends an order to an engine; see [org.hickorytiller.core.SendChecked] for the functions. */
internal typealias PlaceEngineOrder = suspend (InetSocketAddress, EngineOrder, () -> Boolean, () -> Unit) -> Delivery

/**
 * The operations of the platform that are used to place the orders of a failure domain.
 *
 * @property sender name of this host, for information only
 * @property onLateWrite called for an order that was written after the lease had ended
 */
internal class OrderPlatform(
    val sender: String,
    val append: AppendToLog,
    val listServers: ListOrderedServers,
    val place: PlaceServerOrder,
    val placeEngineOrder: PlaceEngineOrder,
    val onLateWrite: (OrderId) -> Unit = {},
)

/**
 * The required capacity according to the configuration and the demand.
 *
 * @property failureDomains all failure domains of the deployment
 */
internal class CapacityRequirements(
    val policies: List<PoolPolicy>,
    val demand: List<ClassSlotDemand>,
    val failureDomains: List<FailureDomain>,
)

/**
 * @property requiredLeaseMs minimum remaining lease time when the body of a request is written: the receiver's limit
 *   for incomplete requests and a margin
 * @property planIntervalMs time between two plans
 * @property readBackTimeoutMs time limit for reading back an appended record
 */
internal data class OrderTiming(
    val requiredLeaseMs: Long = 2_500,
    val planIntervalMs: Long = 1_000,
    val readBackTimeoutMs: Long = 5_000,
)

/** Performs the order duty of [failureDomain]. Confined to the event loop. */
internal class OrderTask(
    private val failureDomain: FailureDomain,
    private val platform: OrderPlatform,
    stream: OrderStream,
    private val requirements: () -> CapacityRequirements,
    private val settings: PlannerSettings,
    private val timing: OrderTiming,
    private val clock: Clock,
    private val newOrderId: () -> OrderId,
) {
    private val ledger = stream.ledger
    private val follower = stream.follower

    // Orders with an unknown result, with the time from which the platform's list shows whether they took effect.
    private val conclusiveAt = HashMap<OrderId, TimeMs>()

    /** The last plan made under the lease. */
    var lastPlan: OrderPlan? = null
        private set

    /** Performs the duty; does not return. */
    suspend fun run(lease: LeaseHandle): Nothing {
        val planner = OrderPlanner(settings)
        conclusiveAt.clear()
        while (follower.catchUp(timing.readBackTimeoutMs).getOrElse { false }.not()) delay(timing.planIntervalMs)
        while (true) {
            runRound(lease, planner)
            delay(timing.planIntervalMs)
        }
    }

    private suspend fun runRound(lease: LeaseHandle, planner: OrderPlanner) {
        if (!lease.holds(timing.requiredLeaseMs)) return
        val listedAt = clock()
        val servers = listServers().getOrElse { return }
        ledger.retainEngines(servers.map { it.server.id }.toSet())
        if (!settleOpenIntents(servers, listedAt)) return
        for (order in planOrders(planner, servers)) {
            if (!placeOrder(lease, order, servers)) return
        }
    }

    private suspend fun listServers(): Either<HttpFault, List<OrderedServer>> = platform.listServers().map { listed ->
        listed.map { OrderedServer(it.server, it.orderId?.let(::OrderId)) }
    }

    private fun planOrders(planner: OrderPlanner, servers: List<OrderedServer>): List<PlannedOrder> {
        val requirements = requirements()
        val now = clock()
        val input =
            PlannerInput(
                now,
                requirements.policies,
                requirements.demand,
                servers,
                ledger.openIntents(),
                requirements.failureDomains,
                ledger.unavailableOffers(now, settings.offerHoldMs),
            )
        val plan = planner.plan(input).also { lastPlan = it }
        val loading = servers.count { it.server.state == BackendServerState.STARTING }
        val domainEngines = servers.map { it.server }.filter { it.failureDomain == failureDomain }
        val engineOrders =
            planEngineOrders(domainEngines, requirements.policies, ledger, settings.maxConcurrentStarts - loading)
        return plan.orders.filter { it.failureDomain == failureDomain } + engineOrders
    }

    /** Returns whether the round may continue with the next order. */
    private suspend fun placeOrder(lease: LeaseHandle, order: PlannedOrder, servers: List<OrderedServer>): Boolean {
        if (!lease.holds(timing.requiredLeaseMs)) return false
        val entry = recordIntent(lease, order) ?: return false
        if (order.action == OrderAction.START && !fitsPoolLimits(entry)) {
            return recordOutcome(entry, OrderResult.CANCELLED, "an earlier intent used up the limits")
        }
        val delivery = send(lease, entry.intent, servers)
        return recordDelivery(entry, delivery)
    }

    // The order is sent only after its intent was read back, so a later holder that has read the stream knows of it.
    private suspend fun recordIntent(lease: LeaseHandle, order: PlannedOrder): OrderLedgerEntry? {
        val intent =
            OrderIntent(
                newOrderId().value,
                failureDomain.value,
                lease.fencingToken.value,
                order.action,
                count = 1,
                order.pool.value,
                order.reclaimable,
                order.backendServer?.value ?: "",
                order.subject,
            )
        var seen = follower.seenThrough
        val failure = appendRecord(intent)
        if (failure == LogFailure.UNAVAILABLE || failure == LogFailure.TOO_LARGE) return null
        val deadline = clock() + timing.readBackTimeoutMs
        while (true) {
            ledger.openIntent(OrderId(intent.orderId))?.let { return it }
            val remainingMs = deadline - clock()
            if (remainingMs <= 0 || !follower.awaitAfter(seen, remainingMs)) return null
            seen = follower.seenThrough
        }
    }

    private suspend fun fitsPoolLimits(entry: OrderLedgerEntry): Boolean {
        val policy = requirements().policies.firstOrNull { it.pool.value == entry.intent.pool } ?: return false
        val servers = listServers().getOrElse { return false }
        return fitsLimits(entry, policy, servers, ledger.openIntents())
    }

    private suspend fun send(lease: LeaseHandle, intent: OrderIntent, servers: List<OrderedServer>): Delivery =
        sendWhileLeaseHeld(
            lease::holds,
            timing.requiredLeaseMs,
            { mayWrite, afterWrite -> send(intent, servers, mayWrite, afterWrite) },
            {
                log.warn { "order ${intent.orderId} was written after the lease had ended" }
                platform.onLateWrite(OrderId(intent.orderId))
            },
        )

    private suspend fun send(
        intent: OrderIntent,
        servers: List<OrderedServer>,
        mayWrite: () -> Boolean,
        afterWrite: () -> Unit,
    ): Delivery = when (intent.action) {
        OrderAction.START, OrderAction.STOP -> platform.place(serverOrder(intent), mayWrite, afterWrite)
        OrderAction.LOAD_MODEL, OrderAction.CHANGE_ROLE -> {
            val engine = servers.firstOrNull { it.server.id.value == intent.backendServer }
            val order = EngineOrder(intent.orderId, intent.action.code, intent.subject, intent.fencingToken)
            if (engine == null) {
                Delivery.NotSent("the engine is gone")
            } else {
                platform.placeEngineOrder(engine.server.address, order, mayWrite, afterWrite)
            }
        }
    }

    private fun serverOrder(intent: OrderIntent) = ServerOrder(
        intent.orderId,
        intent.action.code,
        intent.pool,
        intent.failureDomain,
        intent.reclaimable,
        intent.count,
        intent.backendServer,
        intent.fencingToken,
        platform.sender,
    )

    private suspend fun recordDelivery(entry: OrderLedgerEntry, delivery: Delivery): Boolean = when (delivery) {
        is Delivery.Taken -> recordOutcome(entry, OrderResult.PLACED, "")
        // Ends the round, since the lease is about to end or the platform does not respond.
        is Delivery.NotSent -> recordOutcome(entry, OrderResult.NOT_PLACED, delivery.reason) && false
        is Delivery.Refused -> recordOutcome(entry, rejectionResult(entry.intent, delivery), delivery.reason)
        is Delivery.Unknown -> {
            log.warn { "order ${entry.intent.orderId}: ${delivery.reason}; settled from the list of servers" }
            conclusiveAt[OrderId(entry.intent.orderId)] = clock() + timing.requiredLeaseMs
            false
        }
    }

    private fun rejectionResult(intent: OrderIntent, delivery: Delivery.Refused) =
        if (intent.action == OrderAction.START && delivery.status == HttpStatus.CONFLICT) {
            OrderResult.NO_OFFER
        } else {
            OrderResult.REFUSED
        }

    /** Returns false if an outcome could not be appended to the log. */
    private suspend fun settleOpenIntents(servers: List<OrderedServer>, listedAt: TimeMs): Boolean {
        val domainIntents = ledger.openIntents().filter { it.intent.failureDomain == failureDomain.value }
        for (entry in domainIntents) {
            val conclusive = conclusiveAt[OrderId(entry.intent.orderId)]
            if (conclusive != null && listedAt < conclusive) continue
            val result = if (hasTakenEffect(entry.intent, servers)) OrderResult.PLACED else OrderResult.NOT_PLACED
            if (!recordOutcome(entry, result, "settled from the list of servers")) return false
        }
        return true
    }

    // An engine does not report the orders that it received; loading the same model again is harmless.
    private fun hasTakenEffect(intent: OrderIntent, servers: List<OrderedServer>): Boolean = when (intent.action) {
        OrderAction.START -> servers.any { it.orderId?.value == intent.orderId }
        OrderAction.STOP -> servers.none {
            it.server.id.value == intent.backendServer && it.server.state != BackendServerState.LEAVING
        }
        OrderAction.LOAD_MODEL, OrderAction.CHANGE_ROLE -> false
    }

    private suspend fun recordOutcome(entry: OrderLedgerEntry, result: OrderResult, detail: String): Boolean {
        val intent = entry.intent
        val seen = follower.seenThrough
        val failure = appendRecord(OrderOutcome(intent.orderId, result, detail))
        conclusiveAt.remove(OrderId(intent.orderId))
        log.info {
            "order ${intent.orderId} ${intent.action.code} ${intent.pool} in $failureDomain: ${result.code} $detail"
        }
        if (failure == null) follower.awaitAfter(seen, timing.readBackTimeoutMs)
        return failure == null
    }

    private suspend fun appendRecord(record: OrderRecord): LogFailure? =
        platform.append(ORDER_STREAM, json.writeValueAsBytes(record)).leftOrNull()

    private companion object {
        val log = KotlinLogging.logger {}
    }
}
