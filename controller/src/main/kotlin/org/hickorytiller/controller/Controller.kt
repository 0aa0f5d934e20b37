/** Wires the components of a controller process, and starts and stops its duties. */
package org.hickorytiller.controller

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.hickorytiller.configuration.PoolKind
import org.hickorytiller.core.Clock
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.monotonicClock
import org.hickorytiller.http.EventLoop
import org.hickorytiller.http.HttpClient
import org.hickorytiller.http.HttpLimits
import org.hickorytiller.http.HttpServer
import org.hickorytiller.leases.Duty
import org.hickorytiller.orders.ClassSlotDemand
import org.hickorytiller.orders.OrderId
import org.hickorytiller.orders.PoolPolicy
import org.hickorytiller.orders.orderDuty
import org.hickorytiller.platform.CheckedSender
import org.hickorytiller.platform.EngineOrderClient
import org.hickorytiller.platform.LogClient
import org.hickorytiller.platform.OrderClient
import org.hickorytiller.platform.UsageReportClient
import org.hickorytiller.usage.USAGE_DUTY
import java.util.UUID

/** The duty of writing configuration snapshots. */
internal val SNAPSHOT_DUTY = Duty("configuration-snapshots")

/** A controller process. */
internal class Controller(
    private val settings: ControllerSettings,
    private val loop: EventLoop,
    private val clock: Clock = monotonicClock,
) {
    private val client = HttpClient(loop.group, HttpLimits())
    private val log = LogClient(client, settings.platform.logAddress)
    private val sender = CheckedSender(HttpClient(loop.group, HttpLimits(maxBodyBytes = MAX_RESPONSE_BYTES)))
    private val orderClient = OrderClient(client, settings.platform.orderAddress, sender)
    private val engineClient = EngineOrderClient(sender)
    private val usageClient = UsageReportClient(sender, settings.platform.usageAddress)
    private val configuration =
        ConfigurationFollower(log::append, log::read, clock, settings.platform.logRetentionMs)
    private val orderStream = OrderStream(log::read, clock)
    private val leases = LeaseTask(settings.host, settings.lease, clock, log::append, log::read)
    private val demand = DemandTask(log::read, clock)
    private val orderTasks = settings.failureDomains.map { it to orderTask(it) }
    private var lateWrites = 0L
    private val usageTask =
        UsageWindowTask(
            log::append,
            log::read,
            { id, bytes, token, mayWrite, afterWrite ->
                usageClient.report(id.value, bytes, token.value, mayWrite, afterWrite)
            },
            settings.usage,
            settings.platform.requiredLeaseMs,
            clock,
            { UUID.randomUUID().toString() },
            { lateWrites++ },
        )

    /** Starts listening and competing for duties. Throws [java.net.BindException] if the address is in use. */
    fun start() {
        val admin = StatusEndpoint(::status)
        HttpServer.start(loop.group, loop.scope, settings.adminAddress, HttpLimits(), admin::serve)
        loop.scope.launch { configuration.follow() }
        loop.scope.launch { orderStream.follower.follow(LogOffset(0)) }
        loop.scope.launch { demand.run() }
        loop.scope.launch { leases.follow() }
        orderTasks.forEach { (domain, task) ->
            loop.scope.launch { leases.perform(orderDuty(domain)) { lease -> demand.updateWhile { task.run(lease) } } }
        }
        loop.scope.launch { leases.perform(USAGE_DUTY, usageTask::run) }
        loop.scope.launch { leases.perform(SNAPSHOT_DUTY, ::writeSnapshots) }
    }

    /** Ends the duties and releases their leases. */
    suspend fun stop() = leases.release()

    private fun orderTask(domain: FailureDomain) = OrderTask(
        domain,
        OrderPlatform(
            settings.host.value,
            log::append,
            orderClient::orderedServers,
            orderClient::place,
            engineClient::order,
        ) { lateWrites++ },
        orderStream,
        ::requirements,
        settings.planner,
        OrderTiming(requiredLeaseMs = settings.platform.requiredLeaseMs),
        clock,
        { OrderId(UUID.randomUUID().toString()) },
    )

    private suspend fun writeSnapshots(lease: LeaseHandle) {
        while (true) {
            configuration.writeSnapshotIfDue { lease.holds(0) }
            delay(settings.snapshotCheckMs)
        }
    }

    private fun requirements() = CapacityRequirements(policies(), demands(), settings.failureDomains)

    private fun policies(): List<PoolPolicy> = configuration.state.document.budgets.values.map { budget ->
        val pool = configuration.state.document.pools[budget.pool]
        PoolPolicy(
            budget.pool,
            budget.maxCentsPerHour,
            budget.centsPerServerHour,
            budget.centsPerReclaimableServerHour,
            budget.minServers,
            budget.maxServers,
            pool?.model?.value.takeIf { pool?.kind == PoolKind.ENGINE },
        )
    }

    private fun demands(): List<ClassSlotDemand> = demand.busySlots().mapNotNull { (key, busySlots) ->
        val (classId, pool) = key
        configuration.state.document.classes[classId]?.let { ClassSlotDemand(classId, it.tier, pool, busySlots) }
    }

    private fun status(): Map<String, Any?> = mapOf(
        "host" to settings.host.value,
        "failureDomain" to settings.failureDomain.value,
        "configurationOffset" to configuration.state.offset.value,
        "leases" to leases.heldLeases().map {
            mapOf(
                "duty" to it.duty.value,
                "fencingToken" to it.fencingToken.value,
                "remainingMs" to it.expiresAt - clock(),
            )
        },
        "faults" to listOfNotNull(leases.fault, orderStream.follower.fault, configuration.fault),
        "orders" to mapOf(
            "open" to orderStream.ledger.openIntents().map { it.intent },
            "last" to orderStream.ledger.lastSettled().takeLast(SHOWN_ORDERS).map {
                mapOf("intent" to it.intent, "result" to it.outcome?.result?.code, "detail" to it.outcome?.detail)
            },
            "pools" to orderTasks.mapNotNull { (domain, task) ->
                task.lastPlan?.let { plan ->
                    mapOf("plannedFor" to domain.value, "pools" to plan.pools.map { it.toString() })
                }
            },
        ),
        "windows" to mapOf(
            "lastFixed" to usageTask.ledger.lastFixed?.let {
                mapOf("id" to it.id.value, "throughOffset" to it.throughOffset.value)
            },
            "toReport" to usageTask.ledger.toReport().map { it.id.value },
        ),
        "lateWrites" to lateWrites,
    )

    private companion object {
        const val MAX_RESPONSE_BYTES = 65_536
        const val SHOWN_ORDERS = 20
    }
}
