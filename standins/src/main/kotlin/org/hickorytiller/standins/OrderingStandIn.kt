/**
 * Stand-in for the platform's interface for ordering backend servers. It starts and stops engine stand-ins, lists the
 * backend servers, reclaims a failure domain on demand, and closes the connection of incomplete requests.
 */
package org.hickorytiller.standins

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.module.kotlin.readValue
import io.netty.channel.EventLoopGroup
import kotlinx.coroutines.CoroutineScope
import org.hickorytiller.core.json
import org.hickorytiller.http.Headers
import org.hickorytiller.http.HttpLimits
import org.hickorytiller.http.HttpServer
import org.hickorytiller.http.RequestHead
import org.hickorytiller.http.ServerConnection
import org.hickorytiller.http.respondJson
import java.net.InetSocketAddress

/** A backend server as the interface lists it. */
data class ListedBackendServer(
    val id: String,
    val pool: String,
    val address: String,
    val failureDomain: String,
    val state: String,
    val slots: Int,
    val reclaimable: Boolean,
    val orderId: String? = null,
)

/** An order as the interface accepts it. [action] is `start` or `stop`, [count] the number of servers to start. */
data class PlacedOrder(
    val orderId: String,
    val action: String,
    val pool: String = "",
    val failureDomain: String = "",
    val backendServer: String = "",
    val reclaimable: Boolean = false,
    val count: Int = 1,
    val fencingToken: Long = -1,
    val sender: String = "",
)

/**
 * Faults of the interface.
 *
 * @property loseAnswers number of orders that take effect without a response
 * @property unavailableDomains failure domains in which no reclaimable server is available
 * @property reclaimDomain failure domain whose reclaimable servers are reclaimed: they are listed as leaving at once
 * @property outage whether every request except to `/control` is rejected with 503
 * @property rawAnswers bodies of responses to the next orders, sent unchanged after the order took effect
 * @property startDelayMs time for which a new server is listed as starting
 * @property stopDelayMs time for which a stopped server is listed as leaving
 */
data class OrderingControl(
    val loseAnswers: Int = 0,
    val unavailableDomains: List<String> = emptyList(),
    val reclaimDomain: String? = null,
    val outage: Boolean = false,
    val rawAnswers: List<String> = emptyList(),
    val startDelayMs: Long = 0,
    val stopDelayMs: Long = 0,
)

/**
 * The ordering stand-in. [startServer] starts a server for an order and returns its list entry, or null if it starts
 * none. Confined to one event loop.
 */
class OrderingStandIn(
    private val incompleteRequestTimeoutMs: Long = 2_000,
    private val clockMs: () -> Long = System::currentTimeMillis,
    private val startServer: (PlacedOrder) -> ListedBackendServer?,
) {
    /** Faults in effect. */
    var control = OrderingControl()

    /** The listed servers, by id. */
    val servers = LinkedHashMap<String, ListedBackendServer>()

    /** All orders that took effect, in order. */
    val orders = mutableListOf<PlacedOrder>()

    /** Number of requests that were closed because their body was incomplete, for example at the time limit. */
    var incompleteRequests = 0
        private set

    private val runningAtMs = HashMap<String, Long>()
    private val removeAtMs = HashMap<String, Long>()

    /** Starts serving on [address]. */
    fun start(group: EventLoopGroup, scope: CoroutineScope, address: InetSocketAddress): HttpServer =
        HttpServer.start(group, scope, address, HttpLimits(bodyTimeoutMs = incompleteRequestTimeoutMs), ::serve)

    private suspend fun serve(connection: ServerConnection) {
        while (true) {
            val head = connection.receive().getOrNull() ?: return
            if (head.headers["expect"] != null) connection.sendContinue()
            val body = connection.receiveBody().getOrNull()
            if (body == null) {
                incompleteRequests++
                return
            }
            if (!handle(connection, head, body)) return
        }
    }

    private suspend fun handle(connection: ServerConnection, head: RequestHead, body: ByteArray): Boolean = when {
        head.path == "/control" -> changeControl(connection, body)
        control.outage -> connection.respondJson(503, mapOf("error" to "out of service"))
        head.path == "/backend-servers" -> {
            updateStates()
            connection.respondJson(200, servers.values)
        }
        head.path == "/orders" && head.method == "GET" -> connection.respondJson(200, orders)
        head.path == "/orders" -> place(connection, body)
        else -> connection.respondJson(404, mapOf("error" to "not found"))
    }

    private fun updateStates() {
        val nowMs = clockMs()
        runningAtMs.filterValues { it <= nowMs }.keys.toList().forEach { id ->
            runningAtMs.remove(id)
            servers.computeIfPresent(id) { _, server -> server.copy(state = "running") }
        }
        removeAtMs.filterValues { it <= nowMs }.keys.toList().forEach { id ->
            removeAtMs.remove(id)
            servers.remove(id)
        }
    }

    private suspend fun changeControl(connection: ServerConnection, body: ByteArray): Boolean {
        control = json.readValue(body)
        control.reclaimDomain?.let(::reclaim)
        return connection.respondJson(200, control)
    }

    private fun reclaim(failureDomain: String) {
        servers.values
            .filter { it.failureDomain == failureDomain && it.reclaimable }
            .forEach { servers[it.id] = it.copy(state = "leaving") }
    }

    private suspend fun place(connection: ServerConnection, body: ByteArray): Boolean {
        val order =
            try {
                json.readValue<PlacedOrder>(body)
            } catch (_: JsonProcessingException) {
                return connection.respondJson(400, mapOf("error" to "not an order"))
            }
        if (order.reclaimable && order.failureDomain in control.unavailableDomains) {
            return connection.respondJson(409, mapOf("error" to "no offer in ${order.failureDomain}"))
        }
        orders += order
        when (order.action) {
            "start" -> repeat(order.count) { start(order) }
            "stop" -> stop(order.backendServer)
        }
        return acknowledge(connection)
    }

    private fun start(order: PlacedOrder) {
        val server = startServer(order) ?: return
        val isDelayed = control.startDelayMs > 0
        if (isDelayed) runningAtMs[server.id] = clockMs() + control.startDelayMs
        servers[server.id] =
            server.copy(orderId = order.orderId, state = if (isDelayed) "starting" else server.state)
    }

    private fun stop(id: String) {
        if (control.stopDelayMs == 0L) {
            servers.remove(id)
            return
        }
        servers.computeIfPresent(id) { _, server -> server.copy(state = "leaving") }
        removeAtMs[id] = clockMs() + control.stopDelayMs
    }

    private suspend fun acknowledge(connection: ServerConnection): Boolean {
        if (control.loseAnswers > 0) {
            control = control.copy(loseAnswers = control.loseAnswers - 1)
            return false
        }
        val raw = control.rawAnswers.firstOrNull() ?: return connection.respondJson(200, mapOf("status" to "placed"))
        control = control.copy(rawAnswers = control.rawAnswers.drop(1))
        return connection.respond(200, Headers.EMPTY, raw.toByteArray())
    }
}
