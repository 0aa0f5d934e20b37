package org.hickorytiller.hickoryctl

import com.fasterxml.jackson.databind.JsonNode
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import org.hickorytiller.core.formatAddress
import org.hickorytiller.core.json
import org.hickorytiller.http.EventLoop
import org.hickorytiller.http.HttpLimits
import org.hickorytiller.http.HttpServer
import org.hickorytiller.http.respondJson
import org.hickorytiller.keys.hashKey
import org.hickorytiller.standins.LogControl
import org.hickorytiller.standins.LogStandIn
import java.io.ByteArrayOutputStream
import java.io.File
import java.io.PrintStream
import java.net.InetSocketAddress

class CommandLineTest : AnnotationSpec() {
    private val document = File("../examples/configuration.toml").readText()

    private class Result(val exitCode: ExitCode, val output: String, val errors: String) {
        val tree: JsonNode get() = json.readTree(output)
    }

    /**
     * A router whose admin interface returns [status] with the entry of [responses] for the path, and 404 for other
     * paths. If [status] is not 200, every body is an error.
     */
    private class FakeRouter(var responses: Map<String, Any> = emptyMap(), var status: Int = 200) {
        val received = mutableListOf<String>()
        var tokens = mutableListOf<String?>()
        lateinit var address: String

        fun start(loop: EventLoop) = apply {
            address = HttpServer.start(loop.group, loop.scope, InetSocketAddress("127.0.0.1", 0), HttpLimits(), { connection ->
                while (true) {
                    val head = connection.receive().getOrNull() ?: break
                    val body = connection.receiveBody().getOrNull() ?: break
                    received += "${head.method} ${head.path} ${String(body)}".trim()
                    tokens += head.headers["authorization"]
                    val response = responses[head.path]
                    val error = mapOf("error" to mapOf("message" to "refused by the router"))
                    if (!connection.respondJson(if (response == null) 404 else status, if (status == 200) response else error)) break
                }
            }).address.formatAddress()
        }
    }

    private class Deployment(val loop: EventLoop) {
        val log = LogStandIn()
        val logAddress = log.start(loop.group, loop.scope, InetSocketAddress("127.0.0.1", 0)).address.formatAddress()

        fun file(text: String): String = File.createTempFile("configuration", ".toml").also {
            it.deleteOnExit()
            it.writeText(text)
        }.path

        fun run(vararg args: String, input: String = "", environment: Map<String, String> = emptyMap()): Result {
            val output = ByteArrayOutputStream()
            val errors = ByteArrayOutputStream()
            val terminal = Terminal(input.byteInputStream(), PrintStream(output), PrintStream(errors), environment::get)
            val exitCode = runCommandLine(args.toList(), terminal)
            errors.toString() shouldNotContain "\tat "
            return Result(exitCode, output.toString(), errors.toString())
        }
    }

    private fun deployed(test: Deployment.() -> Unit) = EventLoop().use { Deployment(it).test() }

    @Test
    fun `every kind of failure has its exit code and an error text`() = deployed {
        val good = file(document)
        val unreachable = "127.0.0.1:1"
        listOf(
            listOf("nonsense") to ExitCode.USAGE,
            emptyList<String>() to ExitCode.USAGE,
            listOf("key") to ExitCode.USAGE,
            listOf("--help") to ExitCode.OK,
            listOf("apply") to ExitCode.USAGE,
            listOf("apply", good) to ExitCode.USAGE,
            listOf("apply", good, "--log", "somewhere") to ExitCode.USAGE,
            listOf("apply", good, "--log", unreachable) to ExitCode.UNREACHABLE,
            listOf("apply", "/nonexistent", "--log", logAddress) to ExitCode.USAGE,
            listOf("validate", good) to ExitCode.OK,
            listOf("validate", file("[customers.a]\nx = 1\n")) to ExitCode.REFUSED,
            listOf("diff", good, "--log", unreachable) to ExitCode.UNREACHABLE,
            listOf("show") to ExitCode.USAGE,
            listOf("show", "--section", "x", "--log", logAddress) to ExitCode.USAGE,
            listOf("status") to ExitCode.USAGE,
            listOf("status", "--routers", unreachable) to ExitCode.UNREACHABLE,
            listOf("drain", "--routers", unreachable) to ExitCode.UNREACHABLE,
            listOf("timeline", "--routers", unreachable) to ExitCode.UNREACHABLE,
            listOf("key", "withdraw", "abc", "--log", logAddress) to ExitCode.USAGE,
            listOf("key", "withdraw", hashKey("k").value) to ExitCode.USAGE,
            listOf("key", "withdraw", "--stdin", "--log", logAddress) to ExitCode.USAGE,
            listOf("key", "create", "--customer", "nobody", "--log", logAddress) to ExitCode.REFUSED,
            listOf("status", "--routers", unreachable, "--token-file", "/nonexistent") to ExitCode.USAGE,
        ).forAll { (args, expected) ->
            val result = run(*args.toTypedArray())
            result.exitCode shouldBe expected
            if (expected != ExitCode.OK) result.errors.isNotBlank() shouldBe true
        }
        listOf("validate", "diff", "apply", "show", "key create", "key withdraw", "status", "drain", "timeline").forAll {
            val result = run(*it.split(' ').toTypedArray(), "--help")
            result.exitCode shouldBe ExitCode.OK
            result.output shouldContain "usage: hickoryctl $it"
            result.output shouldContain "--json"
        }
    }

    @Test
    fun `apply publishes exactly the changed sections, and diff and show report them`() = deployed {
        val good = file(document)
        val first = run("apply", good, "--log", logAddress, "--json")
        first.exitCode shouldBe ExitCode.OK
        first.tree.path("sections").map { it.path("result").asText() }.toSet() shouldBe setOf("accepted")
        val appended = log.appendCount
        run("apply", good, "--log", logAddress).output.lines().filter { it.isNotEmpty() }.forAll { it shouldContain "unchanged" }
        log.appendCount shouldBe appended
        val changed = file(document.replace("maxCentsPerHour = 4000", "maxCentsPerHour = 5000"))
        run("diff", changed, "--log", logAddress).output shouldContain "budgets: changed chat"
        run("apply", changed, "--log", logAddress).output shouldContain "budgets: accepted: offset 5"
        log.appendCount shouldBe appended + 1
        val shown = run("show", "--log", logAddress)
        shown.output shouldContain "maxCentsPerHour = 5000"
        run("apply", file(shown.output), "--log", logAddress).output shouldNotContain "accepted"
        run("show", "--log", logAddress, "--json").tree.path("offset").asLong() shouldBe 5
    }

    @Test
    fun `apply publishes sections in the order that keeps every step valid`() = deployed {
        run("apply", file(document), "--log", logAddress)
        // The class is removed together with its last reference, so the route has to change first.
        val text = document.replace("\"reports\", \"questions\"", "\"reports\"").replace(Regex("\\[classes.questions][^\\[]*"), "")
        val removed = run("apply", file(text), "--log", logAddress)
        removed.exitCode shouldBe ExitCode.OK
        removed.output shouldContain "classes: accepted"
        run("apply", file(document), "--log", logAddress).exitCode shouldBe ExitCode.OK
    }

    @Test
    fun `applying an edited old copy reports a conflict instead of undoing a newer change`() = deployed {
        run("apply", file(document), "--log", logAddress)
        val copy = run("show", "--log", logAddress).output
        val first = run("apply", file(copy.replace("tier = 1", "tier = 3")), "--log", logAddress)
        first.exitCode shouldBe ExitCode.OK
        first.errors shouldContain "out of date"
        val late = run("apply", file(copy.replace("tier = 2", "tier = 4").replace("weight = 2", "weight = 3")), "--log", logAddress)
        late.exitCode shouldBe ExitCode.REFUSED
        late.output shouldContain "classes: conflict: another change was accepted at offset 5"
        late.output shouldContain "customers: accepted"
        val shown = run("show", "--section", "classes", "--log", logAddress).output
        shown shouldContain "tier = 3"
        shown shouldNotContain "tier = 4"
    }

    @Test
    fun `an append whose response is lost is applied once and reported as accepted`() = deployed {
        log.control = LogControl(loseAnswers = 1)
        val result = run("apply", file("[customers.a]\nweight = 2\n"), "--log", logAddress)
        result.exitCode shouldBe ExitCode.OK
        result.output shouldContain "customers: accepted: offset 0"
        log.control = LogControl(loseAnswers = 1)
        val created = run("key", "create", "--customer", "a", "--label", "desk", "--log", logAddress, "--json")
        created.exitCode shouldBe ExitCode.OK
        log.control = LogControl(outage = true)
        run("apply", file("[customers.a]\nweight = 3\n"), "--log", logAddress).exitCode shouldBe ExitCode.UNREACHABLE
        log.control = LogControl()
        run("show", "--log", logAddress).output shouldContain "weight = 2"
    }

    @Test
    fun `apply reports the routers in which the change is not yet in effect`() = deployed {
        fun status(offset: Int, ready: Boolean = true) = mapOf("/status" to mapOf("ready" to ready, "configurationOffset" to offset))
        val done = FakeRouter(status(9)).start(loop)
        val behind = FakeRouter(status(0)).start(loop)
        val starting = FakeRouter(status(9, ready = false)).start(loop)
        val file = file("[customers.a]\n[customers.b]\n")
        run("apply", file, "--log", logAddress, "--routers", done.address).exitCode shouldBe ExitCode.OK
        val change = file("[customers.a]\nweight = 2\n[customers.b]\n")
        val late =
            run("apply", change, "--log", logAddress, "--routers", "${done.address},${behind.address},${starting.address}", "--wait-ms", "300", "--json")
        late.exitCode shouldBe ExitCode.UNREACHABLE
        late.tree.path("sections").path("customers").path("result").asText() shouldBe "accepted"
        late.tree.path("routersNotInForce").fieldNames().asSequence().toSet() shouldBe setOf(behind.address, starting.address)
    }

    @Test
    fun `a key is shown only when it is created, stored only as its hash, and withdrawn by its hash`() = deployed {
        run("apply", file("[customers.a]\n"), "--log", logAddress)
        val created = run("key", "create", "--customer", "a", "--label", "desk", "--log", logAddress, "--json").tree
        val key = created.path("key").asText()
        val hash = hashKey(key).value
        created.path("keyHash").asText() shouldBe hash
        val shown = run("show", "--log", logAddress).output
        shown shouldContain "key $hash granted to a: desk"
        shown shouldNotContain key
        run("key", "withdraw", "--stdin", "--log", logAddress, input = "$key\n").output shouldContain "log: withdrawn at offset 2"
        val after = run("show", "--log", logAddress, "--json").tree
        after.path("withdrawn").map { it.asText() } shouldBe listOf(hash)
        after.path("grants").size() shouldBe 0
    }

    @Test
    fun `a key withdrawal succeeds if one router or the log accepts it`() = deployed {
        val hash = hashKey("k").value
        val router = FakeRouter(mapOf("/keys/withdraw" to mapOf("withdrawn" to hash))).start(loop)
        val rejecting = FakeRouter(mapOf("/keys/withdraw" to ""), status = 401).start(loop)
        val token = file("secret\n")
        log.control = LogControl(outage = true)
        val direct = run("key", "withdraw", hash, "--log", logAddress, "--routers", "${router.address},127.0.0.1:1", "--token-file", token)
        direct.exitCode shouldBe ExitCode.OK
        direct.output shouldContain "router ${router.address}: withdrawn"
        direct.errors shouldContain "log: "
        direct.errors shouldContain "router 127.0.0.1:1: unreachable"
        router.received shouldBe listOf("POST /keys/withdraw $hash")
        router.tokens shouldBe listOf("Bearer secret")
        val none = run("key", "withdraw", hash, "--log", logAddress, "--routers", rejecting.address)
        none.exitCode shouldBe ExitCode.UNREACHABLE
        none.errors shouldContain "NOT withdrawn"
        run("key", "withdraw", hash, "--routers", rejecting.address).exitCode shouldBe ExitCode.REFUSED
        log.control = LogControl()
        val logOnly = run("key", "withdraw", hash, "--log", logAddress, "--routers", "127.0.0.1:1", "--json")
        logOnly.exitCode shouldBe ExitCode.OK
        logOnly.tree.path("logOffset").asLong(-1) shouldBe 0
    }

    @Test
    fun `status, drain and timeline report unreachable routers and the causal order of events`() = deployed {
        fun event(process: String, sequence: Int, wallMs: Int, kind: String, offset: Int? = null) = mapOf(
            "host" to "h-$process",
            "process" to process,
            "sequence" to sequence,
            "wallMs" to wallMs,
            "kind" to kind,
            "detail" to "d",
            "stream" to offset?.let { "configuration" },
            "offset" to offset,
        )
        // The clock of b lags, but its event at offset 7 must still come after the event of a at offset 6.
        val a = FakeRouter(
            mapOf(
                "/status" to mapOf("host" to "a", "ready" to true, "configurationOffset" to 4, "logReachable" to false),
                "/drain" to mapOf("draining" to true),
                "/timeline" to listOf(event("a", 1, 500, "STARTED"), event("a", 2, 600, "IN_FORCE", 6), event("a", 3, 550, "A_NEW_KIND")),
            ),
        ).start(loop)
        val b = FakeRouter(mapOf("/timeline" to listOf(event("b", 1, 100, "IN_FORCE", 7)))).start(loop)
        val status = run("status", "--routers", "${a.address},127.0.0.1:1")
        status.exitCode shouldBe ExitCode.UNREACHABLE
        status.output shouldContain "${a.address}: host a, ready, configuration offset 4, log unreachable"
        status.errors shouldContain "127.0.0.1:1: unreachable"
        run("drain", "--routers", a.address).exitCode shouldBe ExitCode.OK
        a.received.last() shouldBe "POST /drain"
        val timeline = run("timeline", "--routers", "${b.address},${a.address}", "--json")
        timeline.exitCode shouldBe ExitCode.OK
        timeline.tree.map { "${it.path("process").asText()}${it.path("sequence")}" }.filter { it != "a3" } shouldBe listOf("a1", "a2", "b1")
        run("timeline", "--routers", a.address, "--kind", "a_new_kind").output.trim().lines().size shouldBe 1
        b.responses = mapOf("/timeline" to mapOf("not" to "a list"))
        run("timeline", "--routers", b.address).exitCode shouldBe ExitCode.REFUSED
    }

    @Test
    fun `apply reports all faults of a document with their lines`() = deployed {
        val file = file("[customers.a]\nweight = 0\n[routes.r]\npath = \"/x\"\npool = \"p\"\nclasses = [\"c\"]\n")
        val result = run("apply", file, "--log", logAddress)
        result.exitCode shouldBe ExitCode.REFUSED
        result.errors.trim().lines() shouldBe
            listOf(
                "$file: line 2: customers.a.weight: expected a value from 1 to 1000, found 0",
                "$file: line 5: routes.r.pool: unknown pool p",
                "$file: line 6: routes.r.classes: unknown class c",
            )
        log.appendCount shouldBe 0
        run("validate", file, "--json").tree.path("faults").size() shouldBe 3
    }
}
