/**
 * Stand-in for a model engine: streamed responses at a fixed token rate, a bounded number of slots with a queue ordered
 * by priority, resumption of streams, load reports with a lag, and faults on demand.
 */
package org.hickorytiller.standins

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.module.kotlin.readValue
import io.netty.channel.EventLoopGroup
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import org.hickorytiller.core.json
import org.hickorytiller.http.Headers
import org.hickorytiller.http.HttpLimits
import org.hickorytiller.http.HttpServer
import org.hickorytiller.http.RequestHead
import org.hickorytiller.http.ServerConnection
import org.hickorytiller.http.respondJson
import java.net.InetSocketAddress
import java.util.PriorityQueue

/**
 * Speed, limits and faults of an engine.
 *
 * @property firstTokenMs time from the start of a request in a slot to its first token
 * @property betweenTokensMs time between two tokens
 * @property loadLagMs age of the load report
 * @property checksFencingToken whether an order with an old fencing token is rejected
 * @property stalled whether running requests stop producing tokens
 * @property closeAfterTokens number of tokens after which a stream is truncated; -1 for never
 * @property cuts number of streams that are still to be truncated
 * @property errorStatus status with which requests are rejected; 0 for none
 * @property poisonMarker text that crashes the engine if the body of a request contains it
 * @property crash whether the engine crashes when it receives this control
 */
data class EngineControl(
    val slots: Int = 8,
    val firstTokenMs: Long = 20,
    val betweenTokensMs: Long = 5,
    val loadLagMs: Long = 500,
    val checksFencingToken: Boolean = true,
    val stalled: Boolean = false,
    val poisonMarker: String = "CRASH-ENGINE",
    val crash: Boolean = false,
    val closeAfterTokens: Int = -1,
    val cuts: Int = 0,
    val errorStatus: Int = 0,
)

/** The engine stand-in. Confined to one event loop. */
class EngineStandIn(val name: String, var control: EngineControl = EngineControl()) {
    private val waiting = PriorityQueue<Waiter>(compareBy({ it.priority }, { it.order }))
    private val openConnections = HashSet<ServerConnection>()
    private val loadHistory = ArrayDeque<Pair<Long, Int>>()
    private val seenFields = LinkedHashSet<String>()
    private val acceptedOrders = mutableListOf<String>()
    private var running = 0
    private var nextArrival = 0L
    private var newestFencingToken = -1L
    private var server: HttpServer? = null

    /** Number of requests that got a slot. */
    var started = 0L
        private set

    /** Starts serving on [address]. */
    fun start(group: EventLoopGroup, scope: CoroutineScope, address: InetSocketAddress): HttpServer =
        HttpServer.start(group, scope, address, HttpLimits(), ::serve).also { server = it }

    /** Closes the listener and every connection, as a crash of the process would. */
    fun crash() {
        server?.close()
        openConnections.toList().forEach { it.abort() }
    }

    private suspend fun serve(connection: ServerConnection) {
        openConnections += connection
        try {
            while (true) {
                val head = connection.receive().getOrNull() ?: return
                val body = connection.receiveBody().getOrNull() ?: return
                head.headers.fields.forEach { seenFields += "${it.name}: ${it.value}" }
                if (!handle(connection, head, body)) return
            }
        } finally {
            openConnections -= connection
        }
    }

    private suspend fun handle(connection: ServerConnection, head: RequestHead, body: ByteArray): Boolean =
        when (head.path) {
            "/v1/chat/completions" -> serveCompletion(connection, head, body)
            "/load" -> connection.respondJson(200, loadReport())
            "/orders" -> acceptOrder(connection, body)
            "/health" -> connection.respondJson(200, mapOf("status" to "ok"))
            "/control" -> changeControl(connection, body)
            "/seen" -> connection.respondJson(
                200,
                mapOf(
                    "started" to started,
                    "fields" to seenFields,
                    "orders" to acceptedOrders,
                ),
            )
            else -> connection.respondJson(404, mapOf("error" to "not found"))
        }

    private suspend fun changeControl(connection: ServerConnection, body: ByteArray): Boolean {
        control = json.readValue(body)
        if (control.crash) crash()
        return connection.respondJson(200, control)
    }

    private suspend fun acceptOrder(connection: ServerConnection, body: ByteArray): Boolean {
        val order = json.readTree(body)
        val token = order.path("fencingToken").asLong(-1)
        if (control.checksFencingToken && token < newestFencingToken) {
            return connection.respondJson(409, mapOf("error" to "old fencing token"))
        }
        newestFencingToken = maxOf(newestFencingToken, token)
        acceptedOrders += order.toString()
        return connection.respondJson(200, mapOf("status" to "accepted"))
    }

    private suspend fun serveCompletion(connection: ServerConnection, head: RequestHead, body: ByteArray): Boolean {
        if (String(body).contains(control.poisonMarker)) {
            crash()
            return false
        }
        val request = json.readTree(body)
        if (control.errorStatus !=
            0
        ) {
            return connection.respondJson(control.errorStatus, mapOf("error" to "overloaded"), requestIdFields(head))
        }
        awaitSlot(head.headers["x-priority"]?.toIntOrNull() ?: 0)
        try {
            val completionId = "chatcmpl-$name-${++started}"
            delay(control.firstTokenMs)
            val from = head.headers["x-resume-from"]?.toIntOrNull() ?: 0
            return if (request.path("stream").asBoolean()) {
                stream(connection, CompletionStream(request, completionId, from), requestIdFields(head))
            } else {
                respondWhole(connection, request, completionId, requestIdFields(head))
            }
        } finally {
            releaseSlot()
        }
    }

    /** The streamed response to [request], with the completion id [id], from the token with index [from] on. */
    private class CompletionStream(val request: JsonNode, val id: String, val from: Int)

    private suspend fun stream(connection: ServerConnection, completion: CompletionStream, idFields: Headers): Boolean {
        val headers = Headers(idFields.fields + Headers.Field("content-type", "text/event-stream"))
        if (!connection.startResponse(200, headers)) return false
        val tokens = completion.request.path("max_tokens").asInt(DEFAULT_TOKENS)
        for (index in completion.from until tokens) {
            if (index > completion.from) delay(control.betweenTokensMs)
            if (control.stalled) awaitCloseThenCancellation(connection)
            val finish = if (index == tokens - 1) "stop" else null
            val chunk = chunk(completion, index, finish)
            if (index == control.closeAfterTokens && control.cuts > 0) return truncateStream(connection, chunk)
            if (!connection.writeChunk("data: $chunk\n\n".toByteArray())) return false
        }
        connection.writeChunk("data: [DONE]\n\n".toByteArray())
        return connection.endResponse()
    }

    // Truncates the stream within an event, so that the receiver has to drop the first part of that event.
    private suspend fun truncateStream(connection: ServerConnection, chunk: String): Boolean {
        control = control.copy(cuts = control.cuts - 1)
        connection.writeChunk("data: $chunk".take(CUT_CHARACTERS).toByteArray())
        connection.abort()
        return false
    }

    private suspend fun respondWhole(
        connection: ServerConnection,
        request: JsonNode,
        completionId: String,
        idFields: Headers,
    ): Boolean {
        val tokens = request.path("max_tokens").asInt(DEFAULT_TOKENS)
        delay(control.betweenTokensMs * tokens)
        if (control.stalled) awaitCloseThenCancellation(connection)
        val text = (0 until tokens).joinToString("") { "t$it " }
        val message = mapOf("role" to "assistant", "content" to text)
        val choice = mapOf("index" to 0, "message" to message, "finish_reason" to "stop")
        val completion =
            mapOf(
                "id" to completionId,
                "object" to "chat.completion",
                "model" to request.path("model").asText(),
                "choices" to listOf(choice),
                "usage" to tokenUsage(promptTokens(request), tokens),
            )
        return connection.respondJson(200, completion, idFields)
    }

    private fun tokenUsage(promptTokens: Int, tokens: Int) = mapOf(
        "prompt_tokens" to promptTokens,
        "completion_tokens" to tokens,
        "total_tokens" to promptTokens + tokens,
    )

    private fun chunk(completion: CompletionStream, index: Int, finish: String?): String {
        val choice = mapOf("index" to 0, "delta" to mapOf("content" to "t$index "), "finish_reason" to finish)
        return json.writeValueAsString(
            mapOf(
                "id" to completion.id,
                "object" to "chat.completion.chunk",
                "model" to completion.request.path("model").asText(),
                "choices" to listOf(choice),
            ),
        )
    }

    private fun requestIdFields(head: RequestHead) =
        Headers(head.headers.fields.filter { it.name.equals("x-request-id", ignoreCase = true) })

    private fun promptTokens(request: JsonNode) =
        request.path("messages").sumOf { it.path("content").asText().length } / 4

    private suspend fun awaitCloseThenCancellation(connection: ServerConnection) {
        connection.closed.await()
        if (control.stalled) awaitCancellation()
    }

    private suspend fun awaitSlot(priority: Int) {
        recordLoad()
        if (running < control.slots) {
            running++
            return
        }
        val waiter = Waiter(priority, nextArrival++)
        waiting += waiter
        waiter.granted.await()
    }

    private fun releaseSlot() {
        val next = waiting.poll()
        if (next == null) running-- else next.granted.complete(Unit)
        recordLoad()
    }

    private fun recordLoad() {
        loadHistory.addLast(System.currentTimeMillis() to running + waiting.size)
        while (loadHistory.size > LOAD_HISTORY) loadHistory.removeFirst()
    }

    private fun loadReport(): Map<String, Any> {
        val asOfMs = System.currentTimeMillis() - control.loadLagMs
        val inFlight = loadHistory.lastOrNull { it.first <= asOfMs }?.second ?: 0
        return mapOf("inFlight" to inFlight, "slots" to control.slots, "ageMs" to control.loadLagMs)
    }

    private class Waiter(val priority: Int, val order: Long) {
        val granted = CompletableDeferred<Unit>()
    }

    private companion object {
        const val DEFAULT_TOKENS = 16
        const val LOAD_HISTORY = 10_000
        const val CUT_CHARACTERS = 40
    }
}
