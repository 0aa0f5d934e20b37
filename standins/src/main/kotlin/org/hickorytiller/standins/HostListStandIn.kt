/** Stand-in for the platform's list of hosts, which lags in production; this one changes only when a test sets it. */
package org.hickorytiller.standins

import com.fasterxml.jackson.module.kotlin.readValue
import io.netty.channel.EventLoopGroup
import kotlinx.coroutines.CoroutineScope
import org.hickorytiller.core.json
import org.hickorytiller.http.HttpLimits
import org.hickorytiller.http.HttpServer
import org.hickorytiller.http.ServerConnection
import org.hickorytiller.http.respondJson
import java.net.InetSocketAddress

/** One entry of the host list. */
data class HostEntry(val host: String, val peerAddress: String, val state: String = "live")

/** Serves the host list; a POST request replaces it. Confined to one event loop. */
class HostListStandIn(var hosts: List<HostEntry> = emptyList()) {
    /** Starts serving on [address]. */
    fun start(group: EventLoopGroup, scope: CoroutineScope, address: InetSocketAddress): HttpServer =
        HttpServer.start(group, scope, address, HttpLimits(), ::serve)

    private suspend fun serve(connection: ServerConnection) {
        while (true) {
            val head = connection.receive().getOrNull() ?: return
            val body = connection.receiveBody().getOrNull() ?: return
            if (head.method == "POST") hosts = json.readValue(body)
            if (!connection.respondJson(200, hosts)) return
        }
    }
}
