/**
 * Stand-in for a plain service whose calls must not be retried. It executes and records every call that it receives, so
 * that a test can detect a second execution.
 */
package org.hickorytiller.standins

import com.fasterxml.jackson.module.kotlin.readValue
import io.netty.channel.EventLoopGroup
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import org.hickorytiller.core.json
import org.hickorytiller.http.Headers
import org.hickorytiller.http.HttpLimits
import org.hickorytiller.http.HttpServer
import org.hickorytiller.http.RequestHead
import org.hickorytiller.http.ServerConnection
import org.hickorytiller.http.respondJson
import java.net.InetSocketAddress

/**
 * Speed and faults of the service.
 *
 * @property loseAnswers number of calls that are executed without a response
 */
data class PlainServiceControl(val delayMs: Long = 10, val loseAnswers: Int = 0)

/** The plain service stand-in. Confined to one event loop. */
class PlainServiceStandIn(var control: PlainServiceControl = PlainServiceControl()) {
    /** The targets and bodies of all executed calls, in order. */
    val executions = mutableListOf<String>()

    /** All header fields received, so that a test can check that no caller's key is among them. */
    val seenFields = LinkedHashSet<String>()

    /** Starts serving on [address]. */
    fun start(group: EventLoopGroup, scope: CoroutineScope, address: InetSocketAddress): HttpServer =
        HttpServer.start(group, scope, address, HttpLimits(), ::serve)

    private suspend fun serve(connection: ServerConnection) {
        while (true) {
            val head = connection.receive().getOrNull() ?: return
            val body = connection.receiveBody().getOrNull() ?: return
            if (!handle(connection, head, body)) return
        }
    }

    private suspend fun handle(connection: ServerConnection, head: RequestHead, body: ByteArray): Boolean =
        when (head.path) {
            "/executions" -> connection.respondJson(200, mapOf("executions" to executions, "fields" to seenFields))
            "/health" -> connection.respondJson(200, mapOf("status" to "ok"))
            "/control" -> {
                control = json.readValue(body)
                connection.respondJson(200, control)
            }
            else -> execute(connection, head, body)
        }

    private suspend fun execute(connection: ServerConnection, head: RequestHead, body: ByteArray): Boolean {
        head.headers.fields.forEach { seenFields += "${it.name}: ${it.value}" }
        executions += "${head.target} ${String(body)}"
        val number = executions.size
        delay(control.delayMs)
        if (control.loseAnswers > 0) {
            control = control.copy(loseAnswers = control.loseAnswers - 1)
            return false
        }
        val id = Headers(head.headers.fields.filter { it.name.equals("x-request-id", ignoreCase = true) })
        return connection.respondJson(200, mapOf("status" to "done", "number" to number), id)
    }
}
