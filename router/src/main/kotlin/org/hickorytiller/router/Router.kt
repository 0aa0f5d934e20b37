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
import org.hickorytiller.core.monotonicClock
import org.hickorytiller.core.text
import org.hickorytiller.dispatch.Dispatcher
import org.hickorytiller.http.EventLoop
import org.hickorytiller.http.HttpClient
import org.hickorytiller.http.HttpLimits
import org.hickorytiller.http.HttpServer
import org.hickorytiller.keys.KeyRegistry
import org.hickorytiller.membership.AddressAnswer
import org.hickorytiller.platform.LogClient
import org.hickorytiller.platform.OrderClient

/** A router process. */
internal class Router(private val settings: RouterSettings, private val loop: EventLoop) {
    private val limits = HttpLimits()
    private val client = HttpClient(loop.group, limits)
    private val logClient = LogClient(client, settings.logAddress)
    private val orderClient = OrderClient(client, settings.orderAddress)
    private val keys = KeyRegistry()
    private val configuration = ConfigurationTask(logClient::read, keys)
    private val shares: PeerShares =
        PeerShares(ProcessId("${settings.host}/${ProcessHandle.current().pid()}")) { pool -> servers.slots(pool) }
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
    private val frontEnd =
        CallerFrontEnd(monotonicClock, configuration, keys, admission, servers, Dispatcher(client)) {
            AddressAnswer(listOf(settings.callerAddress.text()), settings.addressLifetimeMs)
        }
    private val admin = AdminEndpoint(settings, configuration, keys)

    /** Starts listening and following the platform. */
    fun start() {
        loop.scope.launch { configuration.run() }
        loop.scope.launch {
            followBackendServers(orderClient::backendServers, servers) {
                shares.serversChanged()
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

    private fun limitsOf(customer: CustomerId, requestClass: ClassId?): CustomerLimits {
        val configured = configuration.state.document.customers[customer]
        if (requestClass != null || configured == null) return CustomerLimits.NONE
        return CustomerLimits(configured.requestsPerMinute, configured.maxConcurrent)
    }
}
