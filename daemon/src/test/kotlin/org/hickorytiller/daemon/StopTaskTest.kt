package org.hickorytiller.daemon

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.hickorytiller.core.monotonicClock
import org.hickorytiller.http.EventLoop
import org.hickorytiller.http.Headers
import org.hickorytiller.http.HttpClient
import org.hickorytiller.http.HttpLimits
import org.hickorytiller.http.HttpServer
import org.hickorytiller.http.RequestHead
import java.net.InetSocketAddress

class StopTaskTest : AnnotationSpec() {
    private val steps = mutableListOf<String>()

    @BeforeEach
    fun reset() = steps.clear()

    private fun task(rules: StopRules, inFlight: InFlight) = StopTask(monotonicClock, rules, inFlight, { steps += "left the directory" }, { steps += "stopped accepting" })

    @Test
    fun `a stop accepts connections until callers' directory responses have expired`() {
        val task = task(StopRules(acceptMs = 300, limitMs = 2_000), InFlight())
        runBlocking {
            val startedAt = monotonicClock()
            val stop = launch { task.stop() }
            delay(100)
            task.isStopping shouldBe true
            steps shouldContainExactly listOf("left the directory")
            stop.join()
            (monotonicClock() - startedAt) shouldBeGreaterThanOrEqual 300
        }
        steps shouldContainExactly listOf("left the directory", "stopped accepting")
        task.ended.isCompleted shouldBe true
    }

    /** Calls [test] with one request in flight, which ends when the given [CompletableDeferred] is completed. */
    private fun withRequest(test: suspend CoroutineScope.(InFlight, CompletableDeferred<Unit>) -> Unit) {
        val loop = EventLoop()
        val inFlight = InFlight()
        val response = CompletableDeferred<Unit>()
        try {
            val server =
                HttpServer.start(loop.group, loop.scope, InetSocketAddress("127.0.0.1", 0), HttpLimits()) { connection ->
                    connection.receive()
                    inFlight.track(connection) {
                        response.await()
                        connection.respond(200, Headers.EMPTY, ByteArray(0))
                    }
                }
            val client = HttpClient(loop.group, HttpLimits())
            runBlocking {
                withContext(loop.scope.coroutineContext) {
                    launch { client.call(server.address, RequestHead("GET", "/"), timeoutMs = 5_000) }
                    while (inFlight.count == 0) delay(5)
                    test(inFlight, response)
                    response.complete(Unit)
                }
            }
        } finally {
            loop.close()
        }
    }

    @Test
    fun `a stop waits for requests in flight`() = withRequest { inFlight, response ->
        val task = task(StopRules(acceptMs = 1, limitMs = 5_000), inFlight)
        val stop = launch { task.stop() }
        delay(400)
        task.ended.isCompleted shouldBe false
        response.complete(Unit)
        stop.join()
        task.ended.isCompleted shouldBe true
    }

    @Test
    fun `a stop ends at its limit while a request is still in flight`() = withRequest { inFlight, _ ->
        val startedAt = monotonicClock()
        task(StopRules(acceptMs = 1, limitMs = 300), inFlight).stop()
        // The limit, the time to flush the log, and slack for a busy machine.
        (monotonicClock() - startedAt) shouldBeLessThan 4_000
        inFlight.count shouldBe 1
    }
}
