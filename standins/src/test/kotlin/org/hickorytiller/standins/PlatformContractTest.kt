package org.hickorytiller.standins

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.hickorytiller.core.Delivery
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.StreamName
import org.hickorytiller.core.Verdict
import org.hickorytiller.core.json
import org.hickorytiller.http.EventLoop
import org.hickorytiller.http.Headers
import org.hickorytiller.http.HttpClient
import org.hickorytiller.http.HttpFault
import org.hickorytiller.http.HttpLimits
import org.hickorytiller.http.RequestHead
import org.hickorytiller.platform.CheckedSender
import org.hickorytiller.platform.EngineOrder
import org.hickorytiller.platform.EngineOrderClient
import org.hickorytiller.platform.LogClient
import org.hickorytiller.platform.LogFailure
import org.hickorytiller.platform.OrderClient
import org.hickorytiller.platform.ServerOrder
import org.hickorytiller.platform.UsageReportClient
import java.net.InetSocketAddress

/** Tests the clients of the platform's interfaces against the stand-ins over real connections. */
class PlatformContractTest : AnnotationSpec() {
    private val serving = EventLoop()
    private val calling = EventLoop()
    private val client = HttpClient(calling.group, HttpLimits(maxBodyBytes = 65_536, bodyTimeoutMs = 2_000))
    private val sender = CheckedSender(client, continueTimeoutMs = 500, answerTimeoutMs = 500)
    private val log = LogStandIn()
    private val ordering = OrderingStandIn(incompleteRequestTimeoutMs = INCOMPLETE_MS) {
        ListedBackendServer("server-${it.orderId}", it.pool, "127.0.0.1:1", it.failureDomain, "running", 8, it.reclaimable)
    }
    private val usage = UsageStandIn(INCOMPLETE_MS)
    private lateinit var logAddress: InetSocketAddress
    private lateinit var orderAddress: InetSocketAddress
    private lateinit var usageAddress: InetSocketAddress

    @BeforeAll
    fun `start the stand-ins`() {
        val any = InetSocketAddress("127.0.0.1", 0)
        logAddress = log.start(serving.group, serving.scope, any).address
        orderAddress = ordering.start(serving.group, serving.scope, any).address
        usageAddress = usage.start(serving.group, serving.scope, any).address
    }

    @AfterAll
    fun `stop the event loops`() {
        calling.close()
        serving.close()
    }

    private fun <T> call(block: suspend CoroutineScope.() -> T): T = runBlocking { calling.scope.async(block = block).await() }

    private fun <T> serve(block: () -> T): T = runBlocking { serving.scope.async { block() }.await() }

    private fun order(id: String) = ServerOrder(id, "start", "chat", "zone-a", true, 1, "", 7, "host-1")

    private class OrderCase(
        val name: String,
        val control: OrderingControl,
        val verdict: Verdict,
        val tookEffect: Boolean,
    )

    @Test
    fun `each fault of the ordering interface gives the verdict that matches its effect`() {
        listOf(
            OrderCase("none", OrderingControl(), Verdict.RAN, true),
            OrderCase("lost answer", OrderingControl(loseAnswers = 1), Verdict.MAY_HAVE_RUN, true),
            OrderCase("no offer", OrderingControl(unavailableDomains = listOf("zone-a")), Verdict.NOT_RUN, false),
            OrderCase("outage", OrderingControl(outage = true), Verdict.MAY_HAVE_RUN, false),
            OrderCase("not JSON", OrderingControl(rawAnswers = listOf("{\"status\"")), Verdict.MAY_HAVE_RUN, true),
            OrderCase("other JSON", OrderingControl(rawAnswers = listOf("[1]")), Verdict.MAY_HAVE_RUN, true),
            OrderCase("empty", OrderingControl(rawAnswers = listOf("")), Verdict.MAY_HAVE_RUN, true),
            OrderCase("too large", OrderingControl(rawAnswers = listOf("x".repeat(100_000))), Verdict.MAY_HAVE_RUN, true),
        ).forAll { case ->
            withClue(case.name) {
                serve { ordering.control = case.control }
                val orders = OrderClient(client, orderAddress, sender)
                call { orders.place(order(case.name), { true }, {}) }.verdict shouldBe case.verdict
                serve { ordering.orders.count { it.orderId == case.name } } shouldBe (if (case.tookEffect) 1 else 0)
            }
        }
        serve { ordering.control = OrderingControl() }
    }

    @Test
    fun `a listed server names the order that started it`() {
        val orders = OrderClient(client, orderAddress, sender)
        call { orders.place(order("listed"), { true }, {}) } shouldBe Delivery.Taken
        call { orders.orderedServers() }.getOrNull()?.any { it.orderId == "listed" } shouldBe true
    }

    @Test
    fun `the body of an order is not sent if the check after 100 Continue fails`() {
        var checked = 0
        val orders = OrderClient(client, orderAddress, sender)
        val delivery = call { orders.place(order("unchecked"), { checked++ < 0 }, { error("written") }) }
        delivery.verdict shouldBe Verdict.NOT_RUN
        checked shouldBe 1
        serve { ordering.orders.none { it.orderId == "unchecked" } } shouldBe true
    }

    @Test
    fun `a body sent after the limit for incomplete requests is rejected`() {
        call {
            val connection = client.connect(orderAddress).getOrNull()!!
            val body = json.writeValueAsBytes(order("late"))
            connection.sendHead(RequestHead("POST", "/orders", Headers.of("expect" to "100-continue")), body.size)
            connection.receiveHead(500).getOrNull()?.status shouldBe 100
            delay(INCOMPLETE_MS + 300)
            connection.sendBody(body)
            connection.receiveHead(500).leftOrNull() shouldBe HttpFault.CLOSED
            connection.close()
        }
        serve { ordering.orders.none { it.orderId == "late" } } shouldBe true
        serve { ordering.incompleteRequests } shouldBe 1
    }

    @Test
    fun `an order to an unreachable interface counts as not run`() {
        val unreachable = OrderClient(client, InetSocketAddress("127.0.0.1", 1), sender)
        call { unreachable.place(order("nobody"), { true }, {}) }.verdict shouldBe Verdict.NOT_RUN
        call { unreachable.orderedServers() }.leftOrNull() shouldBe HttpFault.UNREACHABLE
    }

    @Test
    fun `a usage report has the same bytes on each retry and counts as run only when acknowledged`() {
        val reports = UsageReportClient(sender, usageAddress)
        val bytes = "{\"figures\":[]}".toByteArray()
        listOf(
            UsageControl(loseAnswers = 1) to Verdict.MAY_HAVE_RUN,
            UsageControl(rawAnswers = listOf("<html>")) to Verdict.MAY_HAVE_RUN,
            UsageControl(outage = true) to Verdict.MAY_HAVE_RUN,
            UsageControl() to Verdict.RAN,
        ).forAll { (control, verdict) ->
            serve { usage.control = control }
            call { reports.report(4, bytes, 9, { true }, {}) }.verdict shouldBe verdict
        }
        serve { usage.reports["4"]?.distinct() } shouldBe listOf(String(bytes))
    }

    @Test
    fun `an engine order with an old fencing token is rejected only by engines that check tokens`() {
        val orders = EngineOrderClient(sender)
        listOf(true to Verdict.NOT_RUN, false to Verdict.RAN).forAll { (checks, verdict) ->
            val engine = EngineStandIn("engine", EngineControl(checksFencingToken = checks))
            val address = engine.start(serving.group, serving.scope, InetSocketAddress("127.0.0.1", 0)).address
            fun send(token: Long) = call { orders.order(address, EngineOrder("o", "load_model", "writer", token), { true }, {}) }
            send(8).verdict shouldBe Verdict.RAN
            send(7).verdict shouldBe verdict
            call { orders.order(address, EngineOrder("o", "load_model", "writer", 9), { false }, {}) }.verdict shouldBe Verdict.NOT_RUN
        }
    }

    @Test
    fun `each fault of the log gives the matching failure of appends and reads`() {
        val client = LogClient(client, logAddress)
        val stream = StreamName("contract")
        fun append(control: LogControl) = call {
            serving.scope.async { log.control = control }.await()
            client.append(stream, "{}".toByteArray())
        }
        append(LogControl()).getOrNull() shouldBe LogOffset(0)
        append(LogControl(loseAnswers = 1)).leftOrNull() shouldBe LogFailure.UNKNOWN
        append(LogControl(outage = true)).leftOrNull() shouldBe LogFailure.UNAVAILABLE
        append(LogControl(appendsPerSecond = 0)).leftOrNull() shouldBe LogFailure.UNAVAILABLE
        append(LogControl(rawAnswers = listOf("{\"offset\":\"x\"}"))).leftOrNull() shouldBe LogFailure.MALFORMED
        append(LogControl(rawAnswers = listOf("x".repeat(100_000)))).leftOrNull() shouldBe LogFailure.UNKNOWN
        call { client.append(stream, ByteArray(300_000)) }.leftOrNull() shouldBe LogFailure.TOO_LARGE
        call { client.read(stream, LogOffset(0), 0) }.getOrNull()?.end shouldBe LogOffset(4)
        listOf("", "{}", "[]", """{"earliest":0,"end":1,"records":[{"offset":0,"data":7}]}""", """{"earliest":0,"end":"1","records":[]}""")
            .forAll { raw ->
                serve { log.control = LogControl(rawPages = listOf(raw)) }
                call { client.read(stream, LogOffset(0), 0) }.leftOrNull() shouldBe LogFailure.MALFORMED
            }
    }

    private companion object {
        const val INCOMPLETE_MS = 700L
    }
}
