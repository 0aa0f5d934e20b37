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
    /** The events of one answer, or the answer itself. */
    private fun ask(stream: Boolean, times: Int): List<List<JsonNode>> {
        val loop = EventLoop()
        try {
            val engine = EngineStandIn("engine-1", EngineControl(firstTokenMs = 1, betweenTokensMs = 0))
            val server = engine.start(loop.group, loop.scope, InetSocketAddress("127.0.0.1", 0))
            val client = HttpClient(loop.group, HttpLimits())
            val body = """{"model":"m","stream":$stream,"max_tokens":3,"messages":[{"role":"user","content":"12345678"}]}"""
            return List(times) {
                val call = RequestHead("POST", "/v1/chat/completions")
                val answer = runBlocking {
                    withContext(loop.scope.coroutineContext) { client.call(server.address, call, body.toByteArray()) }
                }.fold({ error("$it") }, { String(it.body) })
                val documents = if (stream) answer.lines().filter { it.startsWith("data: {") }.map { it.substring(6) } else listOf(answer)
                documents.map(json::readTree)
            }
        } finally {
            loop.close()
        }
    }

    @Test
    fun `guards against a usage that lacks the sum, which stock clients read`() {
        val usage = ask(stream = false, times = 1).single().single().path("usage")
        usage.path("prompt_tokens").asInt() shouldBe 2
        usage.path("completion_tokens").asInt() shouldBe 3
        usage.path("total_tokens").asInt() shouldBe 5
    }

    @Test
    fun `guards against two answers with one id, and against a stream whose events have several`() {
        listOf(true, false).forEach { stream ->
            val ids = ask(stream, times = 3).map { events -> events.map { it.path("id").asText() }.toSet() }
            ids.forEach { it shouldHaveSize 1 }
            ids.flatten().shouldBeUnique()
        }
    }
}
