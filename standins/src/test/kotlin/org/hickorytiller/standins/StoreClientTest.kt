package org.hickorytiller.standins

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.StreamName
import org.hickorytiller.http.EventLoop
import org.hickorytiller.http.HttpClient
import org.hickorytiller.http.HttpLimits
import org.hickorytiller.platform.StoreClient
import org.hickorytiller.platform.StoreFailure
import java.net.InetSocketAddress

/** Checks the client's result for every response that the protocol of the platform's store defines. */
class StoreClientTest : AnnotationSpec() {
    private val topic = StreamName("keyed.t")
    private lateinit var loop: EventLoop
    private lateinit var store: PlatformStoreStandIn
    private lateinit var client: StoreClient

    @BeforeEach
    fun start() {
        loop = EventLoop()
        store = PlatformStoreStandIn()
        val server = store.start(loop.group, loop.scope, InetSocketAddress("127.0.0.1", 0))
        client = StoreClient(HttpClient(loop.group, HttpLimits()), server.address)
    }

    @AfterEach
    fun stop() = loop.close()

    private fun <T> onLoop(block: suspend () -> T): T = runBlocking { withContext(loop.scope.coroutineContext) { block() } }

    private fun append(at: Long?) = onLoop { client.append(topic, "k", "v".toByteArray(), at?.let(::LogOffset)) }

    private fun read(from: Long) = onLoop { client.read(topic, LogOffset(from), waitMs = 0) }

    private fun newest() = onLoop { client.newest(topic) }

    @Test
    fun `each error status of the store is reported as its failure and not as an unknown result`() {
        data class Case(val status: Int, val failure: StoreFailure)
        listOf(
            Case(429, StoreFailure.UNAVAILABLE),
            Case(503, StoreFailure.UNAVAILABLE),
            Case(507, StoreFailure.UNAVAILABLE),
            Case(409, StoreFailure.OVERTAKEN),
            Case(412, StoreFailure.OVERTAKEN),
            Case(410, StoreFailure.TRIMMED),
            Case(500, StoreFailure.MALFORMED),
        ).forAll { case ->
            withClue(case) {
                onLoop { store.outageStatus = case.status }
                append(at = null).leftOrNull() shouldBe case.failure
                read(from = 0).leftOrNull() shouldBe case.failure
                newest().leftOrNull() shouldBe case.failure
            }
        }
    }

    @Test
    fun `an append whose response is lost has an unknown result`() {
        onLoop { store.loseAnswers = 1 }
        append(at = 0).leftOrNull() shouldBe StoreFailure.UNKNOWN
        onLoop { store.end("keyed.t") } shouldBe 1
        append(at = 0).leftOrNull() shouldBe StoreFailure.OVERTAKEN
        append(at = 1).getOrNull() shouldBe LogOffset(1)
    }

    @Test
    fun `a failed connection attempt is reported as unavailable and not as an unknown result`() {
        val closedPort = java.net.ServerSocket(0).use { InetSocketAddress("127.0.0.1", it.localPort) }
        val unreachable = StoreClient(HttpClient(loop.group, HttpLimits()), closedPort)
        onLoop { unreachable.append(topic, "k", "v".toByteArray(), at = null) }.leftOrNull() shouldBe StoreFailure.UNAVAILABLE
    }

    @Test
    fun `reads return deleted keys and the end of the topic, and fail for trimmed history`() {
        append(at = null)
        onLoop { store.put("keyed.t", "other", "x") }
        onLoop { store.put("keyed.t", "other", null) }
        val page = read(from = 1).getOrNull()!!
        page.records.map { it.key to it.value?.let(::String) } shouldBe listOf("other" to "x", "other" to null)
        page.end shouldBe LogOffset(3)
        newest().getOrNull()!!.records.map { it.key } shouldBe listOf("k")
        onLoop { store.compact("keyed.t") }
        read(from = 1).leftOrNull() shouldBe StoreFailure.TRIMMED
        newest().getOrNull()!!.end shouldBe LogOffset(3)
    }
}
