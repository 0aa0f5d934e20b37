/** Starts the stand-ins of a deployment on consecutive ports of the loopback address. */
package org.hickorytiller.standins

import org.hickorytiller.core.formatAddress
import org.hickorytiller.http.EventLoop
import java.net.InetSocketAddress

/** All stand-ins of a deployment in one process. [port] is the port of the log; the other ports follow it. */
class StandIns(
    private val loop: EventLoop,
    private val port: Int,
    hosts: List<HostEntry>,
    private val engineControl: EngineControl = EngineControl(),
) {
    val log = LogStandIn()
    val ordering = OrderingStandIn { order -> startEngine(order.pool, order.failureDomain, order.reclaimable) }
    val usage = UsageStandIn()
    val hostList = HostListStandIn(hosts)
    val engines = mutableListOf<EngineStandIn>()
    val services = mutableListOf<PlainServiceStandIn>()

    // Orders start engines on the event loop of the ordering interface. Starting a server blocks until it is bound,
    // which would deadlock on that loop, so the engines run on a separate one.
    private val serverLoop = EventLoop()
    private var nextPort = port + FIRST_SERVER_PORT

    /** Starts the platform's interfaces, [engineCount] engines and [serviceCount] replicas of the plain service. */
    fun start(engineCount: Int, serviceCount: Int) {
        log.start(loop.group, loop.scope, loopback(port))
        ordering.start(loop.group, loop.scope, loopback(port + 1))
        usage.start(loop.group, loop.scope, loopback(port + 2))
        hostList.start(loop.group, loop.scope, loopback(port + 3))
        repeat(engineCount) { add(startEngine("chat", domain(it), reclaimable = it % 2 == 1)) }
        repeat(serviceCount) { add(startService(domain(it))) }
    }

    private fun add(server: ListedBackendServer) {
        ordering.servers[server.id] = server
    }

    private fun startEngine(pool: String, failureDomain: String, reclaimable: Boolean): ListedBackendServer {
        val address = loopback(nextPort++)
        val engine = EngineStandIn("engine-${address.port}", engineControl)
        engine.start(serverLoop.group, serverLoop.scope, address)
        engines += engine
        return ListedBackendServer(
            engine.name,
            pool,
            address.formatAddress(),
            failureDomain,
            "running",
            engine.control.slots,
            reclaimable,
        )
    }

    private fun startService(failureDomain: String): ListedBackendServer {
        val address = loopback(nextPort++)
        val service = PlainServiceStandIn()
        service.start(serverLoop.group, serverLoop.scope, address)
        services += service
        return ListedBackendServer(
            "service-${address.port}",
            "ledger",
            address.formatAddress(),
            failureDomain,
            "running",
            SERVICE_SLOTS,
            reclaimable = false,
        )
    }

    private fun domain(index: Int) = "zone-${'a' + index % DOMAINS}"

    private fun loopback(port: Int) = InetSocketAddress("127.0.0.1", port)

    private companion object {
        const val FIRST_SERVER_PORT = 10
        const val SERVICE_SLOTS = 16
        const val DOMAINS = 4
    }
}
