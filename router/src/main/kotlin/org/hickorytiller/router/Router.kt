/** Wires the slices of a router process and starts its tasks. */
package org.hickorytiller.router

import kotlinx.coroutines.launch
import org.hickorytiller.admission.Admission
import org.hickorytiller.balancing.BackendServerTable
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
import org.hickorytiller.usage.UsageCounter
import java.util.UUID

/** A router process. */
internal class Router(private val settings: RouterSettings, private val loop: EventLoop) {
    private val limits = HttpLimits()
    private val client = HttpClient(loop.group, limits)
    private val logClient = LogClient(client, settings.logAddress)
    private val orderClient = OrderClient(client, settings.orderAddress)
    private val usage = UsageCounter(settings.host.value, UUID.randomUUID().toString(), monotonicClock())
    private val keys = KeyRegistry()
    private val servers = BackendServerTable()
    private val admission = Admission(monotonicClock, servers::freeSlots)
    private val configuration = ConfigurationTask(logClient::read, keys)
    private val frontEnd =
        CallerFrontEnd(monotonicClock, configuration, keys, admission, servers, Dispatcher(client)) {
            AddressAnswer(listOf(settings.callerAddress.text()), settings.addressLifetimeMs)
        }
    private val admin = AdminEndpoint(settings, configuration, keys)

    /** Starts listening and following the platform. */
    fun start() {
        loop.scope.launch { configuration.run() }
        loop.scope.launch { UsageTask(usage, monotonicClock, logClient::append).run() }
        loop.scope.launch {
            followBackendServers(orderClient::backendServers, servers) {
                configuration.state.document.pools.keys.forEach(admission::grantFreeSlots)
            }
        }
        HttpServer.start(loop.group, loop.scope, settings.callerAddress, limits, frontEnd::serve)
        HttpServer.start(loop.group, loop.scope, settings.adminAddress, limits, admin::serve)
    }
}
