/**
 * Stand-in for the platform's interface for usage reports. It records every report of a window, so that a test can
 * detect differing reports for one window.
 */
package org.hickorytiller.standins

import com.fasterxml.jackson.module.kotlin.readValue
import io.netty.channel.EventLoopGroup
import kotlinx.coroutines.CoroutineScope
import org.hickorytiller.core.json
import org.hickorytiller.http.Headers
import org.hickorytiller.http.HttpLimits
import org.hickorytiller.http.HttpServer
import org.hickorytiller.http.ServerConnection
import org.hickorytiller.http.respondJson
import java.net.InetSocketAddress

/**
 * Faults of the interface.
 *
 * @property loseAnswers number of reports that are accepted without a response
 * @property rawAnswers bodies of responses to the next reports, sent unchanged after the report was accepted
 */
data class UsageControl(
    val outage: Boolean = false,
    val loseAnswers: Int = 0,
    val rawAnswers: List<String> = emptyList(),
)

/** The usage report stand-in. Confined to one event loop. */
class UsageStandIn(private val incompleteRequestTimeoutMs: Long = 2_000) {
    /** Faults in effect. */
    var control = UsageControl()

    /** The reports received for each window, in order. */
    val reports = LinkedHashMap<String, MutableList<String>>()

    /** Number of requests that were closed because their body was incomplete, for example at the time limit. */
    var incompleteRequests = 0
        private set

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
            if (!handle(connection, head.path, body)) return
        }
    }

    private suspend fun handle(connection: ServerConnection, path: String, body: ByteArray): Boolean {
        if (path == "/control") {
            control = json.readValue(body)
            return connection.respondJson(200, control)
        }
        if (path == "/windows") return connection.respondJson(200, reports)
        if (control.outage) return connection.respondJson(503, mapOf("error" to "out of service"))
        reports.getOrPut(path.removePrefix("/windows/")) { mutableListOf() } += String(body)
        if (control.loseAnswers > 0) {
            control = control.copy(loseAnswers = control.loseAnswers - 1)
            return false
        }
        val raw = control.rawAnswers.firstOrNull() ?: return connection.respondJson(200, mapOf("status" to "taken"))
        control = control.copy(rawAnswers = control.rawAnswers.drop(1))
        return connection.respond(200, Headers.EMPTY, raw.toByteArray())
    }
}
