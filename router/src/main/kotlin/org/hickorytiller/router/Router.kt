/** Creates the components of a router process, connects them and starts their tasks. */
package org.hickorytiller.router

import kotlinx.coroutines.Deferred
import kotlinx.coroutines.launch
import org.hickorytiller.admission.Admission
import org.hickorytiller.admission.CustomerLimiter
import org.hickorytiller.admission.CustomerLimits
import org.hickorytiller.admission.PeerSlotQuotas
import org.hickorytiller.admission.ServerSlots
import org.hickorytiller.balancing.BackendServerTable
import org.hickorytiller.configuration.PoolKind
import org.hickorytiller.core.ClassId
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.ProcessId
import org.hickorytiller.core.Tier
import org.hickorytiller.core.monotonicClock
import org.hickorytiller.dispatch.Dispatcher
import org.hickorytiller.dispatch.IntentLimits
import org.hickorytiller.dispatch.IntentWriter
import org.hickorytiller.http.EventLoop
import org.hickorytiller.http.HttpClient
import org.hickorytiller.http.HttpLimits
import org.hickorytiller.http.HttpServer
import org.hickorytiller.keys.KeyRegistry
import org.hickorytiller.membership.Drain
import org.hickorytiller.membership.DrainLimits
import org.hickorytiller.peering.EncodedConfiguration
import org.hickorytiller.peering.MemberRole
import org.hickorytiller.peering.MemberState
import org.hickorytiller.peering.PeerCallHandlers
import org.hickorytiller.platform.HostListClient
import org.hickorytiller.platform.LogClient
import org.hickorytiller.platform.OrderClient
import org.hickorytiller.timeline.EventKind
import org.hickorytiller.timeline.RouterMetrics
import org.hickorytiller.timeline.Timeline
import org.hickorytiller.usage.UsageAccumulator
import java.util.UUID

/** A router process. */
internal class Router(private val settings: RouterSettings, private val loop: EventLoop) {
    private val process = ProcessId(UUID.randomUUID().toString())
    private val limits = HttpLimits()
    private val client = HttpClient(loop.group, limits)
    private val logClient = LogClient(client, settings.logAddress)
    private val orderClient = OrderClient(client, settings.orderAddress)
    private val timeline = Timeline(settings.host, process)
    private val metrics = RouterMetrics()
    private val keys = KeyRegistry()
    private val configuration: ConfigurationTask =
        ConfigurationTask(logClient::read, keys) { known -> peers.fetchConfiguration(known)?.state }
    private val slotQuotas: PeerSlotQuotas =
        PeerSlotQuotas(process) { pool -> servers.slots(pool) }
    private val servers: BackendServerTable = BackendServerTable(monotonicClock, quotasOf = slotQuotas::quotas)
    private val admission =
        Admission(
            monotonicClock,
            servers::freeSlots,
            servers::totalSlots,
            servers::slotsBeyondQuota,
            weightOf = { configuration.state.document.customers[it]?.weight ?: 1.0 },
            limiter = CustomerLimiter { customer, requestClass -> limitsOf(customer, requestClass) },
            slotQuotas = slotQuotas,
        )
    private val intents: IntentTask =
        IntentTask(
            IntentWriter(settings.host, process),
            settings.intentPartitions,
            IntentLog(logClient::append, logClient::read),
            monotonicClock,
            queryPeer = { host, customer, key -> queryIntent(peers::queryIntent, host, customer, key) },
            IntentLimits(windowMs = settings.idempotencyWindowMs),
        )
    private val dispatcher =
        Dispatcher(client, monotonicClock, process) { work ->
            metrics.tokensWasted(work.kind.code, work.tokens.toLong())
            if (work.kind.isServerFailure || work.kind.isCancelledByRouter) metrics.requestRetried(work.kind.code)
        }
    private val demand = DemandSync(admission, slotQuotas, servers)
    private val quarantines = QuarantineSync(dispatcher.suspects, dispatcher.partSuspects, monotonicClock)
    private val usage = UsageAccumulator(settings.host.value, process.value, monotonicClock())
    private val usageTask = UsageTask(usage, monotonicClock, logClient::append)
    private val components =
        RequestComponents(
            admission,
            servers,
            dispatcher,
            intents,
            topTier = ::topTier,
            reportUsage = { request, requestUsage ->
                usage.add(request.customer, request.requestClass.id, request.route.pool, requestUsage)
            },
            hedgeAfterMs = settings.hedgeAfterMs,
        )
    private val drain = Drain(DrainLimits(settings.addressLifetimeMs, limitMs = settings.drainLimitMs))
    private val hostList = HostListClient(client, settings.hostListAddress)
    private val peers: PeerTasks =
        PeerTasks(
            settings,
            loop,
            process,
            hostList,
            keys,
            configuration,
            ProcessEvents(timeline, metrics),
            PeerHooks(::loadPermille) { demand.remove(it) },
        )
    private val drainTask =
        DrainTask(drain, monotonicClock, peers.node::announceLeaving, peers.node::announceEnd, timeline::record)
    private val operations = CallerOperations(drainTask, metrics, peers::findAddresses)
    private val currentDocument: CurrentDocument = { configuration.state.document.takeIf { configuration.isReady } }
    private val frontEnd =
        CallerFrontEnd(
            currentDocument,
            keys,
            RequestResolver(monotonicClock, currentDocument, keys),
            RequestRunner(monotonicClock, components, loop.scope),
            operations,
        )
    private val admin =
        AdminEndpoint(
            settings,
            configuration,
            keys,
            peers::announceWithdrawal,
            OperationsEndpoint(drainTask, timeline).resources,
        )

    /** Completes when the drain has ended and the process may exit. */
    val ended: Deferred<Unit> get() = drainTask.ended

    /** Starts the tasks that follow the platform, then listens for peers, callers and operators. */
    fun start() {
        timeline.record(EventKind.PROCESS_STARTED, "router on ${settings.callerAddress}")
        registerGauges()
        loop.scope.launch { configuration.run() }
        loop.scope.launch { recordConfigurations(configuration, timeline::record) }
        loop.scope.launch { appendWithdrawals(configuration, logClient::append, ::hasLowestHostId) }
        loop.scope.launch { intents.run() }
        loop.scope.launch { usageTask.run() }
        loop.scope.launch {
            followBackendServers(recordBackendServers(orderClient::backendServers, timeline::record), servers) {
                slotQuotas.serversChanged()
                moveOffReclaimedServers(dispatcher, servers, monotonicClock)
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
        loop.scope.launch { drainTask.run() }
        drainTask.onShutdown("usage flush") { usageTask.drain(USAGE_DRAIN_TIMEOUT_MS) }
        loop.scope.launch { demand.run() }
        loop.scope.launch { demand.forgetIdle() }
        peers.node.linkRegistry.registerHandler { peer, _ -> demand.open(peer) }
        peers.node.linkRegistry.registerHandler { _, _ -> quarantines.open() }
        peers.start(
            PeerCallHandlers(findConfiguration = ::findConfiguration, handleIntentQuery = { intents.handleQuery(it) }),
        )
        HttpServer.start(loop.group, loop.scope, settings.callerAddress, limits, frontEnd::serve)
        HttpServer.start(loop.group, loop.scope, settings.adminAddress, limits, admin::serve)
    }

    private fun BackendServerTable.slots(pool: PoolId) = available(pool).map { ServerSlots(it.id, it.slots) }

    private fun hasLowestHostId(): Boolean {
        val routers = peers.node.liveMembers().filter { it.id.role == MemberRole.ROUTER }
        return routers.minOfOrNull { it.id.host.value } == settings.host.value
    }

    private fun findConfiguration(known: LogOffset): EncodedConfiguration? =
        if (configuration.isReady && configuration.state.offset > known) {
            EncodedConfiguration(configuration.state.offset, configuration.encodeForPeer())
        } else {
            null
        }

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

    /** Begins to drain the process. Can be called from any thread. */
    fun beginDrain() {
        loop.scope.launch { drainTask.begin() }
    }

    /** Returns the requests in flight as permille of this router's equal share of all slots. */
    private fun loadPermille(): Int {
        val pools = configuration.state.document.pools.keys
        val slots = pools.sumOf { pool -> servers.available(pool).sumOf { it.slots } }
        val routers = peers.node.liveMembers().count { it.callerAddress.isNotEmpty() && it.state == MemberState.ALIVE }
        if (slots == 0) return 0
        return (drain.inFlight * FULL_PERMILLE * maxOf(1, routers) / slots).coerceAtMost(FULL_PERMILLE)
    }

    private fun registerGauges() {
        metrics.gauge("hickory_in_flight", "Requests in flight") { drain.inFlight.toDouble() }
        metrics.gauge("hickory_peer_links", "Established links to peers") {
            peers.node.linkRegistry.linkCount().toDouble()
        }
        metrics.gauges("hickory_queue_length", "Waiting requests by pool", "pool") {
            configuration.state.document.pools.keys.associate { it.value to admission.waiting(it).toDouble() }
        }
        metrics.gauges("hickory_members", "Members by state", "state") {
            peers.node.membership.table.records()
                .groupingBy { it.state.name.lowercase() }.eachCount().mapValues { it.value.toDouble() }
        }
        metrics.gauges("hickory_peer_events", "Messages and links of peers by what became of them", "event") {
            peers.node.counters.all().mapValues { it.value.toDouble() }
        }
    }

    private companion object {
        const val FULL_PERMILLE = 1_000
        const val USAGE_DRAIN_TIMEOUT_MS = 5_000L
    }
}
