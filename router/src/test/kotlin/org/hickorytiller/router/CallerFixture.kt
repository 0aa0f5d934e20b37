package org.hickorytiller.router

import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.hickorytiller.admission.Admission
import org.hickorytiller.balancing.BackendServerTable
import org.hickorytiller.configuration.ConfigurationDocument
import org.hickorytiller.configuration.Pool
import org.hickorytiller.configuration.PoolKind
import org.hickorytiller.configuration.RouteEntry
import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.ClassId
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.HostId
import org.hickorytiller.core.ModelId
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.ProcessId
import org.hickorytiller.core.RequestClass
import org.hickorytiller.core.Tier
import org.hickorytiller.core.monotonicClock
import org.hickorytiller.dispatch.Dispatcher
import org.hickorytiller.dispatch.IntentStatus
import org.hickorytiller.dispatch.IntentWriter
import org.hickorytiller.dispatch.WastedWork
import org.hickorytiller.http.EventLoop
import org.hickorytiller.http.HttpClient
import org.hickorytiller.http.HttpLimits
import org.hickorytiller.http.HttpServer
import org.hickorytiller.keys.KeyRegistry
import org.hickorytiller.keys.hashKey
import org.hickorytiller.membership.AddressResponse
import org.hickorytiller.membership.Drain
import org.hickorytiller.membership.DrainLimits
import org.hickorytiller.platform.LogClient
import org.hickorytiller.standins.EngineControl
import org.hickorytiller.standins.EngineStandIn
import org.hickorytiller.standins.LogStandIn
import org.hickorytiller.standins.PlainServiceStandIn
import org.hickorytiller.timeline.RouterMetrics
import org.hickorytiller.usage.RequestUsage
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketTimeoutException

/** The caller interface of a router, with stand-ins for engines, a plain service and the log, on loopback sockets. */
internal class CallerFixture(engineCount: Int = 2, slots: Int = 2, firstTokenTargetMs: Long = 100) : AutoCloseable {
    val key = "ht-secret-key"
    val loop = EventLoop()
    private val platformLoop = EventLoop()
    private val anyPort = InetSocketAddress("127.0.0.1", 0)
    private val limits =
        HttpLimits(maxHeadBytes = 2_048, maxBodyBytes = 65_536, headTimeoutMs = 400, bodyTimeoutMs = 400, lingerTimeoutMs = 300)

    val log = LogStandIn()
    val service = PlainServiceStandIn()
    val engines = List(engineCount) { EngineStandIn("engine-$it", EngineControl(firstTokenMs = 5, betweenTokensMs = 2)) }
    val keys = KeyRegistry()
    val wastedWork = mutableListOf<WastedWork>()
    val usages = mutableListOf<RequestUsage>()
    val servers = BackendServerTable(monotonicClock)
    val admission = Admission(monotonicClock, servers::freeSlots, servers::totalSlots)

    private val chat = PoolId("chat")
    private val ledger = PoolId("ledger")
    private val requestClass = RequestClass(ClassId("reports"), Tier(1), firstTokenTargetMs, 10, 10_000)
    var document: ConfigurationDocument? = ConfigurationDocument(
        classes = mapOf(requestClass.id to requestClass),
        pools = mapOf(
            chat to Pool(chat, PoolKind.ENGINE, ModelId("m"), true),
            ledger to Pool(ledger, PoolKind.SERVICE, null, true),
        ),
        routes = listOf(
            RouteEntry("chat", "/v1/chat/completions", chat, open = false, idempotent = true, listOf(requestClass.id)),
            RouteEntry("refunds", "/refunds", ledger, open = false, idempotent = false, listOf(requestClass.id)),
            RouteEntry("status", "/returns", ledger, open = true, idempotent = true, listOf(requestClass.id)),
        ),
    )

    val dispatcher: Dispatcher
    private val intents: IntentTask
    private val server: HttpServer

    init {
        val logServer = log.start(platformLoop.group, platformLoop.scope, anyPort)
        val serviceServer = service.start(platformLoop.group, platformLoop.scope, anyPort)
        val listed = engines.mapIndexed { index, engine ->
            backendServer(engine.name, chat, engine.start(platformLoop.group, platformLoop.scope, anyPort).address, slots, "zone-$index")
        } + backendServer("service", ledger, serviceServer.address, 16, "zone-a")
        servers.replace(listed)
        keys.replaceGrants(mapOf(hashKey(key) to CustomerId("clinic")))
        val client = HttpClient(loop.group, HttpLimits())
        val logClient = LogClient(client, logServer.address)
        val run = ProcessId("run-1")
        intents = IntentTask(
            IntentWriter(HostId("host-1"), run),
            1,
            IntentLog(logClient::append, logClient::read),
            monotonicClock,
            { _, _, _ -> IntentStatus.Unknown },
        )
        dispatcher = Dispatcher(client, monotonicClock, run, onWasted = wastedWork::add)
        val components = RequestComponents(admission, servers, dispatcher, intents, { requestClass.tier }, { _, usage -> usages += usage })
        val drain = DrainTask(Drain(DrainLimits(10_000)), monotonicClock, {}, {}, { _, _, _ -> })
        val frontEnd = CallerFrontEnd(
            { document },
            keys,
            RequestResolver(monotonicClock, { document }, keys),
            RequestRunner(monotonicClock, components, loop.scope),
            CallerOperations(drain, RouterMetrics()) { AddressResponse(listOf("127.0.0.1:1"), 10_000) },
        )
        server = HttpServer.start(loop.group, loop.scope, anyPort, limits, frontEnd::serve)
        loop.scope.launch { intents.run() }
        onLoop { withTimeout(5_000) { while (!intents.isReady) delay(5) } }
    }

    private fun backendServer(name: String, pool: PoolId, address: InetSocketAddress, slots: Int, domain: String) = BackendServer(
        BackendServerId(name),
        pool,
        InetSocketAddress("127.0.0.1", address.port),
        FailureDomain(domain),
        BackendServerState.RUNNING,
        slots,
        reclaimable = false,
    )

    /** Runs [work] on the router's event loop. */
    fun <T> onLoop(work: suspend () -> T): T = runBlocking { loop.scope.async { work() }.await() }

    /** Runs [work] on the event loop of the stand-ins. */
    fun <T> onPlatform(work: suspend () -> T): T = runBlocking { platformLoop.scope.async { work() }.await() }

    /** Opens a caller connection. */
    fun connect() = Socket("127.0.0.1", server.address.port).apply { soTimeout = 8_000 }

    /** Sends [input] and returns everything received until the router closes the connection or [quietMs] pass without data. */
    fun exchange(input: String, quietMs: Int = 8_000, halfClose: Boolean = false): String = connect().use { socket ->
        socket.soTimeout = quietMs
        socket.getOutputStream().write(input.toByteArray(Charsets.ISO_8859_1))
        if (halfClose) socket.shutdownOutput()
        readToEnd(socket)
    }

    fun readToEnd(socket: Socket): String {
        val received = StringBuilder()
        val buffer = ByteArray(65_536)
        try {
            while (true) {
                val count = socket.getInputStream().read(buffer)
                if (count < 0) break
                received.append(String(buffer, 0, count, Charsets.ISO_8859_1))
            }
        } catch (_: SocketTimeoutException) {
            received.append("<quiet>")
        } catch (_: IOException) {
            received.append("<reset>")
        }
        return received.toString()
    }

    fun refund(idempotencyKey: String?, body: String = """{"deposit":"A-17"}""", fields: String = ""): String {
        val keyField = idempotencyKey?.let { "Idempotency-Key: $it\r\n" }.orEmpty()
        return post("/refunds", body, keyField + fields)
    }

    fun chat(stream: Boolean, tokens: Int = 6, prompt: String = "Any scratches on it?", fields: String = ""): String = post(
        "/v1/chat/completions",
        """{"model":"m","stream":$stream,"max_tokens":$tokens,"messages":[{"role":"user","content":"$prompt"}]}""",
        fields,
    )

    fun post(target: String, body: String, fields: String = "", authorization: String = "Authorization: Bearer $key\r\n"): String = "POST $target HTTP/1.1\r\nHost: x\r\n${authorization}Content-Type: application/json\r\nConnection: close\r\n$fields" +
        "Content-Length: ${body.length}\r\n\r\n$body"

    /** Returns the texts of the tokens in a streamed response. */
    fun tokens(response: String): List<String> = Regex("\"content\":\"(t\\d+) \"").findAll(response).map { it.groupValues[1] }.toList()

    override fun close() {
        server.close()
        loop.close()
        platformLoop.close()
    }
}
