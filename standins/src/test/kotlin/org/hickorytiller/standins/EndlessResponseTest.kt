package org.hickorytiller.standins

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.TimeMs
import org.hickorytiller.core.monotonicClock
import org.hickorytiller.http.EventLoop
import org.hickorytiller.http.HttpClient
import org.hickorytiller.http.HttpLimits
import org.hickorytiller.http.RequestHead
import org.hickorytiller.platform.BackendServerClient
import org.hickorytiller.quarantine.Fingerprint
import org.hickorytiller.relay.Attempt
import org.hickorytiller.relay.ForwardedCall
import org.hickorytiller.relay.RelayRequest
import org.hickorytiller.relay.RequestId
import org.hickorytiller.routes.ResponseMode
import org.hickorytiller.routes.Route
import org.hickorytiller.routes.RouteId
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import kotlin.concurrent.thread

/** A server that sends bytes that are no response, until its peer closes the connection. */
class EndlessResponseTest : AnnotationSpec() {
    private class EndlessServer(private val start: String, private val repeated: String) : AutoCloseable {
        private val socket = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
        val address = InetSocketAddress(socket.inetAddress, socket.localPort)
        private val writer =
            thread {
                try {
                    socket.accept().use { connection ->
                        val out = connection.getOutputStream()
                        out.write(start.toByteArray())
                        while (true) out.write(repeated.toByteArray())
                    }
                } catch (_: IOException) {
                    // The peer has closed the connection, which ends the response.
                }
            }

        /** Returns whether the peer closes the connection within [timeoutMs]. */
        fun isClosedWithin(timeoutMs: Long): Boolean {
            writer.join(timeoutMs)
            return !writer.isAlive
        }

        override fun close() = socket.close()
    }

    private fun attempt(address: InetSocketAddress) = Attempt(
        BackendServer(BackendServerId("i-1"), POOL, address, FailureDomain("a"), BackendServerState.RUNNING, 6, reclaimable = false),
        RelayRequest(
            RequestId("r1"),
            Route(RouteId("r"), "h", "/", ResponseMode.BUFFERED, true, false, 1_000, 100, 0, 1, emptyList(), 1, false),
            POOL,
            customer = null,
            priority = 1,
            ForwardedCall(RequestHead("GET", "/x"), ByteArray(0)),
            prompt = null,
            resumeAfter = null,
            TimeMs(0),
            TimeMs(1_000),
            Fingerprint("f"),
        ),
        timeoutMs = 1_000,
        responseHeadTimeoutMs = 400,
        resumeAfter = null,
    )

    // Each of these kept the task of the request alive for as long as bytes arrived, or its memory growing.
    @Test
    fun `a head without end fails the attempt in time and closes the connection`() {
        val other = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 2\r\n\r\nno"
        listOf(
            "" to "HTTP/1.1 100 Continue\r\n\r\n",
            "" to other,
            "HTTP/1.1 200 OK\r\n" to "X-Filler: 0123456789\r\n",
            "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n" to "0123456789",
            "" to "0123456789",
        ).forAll { (start, repeated) ->
            EndlessServer(start, repeated).use { server ->
                val loop = EventLoop()
                val startedAt = monotonicClock()
                val result = runBlocking {
                    withContext(loop.scope.coroutineContext) {
                        withTimeoutOrNull(5_000) { BackendServerClient(HttpClient(loop.group, HttpLimits())).open(attempt(server.address)) }
                    }
                }
                result?.isLeft() shouldBe true
                monotonicClock() - startedAt shouldBeLessThan 2_000
                server.isClosedWithin(2_000) shouldBe true
                loop.close()
            }
        }
    }

    private companion object {
        val POOL = PoolId("p")
    }
}
