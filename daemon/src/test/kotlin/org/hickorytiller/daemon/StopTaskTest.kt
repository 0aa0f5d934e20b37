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
    fun `guards against a stop that refuses callers who still have the address`() {
        val task = task(StopRules(acceptMs = 300, limitMs = 2_000), InFlight())
        runBlocking {
            val begunAt = monotonicClock()
            val stop = launch { task.stop() }
            delay(100)
            task.isStopping shouldBe true
            steps shouldContainExactly listOf("left the directory")
            stop.join()
            (monotonicClock() - begunAt) shouldBeGreaterThanOrEqual 300
        }
        steps shouldContainExactly listOf("left the directory", "stopped accepting")
        task.ended.isCompleted shouldBe true
    }

    /** Calls [test] while a request is in flight until the given promise is kept. */
    private fun withRequest(test: suspend CoroutineScope.(InFlight, CompletableDeferred<Unit>) -> Unit) {
        val loop = EventLoop()
        val inFlight = InFlight()
        val answer = CompletableDeferred<Unit>()
        try {
            val server =
                HttpServer.start(loop.group, loop.scope, InetSocketAddress("127.0.0.1", 0), HttpLimits()) { connection ->
                    connection.receive()
                    inFlight.track(connection) {
                        answer.await()
                        connection.respond(200, Headers.EMPTY, ByteArray(0))
                    }
                }
            val client = HttpClient(loop.group, HttpLimits())
            runBlocking {
                withContext(loop.scope.coroutineContext) {
                    launch { client.call(server.address, RequestHead("GET", "/"), timeoutMs = 5_000) }
                    while (inFlight.count == 0) delay(5)
                    test(inFlight, answer)
                    answer.complete(Unit)
                }
            }
        } finally {
            loop.close()
        }
    }

    @Test
    fun `guards against a stop that cuts a request in flight`() = withRequest { inFlight, answer ->
        val task = task(StopRules(acceptMs = 1, limitMs = 5_000), inFlight)
        val stop = launch { task.stop() }
        delay(400)
        task.ended.isCompleted shouldBe false
        answer.complete(Unit)
        stop.join()
        task.ended.isCompleted shouldBe true
    }

    @Test
    fun `guards against a stop that waits beyond its limit for a request that does not end`() = withRequest { inFlight, _ ->
        val begunAt = monotonicClock()
        task(StopRules(acceptMs = 1, limitMs = 300), inFlight).stop()
        // The limit, the last lines of the log, and room for a busy machine.
        (monotonicClock() - begunAt) shouldBeLessThan 4_000
        inFlight.count shouldBe 1
    }
}
