package org.hickorytiller.standins

import com.fasterxml.jackson.databind.JsonNode
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeUnique
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.hickorytiller.core.json
import org.hickorytiller.http.EventLoop
import org.hickorytiller.http.HttpClient
import org.hickorytiller.http.HttpLimits
import org.hickorytiller.http.RequestHead
import java.net.InetSocketAddress

class EngineStandInTest : AnnotationSpec() {
    /** Sends the request [times] times and returns the JSON documents of each response; a stream has one for each event. */
    private fun sendRequests(stream: Boolean, times: Int): List<List<JsonNode>> {
        val loop = EventLoop()
        try {
            val engine = EngineStandIn("engine-1", EngineControl(firstTokenMs = 1, betweenTokensMs = 0))
            val server = engine.start(loop.group, loop.scope, InetSocketAddress("127.0.0.1", 0))
            val client = HttpClient(loop.group, HttpLimits())
            val body = """{"model":"m","stream":$stream,"max_tokens":3,"messages":[{"role":"user","content":"12345678"}]}"""
            return List(times) {
                val request = RequestHead("POST", "/v1/chat/completions")
                val response = runBlocking {
                    withContext(loop.scope.coroutineContext) { client.call(server.address, request, body.toByteArray()) }
                }.fold({ error("$it") }, { String(it.body) })
                val documents = if (stream) response.lines().filter { it.startsWith("data: {") }.map { it.substring(6) } else listOf(response)
                documents.map(json::readTree)
            }
        } finally {
            loop.close()
        }
    }

    @Test
    fun `the usage contains the total, which common clients read`() {
        val usage = sendRequests(stream = false, times = 1).single().single().path("usage")
        usage.path("prompt_tokens").asInt() shouldBe 2
        usage.path("completion_tokens").asInt() shouldBe 3
        usage.path("total_tokens").asInt() shouldBe 5
    }

    @Test
    fun `each response has its own id, which is the same in all events of a stream`() {
        listOf(true, false).forEach { stream ->
            val ids = sendRequests(stream, times = 3).map { events -> events.map { it.path("id").asText() }.toSet() }
            ids.forEach { it shouldHaveSize 1 }
            ids.flatten().shouldBeUnique()
        }
    }
}
