package org.hickorytiller.router

import arrow.core.right
import com.fasterxml.jackson.databind.JsonNode
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.hickorytiller.configuration.KeyWithdrawn
import org.hickorytiller.configuration.Section
import org.hickorytiller.configuration.SectionProposed
import org.hickorytiller.configuration.decodeState
import org.hickorytiller.configuration.encodeConfigurationRecord
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.HostId
import org.hickorytiller.core.KeyHash
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.json
import org.hickorytiller.http.EventLoop
import org.hickorytiller.http.Headers
import org.hickorytiller.http.HttpClient
import org.hickorytiller.http.HttpLimits
import org.hickorytiller.http.HttpServer
import org.hickorytiller.http.RequestHead
import org.hickorytiller.http.respondJson
import org.hickorytiller.keys.KeyRegistry
import org.hickorytiller.keys.hashKey
import org.hickorytiller.platform.LogPage
import org.hickorytiller.platform.LogRecord
import org.hickorytiller.platform.ReadLog
import java.net.InetSocketAddress

class AdminEndpointTest : AnnotationSpec() {
    private val hash = hashKey("key")

    /** A client of an admin interface on a loopback port. */
    private class Admin(private val client: HttpClient, private val address: InetSocketAddress, val keys: KeyRegistry, val announced: List<KeyHash>) {
        suspend fun call(method: String, path: String, body: String = "", token: String? = null): Pair<Int, JsonNode> {
            val headers = if (token == null) Headers.EMPTY else Headers.of("authorization" to "Bearer $token")
            val response = client.call(address, RequestHead(method, path, headers), body.toByteArray()).getOrNull()!!
            return response.status to json.readTree(response.body)
        }
    }

    private fun withAdmin(tokenHash: KeyHash? = null, isReady: Boolean = true, test: suspend (Admin) -> Unit) = EventLoop().use { loop ->
        val any = InetSocketAddress("127.0.0.1", 0)
        val settings = RouterSettings(HostId("h"), FailureDomain("z"), any, any, any, any, any, any, 1_000, tokenHash, intentPartitions = 1, idempotencyWindowMs = 1_000, hedgeAfterMs = null, drainLimitMs = 1_000)
        val keys = KeyRegistry()
        val record = encodeConfigurationRecord(SectionProposed("p", Section.CUSTOMERS.key, -1, "o", "[customers.clinic]\nkeyHashes = [\"${hash.value}\"]\n"))
        val more = encodeConfigurationRecord(KeyWithdrawn(hashKey("old").value))
        val silent = CompletableDeferred<Unit>()
        val read: ReadLog = { _, from, _ ->
            if (!isReady || from.value >= 2) silent.await()
            LogPage(LogOffset(0), LogOffset(2), listOf(LogRecord(LogOffset(0), record), LogRecord(LogOffset(1), more))).right()
        }
        val announced = mutableListOf<KeyHash>()
        val extra = mapOf("/extra" to AdminResource("GET") { connection, _, _ -> connection.respondJson(200, "extra") })
        val task = ConfigurationTask(read, keys)
        val endpoint = AdminEndpoint(settings, task, keys, { announced += it }, extra)
        val server = HttpServer.start(loop.group, loop.scope, any, HttpLimits(), endpoint::serve)
        loop.scope.launch { task.run() }
        runBlocking {
            loop.scope.async {
                while (isReady && !task.isReady) delay(1)
                test(Admin(HttpClient(loop.group, HttpLimits()), server.address, keys, announced))
            }.await()
        }
    }

    @Test
    fun `requests without the operator token are rejected`() = withAdmin(hashKey("secret")) { admin ->
        listOf(null, "", "wrong", hashKey("secret").value).forEach { token ->
            listOf("/status", "/configuration", "/extra", "/unknown").forEach { admin.call("GET", it, token = token).first shouldBe 401 }
            admin.call("POST", "/keys/withdraw", hash.value, token).first shouldBe 401
        }
        admin.keys.isWithdrawn(hash) shouldBe false
        admin.call("GET", "/status", token = "secret").first shouldBe 200
    }

    @Test
    fun `an invalid withdrawal is rejected and a valid one takes effect once and is announced`() = withAdmin { admin ->
        listOf("", "key", hash.value.uppercase(), hash.value + "0").forEach {
            val (status, body) = admin.call("POST", "/keys/withdraw", it)
            status shouldBe 400
            body.path("error").path("code").asText() shouldBe "invalid_key_hash"
        }
        admin.call("GET", "/keys/withdraw").first shouldBe 405
        admin.call("POST", "/keys/withdraw", "x".repeat(5_000)).first shouldBe 413
        var ended = 0
        admin.keys.register(hash) { ended++ }
        admin.call("POST", "/keys/withdraw", hash.value + "\n").second.path("isNew").asBoolean() shouldBe true
        admin.call("POST", "/keys/withdraw", hash.value).second.path("isNew").asBoolean() shouldBe false
        ended shouldBe 1
        admin.announced shouldContain hash
        admin.call("GET", "/keys/withdrawals").second.path("notOnLog").map { it.asText() } shouldBe listOf(hash.value)
    }

    @Test
    fun `status and configuration show what is in effect`() = withAdmin { admin ->
        val (_, status) = admin.call("GET", "/status")
        status.path("ready").asBoolean() shouldBe true
        status.path("configurationOffset").asLong() shouldBe 1
        status.path("sections").path("customers").asLong(-1) shouldBe 0
        val (_, configuration) = admin.call("GET", "/configuration")
        val state = decodeState(json.writeValueAsBytes(configuration)).getOrNull()!!
        state.customerOf(hash)?.value shouldBe "clinic"
        state.withdrawn shouldBe setOf(hashKey("old"))
        admin.call("GET", "/extra").first shouldBe 200
        admin.call("GET", "/unknown").first shouldBe 404
    }

    @Test
    fun `without a configuration none is shown, but a withdrawal is accepted`() = withAdmin(isReady = false) { admin ->
        admin.call("GET", "/configuration").first shouldBe 503
        admin.call("GET", "/status").second.path("ready").asBoolean() shouldBe false
        admin.call("POST", "/keys/withdraw", hash.value).first shouldBe 200
        admin.keys.isWithdrawn(hash) shouldBe true
    }

    @Test
    fun `a malformed operator token hash in the settings is reported`() {
        val text = "host = \"h\"\nfailureDomain = \"z\"\ncallerAddress = \"127.0.0.1:1\"\nadminAddress = \"127.0.0.1:2\"\npeerAddress = \"127.0.0.1:3\"\n" +
            "operatorTokenHash = \"secret\"\n[platform]\nlogAddress = \"127.0.0.1:4\"\norderAddress = \"127.0.0.1:5\"\nhostListAddress = \"127.0.0.1:6\"\n"
        RouterSettings.read(text).leftOrNull()!!.map { it.name } shouldBe listOf("operatorTokenHash")
        RouterSettings.read(text.replace("secret", hash.value)).getOrNull()!!.operatorTokenHash shouldBe hash
    }
}
