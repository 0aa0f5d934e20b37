package org.hickorytiller.http

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** A server that sends exactly the bytes that a test gives for each request. */
private class RawServer(
    private val answers: List<String>,
    private val closeAfter: Boolean = false,
    private val resetAfter: Boolean = false,
) : AutoCloseable {
    private val socket = ServerSocket(0)
    private val served = AtomicInteger()
    val connections = AtomicInteger()
    val address = InetSocketAddress("127.0.0.1", socket.localPort)

    init {
        thread(isDaemon = true) {
            while (!socket.isClosed) {
                val connection = runCatching { socket.accept() }.getOrNull() ?: break
                connections.incrementAndGet()
                thread(isDaemon = true) { serve(connection) }
            }
        }
    }

    private fun serve(connection: java.net.Socket): Unit = connection.use {
        val input = it.getInputStream().bufferedReader()
        while (true) {
            val line = input.readLine() ?: return@use
            if (line.isNotEmpty()) continue
            val answer = answers.getOrNull(served.getAndIncrement()) ?: return@use
            it.getOutputStream().write(answer.toByteArray())
            if (resetAfter) {
                // The client must have read what was sent, which the reset would discard.
                Thread.sleep(100)
                it.setSoLinger(true, 0)
            }
            if (closeAfter || resetAfter) return@use
        }
    }

    override fun close() = socket.close()
}

class HttpClientTest : AnnotationSpec() {
    private val loop = EventLoop()
    private val client = HttpClient(loop.group, HttpLimits(maxHeadBytes = 2_048, maxBodyBytes = 10_000, headTimeoutMs = 300))

    @AfterAll
    fun stop() = loop.close()

    private fun <T> onLoop(work: suspend CoroutineScope.() -> T): T = runBlocking { loop.scope.async { work() }.await() }

    private fun ok(body: String) = "HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n$body"

    private suspend fun get(server: RawServer) = client.call(server.address, RequestHead("GET", "/"), timeoutMs = 500)
        .map { String(it.body) }

    @Test
    fun `guards against a connection that is not used again after a clean exchange`() {
        RawServer(listOf(ok("one"), ok("two"))).use { server ->
            onLoop { get(server).getOrNull() } shouldBe "one"
            onLoop { get(server).getOrNull() } shouldBe "two"
            server.connections.get() shouldBe 1
        }
    }

    @Test
    fun `guards against bytes beyond an answer that become the answer to the next request`() {
        listOf(
            "a doubled answer" to ok("one") + ok("stale"),
            "rubbish" to ok("one") + "rubbish",
            "a part of a second head" to ok("one") + "HTTP/1.1 2",
            "a longer body than announced" to "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none-and-more",
            "a late answer" to ok("one") + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nst",
        ).forAll { (what, first) ->
            withClue(what) {
                RawServer(listOf(first, ok("two"))).use { server ->
                    onLoop { get(server).getOrNull() } shouldBe "one"
                    onLoop { delay(50) }
                    onLoop { get(server).getOrNull() } shouldBe "two"
                    server.connections.get() shouldBe 2
                }
            }
        }
    }

    @Test
    fun `guards against bad answers that are taken for good ones`() {
        listOf(
            "not HTTP" to ("hello\r\n\r\n" to HttpFault.MALFORMED),
            "two lengths" to ("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab" to HttpFault.MALFORMED),
            "large head" to ("HTTP/1.1 200 OK\r\nA: ${"a".repeat(4_000)}\r\n\r\n" to HttpFault.HEAD_TOO_LARGE),
            "large body" to (ok("a".repeat(20_000)) to HttpFault.BODY_TOO_LARGE),
            "slow head" to ("HTTP/1.1 20" to HttpFault.TIMEOUT),
            "slow body" to ("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc" to HttpFault.TIMEOUT),
            "bad chunk" to ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n" to HttpFault.MALFORMED),
        ).forAll { (what, case) ->
            withClue(what) {
                RawServer(listOf(case.first, ok("two"))).use { server ->
                    onLoop { get(server).leftOrNull() } shouldBe case.second
                    onLoop { get(server).getOrNull() } shouldBe "two"
                    server.connections.get() shouldBe 2
                }
            }
        }
    }

    @Test
    fun `guards against a cut answer that is taken for a whole one`() {
        listOf(
            "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
            "HTTP/1.1 200 O",
            "",
        ).forAll { answer ->
            RawServer(listOf(answer), closeAfter = true).use { server ->
                onLoop { get(server).isLeft() } shouldBe true
            }
        }
    }

    @Test
    fun `guards against an answer without a length that is not whole, or whole and not taken`() {
        val unframed = "HTTP/1.1 200 OK\r\n\r\nabc"
        RawServer(listOf(unframed), closeAfter = true).use { server -> onLoop { get(server).getOrNull() } shouldBe "abc" }
        RawServer(listOf(unframed), resetAfter = true).use { server -> onLoop { get(server).isLeft() } shouldBe true }
        RawServer(listOf(unframed)).use { server -> onLoop { get(server).leftOrNull() } shouldBe HttpFault.TIMEOUT }
    }

    @Test
    fun `guards against another request in place of the rest of a body whose answer came early`() {
        RawServer(listOf(ok("early"), ok("two"))).use { server ->
            // Larger than the socket buffers, so that a part of it is not written when the answer arrives.
            val body = ByteArray(32_000_000)
            val first = onLoop { client.call(server.address, RequestHead("POST", "/"), body, timeoutMs = 2_000) }
            String(first.getOrNull()!!.body) shouldBe "early"
            onLoop { get(server).getOrNull() } shouldBe "two"
            server.connections.get() shouldBe 2
        }
    }

    @Test
    fun `guards against a server that cannot be reached and is taken for one that may have run the request`() {
        val address = ServerSocket(0).use { InetSocketAddress("127.0.0.1", it.localPort) }
        onLoop { client.call(address, RequestHead("GET", "/")).leftOrNull() } shouldBe HttpFault.UNREACHABLE
    }
}
