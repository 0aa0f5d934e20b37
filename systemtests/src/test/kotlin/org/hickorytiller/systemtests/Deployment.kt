/**
 * Starts routers, controllers and hickoryctl as separate processes on loopback addresses. The stand-ins take the place
 * of the platform and the backend servers.
 */
package org.hickorytiller.systemtests

import org.hickorytiller.core.json
import org.hickorytiller.keys.hashKey
import java.io.File
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** Status and body of an HTTP response. */
internal data class HttpResult(val status: Int, val body: String) {
    val verdict: String? get() = json.readTree(body).path("error").path("verdict").textValue()
    val code: String? get() = json.readTree(body).path("error").path("code").textValue()
}

internal class Deployment(private val routerCount: Int = 2) : AutoCloseable {
    private val directory: Path = Files.createTempDirectory("hickory")
    private val processes = LinkedHashMap<String, Process>()
    private val basePort = freePortRange()
    private val http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(5)).build()

    val logPort = basePort
    val orderPort = basePort + 1
    val usagePort = basePort + 2
    val hostListPort = basePort + 3

    /** Port of a backend server; the engines come first, then the plain services. */
    fun backendPort(index: Int) = basePort + BACKEND_OFFSET + index

    fun callerPort(router: Int) = basePort + CALLER_OFFSET + router

    fun adminPort(router: Int) = basePort + ADMIN_OFFSET + router

    fun peerPort(router: Int) = basePort + PEER_OFFSET + router

    fun controllerAdminPort(controller: Int) = basePort + CONTROLLER_ADMIN_OFFSET + controller

    fun controllerPeerPort(controller: Int) = basePort + CONTROLLER_PEER_OFFSET + controller

    fun startStandIns(vararg extra: String) {
        val hosts = (1..routerCount).joinToString(",") { "host-$it=127.0.0.1:${peerPort(it)}" }
        start("standins", "org.hickorytiller.standins.MainKt", "--port", "$basePort", "--hosts", hosts, *extra)
        await("the stand-ins") { get(orderPort, "/backend-servers").status == 200 }
    }

    fun startRouter(number: Int) {
        val settings =
            """
            host = "host-$number"
            failureDomain = "zone-${'a' + number - 1}"
            callerAddress = "127.0.0.1:${callerPort(number)}"
            adminAddress = "127.0.0.1:${adminPort(number)}"
            peerAddress = "127.0.0.1:${peerPort(number)}"
            addressLifetimeMs = 2000
            [platform]
            logAddress = "127.0.0.1:$logPort"
            orderAddress = "127.0.0.1:$orderPort"
            hostListAddress = "127.0.0.1:$hostListPort"
            """.trimIndent()
        start("router-$number", "org.hickorytiller.router.MainKt", write("router-$number.toml", settings))
    }

    fun awaitReady(number: Int) = await("router $number") { get(callerPort(number), "/ready").status == 200 }

    /** Starts a controller with short lease terms, so that a takeover happens within seconds. */
    fun startController(number: Int) {
        val settings =
            """
            host = "host-$number"
            failureDomain = "zone-${'a' + number - 1}"
            failureDomains = ["zone-a", "zone-b"]
            adminAddress = "127.0.0.1:${controllerAdminPort(number)}"
            [lease]
            termMs = 5000
            driftMarginMs = 500
            renewIntervalMs = 800
            [usage]
            windowMs = 1000
            [platform]
            logAddress = "127.0.0.1:$logPort"
            orderAddress = "127.0.0.1:$orderPort"
            usageAddress = "127.0.0.1:$usagePort"
            """.trimIndent()
        start("controller-$number", "org.hickorytiller.controller.MainKt", write("controller-$number.toml", settings))
    }

    /** Publishes the configuration with [KEY] granted to one customer. */
    fun applyConfiguration(document: String = configuration()): Int = hickoryctl("apply", write("configuration.toml", document), "--log", "127.0.0.1:$logPort")

    fun hickoryctl(vararg arguments: String): Int {
        val process = launch("hickoryctl", "org.hickorytiller.hickoryctl.MainKt", *arguments)
        check(process.waitFor(60, TimeUnit.SECONDS)) { "hickoryctl did not exit within 60 s" }
        return process.exitValue()
    }

    fun output(name: String): String = File(directory.toFile(), "$name.log").readText()

    fun kill(name: String) {
        processes.getValue(name).destroyForcibly().waitFor()
    }

    fun terminate(name: String) {
        processes.getValue(name).destroy()
    }

    /** Waits until the process exits and returns its exit code. */
    fun awaitExit(name: String): Int {
        check(processes.getValue(name).waitFor(60, TimeUnit.SECONDS)) { "$name did not exit within 60 s" }
        return processes.getValue(name).exitValue()
    }

    fun isRunning(name: String): Boolean = processes.getValue(name).isAlive

    /** Suspends the process, as a long pause of its host would. */
    fun suspendProcess(name: String) = signal(name, "STOP")

    fun resume(name: String) = signal(name, "CONT")

    private fun signal(name: String, signal: String) {
        val pid = processes.getValue(name).pid()
        check(ProcessBuilder("kill", "-$signal", "$pid").start().waitFor() == 0) { "kill -$signal $name failed" }
    }

    fun get(port: Int, path: String, vararg headers: String): HttpResult = send(request(port, path, *headers).GET().build())

    fun post(port: Int, path: String, body: String, vararg headers: String): HttpResult = send(request(port, path, *headers).POST(HttpRequest.BodyPublishers.ofString(body)).build())

    /** Starts a streamed request for [tokens] tokens; the future completes with the whole response. */
    fun stream(port: Int, tokens: Int): CompletableFuture<HttpResult> {
        val message = """{"role":"user","content":"Any scratches?"}"""
        val body = """{"model":"report-writer","stream":true,"max_tokens":$tokens,"messages":[$message]}"""
        val request =
            request(port, "/v1/chat/completions", "Authorization", AUTHORIZATION)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build()
        return http
            .sendAsync(request, HttpResponse.BodyHandlers.ofString())
            .thenApply { HttpResult(it.statusCode(), it.body()) }
    }

    /** Returns the number of requests that the engines have started. */
    fun startedOnEngines(engines: Int): Long = (0 until engines).sumOf { json.readTree(get(backendPort(it), "/seen").body).path("started").asLong() }

    private fun request(port: Int, path: String, vararg headers: String): HttpRequest.Builder {
        val builder = HttpRequest.newBuilder(URI("http://127.0.0.1:$port$path")).timeout(Duration.ofSeconds(30))
        if (headers.isNotEmpty()) builder.headers(*headers)
        return builder
    }

    private fun send(request: HttpRequest): HttpResult {
        val response = http.send(request, HttpResponse.BodyHandlers.ofString())
        return HttpResult(response.statusCode(), response.body())
    }

    private fun start(name: String, mainClass: String, vararg arguments: String) {
        processes[name] = launch(name, mainClass, *arguments)
    }

    private fun launch(name: String, mainClass: String, vararg arguments: String): Process {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val command = listOf(java, "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx128m", "-cp", classPath(), mainClass)
        return ProcessBuilder(command + arguments)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(File(directory.toFile(), "$name.log")))
            .start()
    }

    // Surefire may pass the class path in the manifest of a generated JAR; this property then holds the full class path.
    private fun classPath() = System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")

    private fun write(name: String, text: String): String = Files.writeString(directory.resolve(name), text).toString()

    override fun close() {
        processes.values.forEach { it.destroyForcibly() }
        processes.values.forEach { it.waitFor() }
        directory.toFile().deleteRecursively()
    }

    companion object {
        const val KEY = "system-test-key"
        const val AUTHORIZATION = "Bearer $KEY"
        private const val BACKEND_OFFSET = 10
        private const val CALLER_OFFSET = 60
        private const val ADMIN_OFFSET = 70
        private const val PEER_OFFSET = 80
        private const val CONTROLLER_ADMIN_OFFSET = 90
        private const val CONTROLLER_PEER_OFFSET = 100
        private const val PORTS_PER_DEPLOYMENT = 110
        private var nextBasePort = 20_000

        /** Waits until [condition] holds; an exception counts as false. The limit only ends a test that hangs. */
        fun await(what: String, limitMs: Long = 60_000, condition: () -> Boolean) {
            val endNs = System.nanoTime() + limitMs * 1_000_000
            while (System.nanoTime() < endNs) {
                if (runCatching(condition).getOrDefault(false)) return
                Thread.sleep(50)
            }
            error("timed out waiting for $what")
        }

        @Synchronized
        private fun freePortRange(): Int {
            while (true) {
                val start = nextBasePort
                nextBasePort += PORTS_PER_DEPLOYMENT
                check(start < 32_000) { "no free port range below 32000" }
                if ((start until start + PORTS_PER_DEPLOYMENT).all(::isFree)) return start
            }
        }

        private fun isFree(port: Int): Boolean = runCatching {
            ServerSocket().use { it.bind(InetSocketAddress(InetAddress.getLoopbackAddress(), port)) }
        }.isSuccess

        fun configuration(): String =
            """
            [customers.clinic]
            keyHashes = ["${hashKey(KEY).value}"]
            [classes.refunds]
            tier = 0
            firstTokenTargetMs = 1000
            timeoutMs = 10000
            [classes.questions]
            tier = 1
            firstTokenTargetMs = 3000
            timeoutMs = 60000
            [budgets.chat]
            maxCentsPerHour = 4000
            centsPerServerHour = 400
            centsPerReclaimableServerHour = 150
            minServers = 2
            maxServers = 8
            [backendServers.chat]
            kind = "engine"
            model = "report-writer"
            checksFencingToken = true
            [backendServers.ledger]
            kind = "service"
            [routes.chat]
            path = "/v1/chat/completions"
            pool = "chat"
            idempotent = true
            classes = ["questions"]
            [routes.refunds]
            path = "/refunds"
            pool = "ledger"
            idempotent = false
            classes = ["refunds"]
            """.trimIndent()
    }
}
