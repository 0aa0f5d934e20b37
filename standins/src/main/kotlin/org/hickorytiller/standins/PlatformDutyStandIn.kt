/** Stand-in of the users' interface for usage reports and orders; it refuses calls with an older fencing token. */
package org.hickorytiller.standins

import com.fasterxml.jackson.databind.JsonNode
import io.netty.channel.EventLoopGroup
import kotlinx.coroutines.CoroutineScope
import org.hickorytiller.core.jsonTreeMapper
import org.hickorytiller.http.Headers
import org.hickorytiller.http.HttpLimits
import org.hickorytiller.http.HttpServer
import org.hickorytiller.http.HttpStatus
import org.hickorytiller.http.ServerConnection
import java.net.InetSocketAddress

/** A call that was accepted. */
class DutyCall(val path: String, val holder: String, val token: Long, val body: JsonNode)

/** The interface. Confined to one event loop. */
class PlatformDutyStandIn {
    private val newestTokens = HashMap<String, Long>()

    /** The calls accepted so far. */
    val calls = mutableListOf<DutyCall>()

    /** Starts serving on [address]. */
    fun start(group: EventLoopGroup, scope: CoroutineScope, address: InetSocketAddress): HttpServer =
        HttpServer.start(group, scope, address, HttpLimits(), ::serve)

    private suspend fun serve(connection: ServerConnection) {
        while (true) {
            val head = connection.receive().getOrNull() ?: return
            val body = jsonTreeMapper.readTree(connection.receiveBody().getOrNull() ?: return)
            val token = head.headers["Fence-Token"]?.toLong() ?: 0
            val subject = "${head.path} ${body.path("service").asText()} ${body.path("zone").asText()}"
            val isOld = token < (newestTokens[subject] ?: 0)
            if (!isOld) {
                newestTokens[subject] = token
                calls += DutyCall(head.path, head.headers["Duty-Holder"].orEmpty(), token, body)
            }
            connection.respond(if (isOld) HttpStatus.CONFLICT else HttpStatus.OK, Headers.EMPTY, ByteArray(0))
        }
    }
}
