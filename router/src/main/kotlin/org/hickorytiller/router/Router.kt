/** Wires the slices of a router process and starts its tasks. */
package org.hickorytiller.router

import kotlinx.coroutines.launch
import org.hickorytiller.admission.Admission
import org.hickorytiller.admission.CustomerLimits
import org.hickorytiller.admission.Limits
import org.hickorytiller.admission.PeerShares
import org.hickorytiller.admission.ServerSlots
import org.hickorytiller.balancing.BackendServerTable
import org.hickorytiller.configuration.PoolKind
import org.hickorytiller.core.ClassId
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.ProcessId
import org.hickorytiller.core.Tier
import org.hickorytiller.core.monotonicClock
import org.hickorytiller.core.text
import org.hickorytiller.dispatch.Dispatcher
import org.hickorytiller.dispatch.IntentAnswer
import org.hickorytiller.dispatch.IntentLimits
import org.hickorytiller.dispatch.IntentWriter
import org.hickorytiller.http.EventLoop
import org.hickorytiller.http.HttpClient
import org.hickorytiller.http.HttpLimits
import org.hickorytiller.http.HttpServer
import org.hickorytiller.keys.KeyRegistry
import org.hickorytiller.membership.AddressAnswer
import org.hickorytiller.platform.LogClient
import org.hickorytiller.platform.OrderClient
import org.hickorytiller.usage.UsageCounter
import java.util.UUID

/** A router process. */
internal class Router(private val settings: RouterSettings, private val loop: EventLoop) {
    private val limits = HttpLimits()
    private val client = HttpClient(loop.group, limits)
    private val logClient = LogClient(client, settings.logAddress)
    private val orderClient = OrderClient(client, settings.orderAddress)
    private val keys = KeyRegistry()
    private val configuration = ConfigurationTask(logClient::read, keys)
    private val run = ProcessId("${settings.host}-${UUID.randomUUID()}")
    private val shares: PeerShares =
        PeerShares(run) { pool -> servers.slots(pool) }
    private val servers: BackendServerTable = BackendServerTable(monotonicClock, quotasOf = shares::quotas)
    private val admission =
        Admission(
            monotonicClock,
            servers::freeSlots,
            servers::totalSlots,
            servers::spareSlots,
            weightOf = { configuration.state.document.customers[it]?.weight ?: 1.0 },
            limits = Limits { customer, requestClass -> limitsOf(customer, requestClass) },
            shares = shares,
        )
    private val intents =
        IntentTask(
            IntentWriter(settings.host, run),
            settings.intentPartitions,
            IntentLog(logClient::append, logClient::read),
            monotonicClock,
            queryPeer = { _, _, _ -> IntentAnswer.Unknown },
            IntentLimits(windowMs = settings.idempotencyWindowMs),
        )
    private val dispatcher = Dispatcher(client, monotonicClock, run)
    private val usage = UsageCounter(settings.host.value, run.value, monotonicClock())
    private val usageTask = UsageTask(usage, monotonicClock, logClient::append)
    private val slices =
        RequestSlices(
            admission,
            servers,
            dispatcher,
            intents,
            topTier = ::topTier,
            reportServed = { request, served ->
                usage.add(request.customer, request.requestClass.id, request.route.pool, served)
            },
            hedgeAfterMs = settings.hedgeAfterMs,
        )
    private val currentDocument: CurrentDocument = { configuration.state.document.takeIf { configuration.ready } }
    private val frontEnd =
        CallerFrontEnd(
            currentDocument,
            keys,
            RequestResolver(monotonicClock, currentDocument, keys),
            RequestRunner(monotonicClock, slices, loop.scope),
        ) {
            AddressAnswer(listOf(settings.callerAddress.text()), settings.addressLifetimeMs)
        }
    private val admin = AdminEndpoint(settings, configuration, keys)

    /** Starts listening and following the platform. */
    fun start() {
        loop.scope.launch { configuration.run() }
        loop.scope.launch { intents.run() }
        loop.scope.launch { usageTask.run() }
        loop.scope.launch {
            followBackendServers(orderClient::backendServers, servers) {
                shares.serversChanged()
                moveFromReclaimed(dispatcher, servers, monotonicClock)
                configuration.state.document.pools.keys.forEach(admission::grantFreeSlots)
            }
        }
        loop.scope.launch {
            followLoadReports(
                list = { configuration.state.document.pools.keys.flatMap(servers::available) },
                table = servers,
                reportsLoad = { configuration.state.document.pools[it]?.kind == PoolKind.ENGINE },
                read = loadReader(client),
            )
        }
        HttpServer.start(loop.group, loop.scope, settings.callerAddress, limits, frontEnd::serve)
        HttpServer.start(loop.group, loop.scope, settings.adminAddress, limits, admin::serve)
    }

    private fun BackendServerTable.slots(pool: PoolId) = available(pool).map { ServerSlots(it.id, it.slots) }

    private fun topTier(pool: PoolId): Tier {
        val document = configuration.state.document
        val classes = document.routes.filter { it.pool == pool }.flatMap { it.classes }
        return classes.minOf { document.classes.getValue(it).tier }
    }

    private fun limitsOf(customer: CustomerId, requestClass: ClassId?): CustomerLimits {
        val configured = configuration.state.document.customers[customer]
        if (requestClass != null || configured == null) return CustomerLimits.NONE
        return CustomerLimits(configured.requestsPerMinute, configured.maxConcurrent)
    }
}
