/**
 * Stand-in for the platform's duty interface (`/usage` and `/scale`), to which the daemon sends usage reports and
 * orders. It rejects calls with an old fencing token, which is a header field. [UsageStandIn] and [OrderingStandIn]
 * implement the interfaces that the controller uses.
 */
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

/** An accepted call. [holder] is the value of its `Duty-Holder` field. */
class DutyCall(val path: String, val holder: String, val token: Long, val body: JsonNode)

/** The duty interface stand-in. Confined to one event loop. */
class PlatformDutyStandIn {
    private val newestTokenBySubject = HashMap<String, Long>()

    /** The calls accepted so far, in order. */
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
            val isStaleToken = token < (newestTokenBySubject[subject] ?: 0)
            if (!isStaleToken) {
                newestTokenBySubject[subject] = token
                calls += DutyCall(head.path, head.headers["Duty-Holder"].orEmpty(), token, body)
            }
            connection.respond(if (isStaleToken) HttpStatus.CONFLICT else HttpStatus.OK, Headers.EMPTY, ByteArray(0))
        }
    }
}
