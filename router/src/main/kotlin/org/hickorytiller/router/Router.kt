/** Wires the slices of a router process and starts its tasks. */
package org.hickorytiller.router

import kotlinx.coroutines.Deferred
import kotlinx.coroutines.launch
import org.hickorytiller.admission.Admission
import org.hickorytiller.balancing.BackendServerTable
import org.hickorytiller.core.ProcessId
import org.hickorytiller.core.monotonicClock
import org.hickorytiller.dispatch.Dispatcher
import org.hickorytiller.http.EventLoop
import org.hickorytiller.http.HttpClient
import org.hickorytiller.http.HttpLimits
import org.hickorytiller.http.HttpServer
import org.hickorytiller.keys.KeyRegistry
import org.hickorytiller.membership.Drain
import org.hickorytiller.membership.DrainLimits
import org.hickorytiller.peering.MemberState
import org.hickorytiller.peering.PeerCalls
import org.hickorytiller.platform.HostListClient
import org.hickorytiller.platform.LogClient
import org.hickorytiller.platform.OrderClient
import org.hickorytiller.timeline.EventKind
import org.hickorytiller.timeline.RouterMetrics
import org.hickorytiller.timeline.Timeline
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
    private val servers = BackendServerTable()
    private val admission = Admission(monotonicClock, servers::freeSlots)
    private val configuration = ConfigurationTask(logClient::read, keys)
    private val drain = Drain(DrainLimits(settings.addressLifetimeMs, limitMs = settings.drainLimitMs))
    private val hostList = HostListClient(client, settings.hostListAddress)
    private val peers =
        PeerTasks(
            settings,
            loop,
            process,
            hostList,
            keys,
            configuration,
            ProcessEvents(timeline, metrics),
            ::loadPermille,
        )
    private val drainTask =
        DrainTask(drain, monotonicClock, peers.node::announceLeaving, peers.node::announceEnd, timeline::record)
    private val operations = CallerOperations(drainTask, metrics, peers::answerAddresses)
    private val frontEnd =
        CallerFrontEnd(monotonicClock, configuration, keys, admission, servers, Dispatcher(client), operations)
    private val admin =
        AdminEndpoint(settings, configuration, keys, OperationsEndpoint(drainTask, timeline), peers::withdrawn)

    /** Completes when a planned stop has ended. */
    val ended: Deferred<Unit> get() = drainTask.ended

    /** Starts listening and following the platform. */
    fun start() {
        timeline.record(EventKind.PROCESS_STARTED, "router on ${settings.callerAddress}")
        registerGauges()
        loop.scope.launch { configuration.run() }
        loop.scope.launch { recordConfigurations(configuration, timeline::record) }
        loop.scope.launch {
            followBackendServers(recordBackendServers(orderClient::backendServers, timeline::record), servers) {
                configuration.state.document.pools.keys.forEach(admission::grantFreeSlots)
            }
        }
        loop.scope.launch { drainTask.run() }
        peers.start(PeerCalls())
        HttpServer.start(loop.group, loop.scope, settings.callerAddress, limits, frontEnd::serve)
        HttpServer.start(loop.group, loop.scope, settings.adminAddress, limits, admin::serve)
    }

    /** Begins a planned stop. May be called from any thread. */
    fun beginDrain() {
        loop.scope.launch { drainTask.begin() }
    }

    /** The router's requests in flight against its even share of all slots. */
    private fun loadPermille(): Int {
        val pools = configuration.state.document.pools.keys
        val slots = pools.sumOf { pool -> servers.available(pool).sumOf { it.slots } }
        val routers = peers.node.live().count { it.callerAddress.isNotEmpty() && it.state == MemberState.ALIVE }
        if (slots == 0) return 0
        return (drain.inFlight * FULL_PERMILLE * maxOf(1, routers) / slots).coerceAtMost(FULL_PERMILLE)
    }

    private fun registerGauges() {
        metrics.gauge("hickory_in_flight", "Requests in flight") { drain.inFlight.toDouble() }
        metrics.gauge("hickory_peer_links", "Established links to peers") { peers.node.exchange.linkCount().toDouble() }
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
    }
}
