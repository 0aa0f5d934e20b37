/**
 * Stand-in of the platform's interface for ordering backend servers. It starts and stops engine stand-ins, lists what
 * runs, reclaims a failure domain on demand, and closes requests that stay incomplete.
 */
package org.hickorytiller.standins

import com.fasterxml.jackson.module.kotlin.readValue
import io.netty.channel.EventLoopGroup
import kotlinx.coroutines.CoroutineScope
import org.hickorytiller.core.json
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
)

/** An order as the interface takes it. [action] is `start` or `stop`. */
data class PlacedOrder(
    val orderId: String,
    val action: String,
    val pool: String = "",
    val failureDomain: String = "",
    val backendServer: String = "",
    val reclaimable: Boolean = false,
    val fencingToken: Long = -1,
    val sender: String = "",
)

/**
 * Faults of the interface.
 *
 * @property loseAnswers number of orders that take effect without an answer
 * @property unavailableDomains failure domains in which no reclaimable server is on offer
 * @property reclaimDomain failure domain whose reclaimable servers get notice now
 */
data class OrderingControl(
    val loseAnswers: Int = 0,
    val unavailableDomains: List<String> = emptyList(),
    val reclaimDomain: String? = null,
)

/**
 * The ordering stand-in. [startServer] starts the server that an order asks for and gives its address. Confined to one
 * event loop.
 */
class OrderingStandIn(
    private val incompleteRequestTimeoutMs: Long = 2_000,
    private val startServer: (PlacedOrder) -> ListedBackendServer?,
) {
    /** Faults in force. */
    var control = OrderingControl()

    /** The servers that run, by id. */
    val servers = LinkedHashMap<String, ListedBackendServer>()

    /** All orders that took effect, in order. */
    val orders = mutableListOf<PlacedOrder>()

    /** Starts serving on [address]. */
    fun start(group: EventLoopGroup, scope: CoroutineScope, address: InetSocketAddress): HttpServer =
        HttpServer.start(group, scope, address, HttpLimits(bodyTimeoutMs = incompleteRequestTimeoutMs), ::serve)

    private suspend fun serve(connection: ServerConnection) {
        while (true) {
            val head = connection.receive().getOrNull() ?: return
            if (head.headers["expect"] != null) connection.sendContinue()
            val body = connection.receiveBody().getOrNull() ?: return
            if (!answer(connection, head, body)) return
        }
    }

    private suspend fun answer(connection: ServerConnection, head: RequestHead, body: ByteArray): Boolean =
        when (head.path) {
            "/backend-servers" -> connection.respondJson(200, servers.values)
            "/orders" -> if (head.method == "GET") connection.respondJson(200, orders) else place(connection, body)
            "/control" -> changeControl(connection, body)
            else -> connection.respondJson(404, mapOf("error" to "not found"))
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
        val order = json.readValue<PlacedOrder>(body)
        if (orders.any { it.orderId == order.orderId }) {
            return connection.respondJson(200, mapOf("status" to "already placed"))
        }
        if (order.reclaimable && order.failureDomain in control.unavailableDomains) {
            return connection.respondJson(409, mapOf("error" to "no offer in ${order.failureDomain}"))
        }
        orders += order
        when (order.action) {
            "start" -> startServer(order)?.let { servers[it.id] = it }
            "stop" -> servers.remove(order.backendServer)
        }
        if (control.loseAnswers > 0) {
            control = control.copy(loseAnswers = control.loseAnswers - 1)
            return false
        }
        return connection.respondJson(200, mapOf("status" to "placed"))
    }
}
