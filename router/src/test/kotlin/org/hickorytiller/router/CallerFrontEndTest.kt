package org.hickorytiller.router

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import org.hickorytiller.admission.RefusalReason
import org.hickorytiller.dispatch.FailureKind
import org.hickorytiller.dispatch.IntentRefusal
import org.hickorytiller.keys.hashKey
import org.hickorytiller.standins.EngineControl
import org.hickorytiller.standins.PlainServiceControl

class CallerFrontEndTest : AnnotationSpec() {
    private lateinit var world: CallerWorld

    @BeforeEach
    fun start() {
        world = CallerWorld()
    }

    @AfterEach
    fun stop() = world.close()

    private class Case(val what: String, val input: String, val status: Int, val code: String)

    private fun get(target: String, fields: String = "", method: String = "GET") = "$method $target HTTP/1.1\r\nHost: x\r\nConnection: close\r\n$fields\r\n"

    @Test
    fun `guards against bad requests that run or get no clear error`() {
        val message = """"messages":[{"role":"user","content":"a"}]"""
        fun chatBody(body: String) = world.post("/v1/chat/completions", body)
        listOf(
            Case("no key", world.post("/refunds", "{}", authorization = ""), 401, "key_missing"),
            Case("unknown key", world.post("/refunds", "{}", authorization = "Authorization: Bearer other\r\n"), 401, "key_unknown"),
            Case("other scheme", world.post("/refunds", "{}", authorization = "Authorization: Basic YTpi\r\n"), 400, "malformed_key"),
            Case("two keys", world.refund("k", fields = "Authorization: Bearer other\r\n"), 400, "ambiguous_key"),
            Case("no idempotency key", world.refund(null), 400, "idempotency_key_missing"),
            Case("two idempotency keys", world.refund("a", fields = "Idempotency-Key: b\r\n"), 400, "invalid_idempotency_key"),
            Case("long idempotency key", world.refund("a".repeat(200)), 400, "invalid_idempotency_key"),
            Case("key in the query", world.post("/refunds?x=${world.key}", "{}", "Idempotency-Key: q\r\n"), 400, "key_in_request"),
            Case("key in the body", world.refund("q", body = """{"k":"${world.key}"}"""), 400, "key_in_request"),
            Case("unknown path", get("/nowhere"), 404, "not_found"),
            Case("unknown model", chatBody("""{"model":"other",$message}"""), 404, "not_found"),
            Case("no JSON", chatBody("{"), 400, "invalid_request"),
            Case("a list", chatBody("[]"), 400, "invalid_request"),
            Case("empty", chatBody(""), 400, "invalid_request"),
            Case("no model", chatBody("{$message}"), 400, "invalid_request"),
            Case("two models", chatBody("""{"model":"m","model":"n",$message}"""), 400, "invalid_request"),
            Case("two documents", chatBody("""{"model":"m",$message}{}"""), 400, "invalid_request"),
            Case("no messages", chatBody("""{"model":"m","messages":[]}"""), 400, "invalid_request"),
            Case("stream as text", chatBody("""{"model":"m","stream":"yes",$message}"""), 400, "invalid_request"),
            Case("negative limit", chatBody("""{"model":"m","max_tokens":-1,$message}"""), 400, "invalid_request"),
            Case("not UTF-8", chatBody("{\"model\":\"\u00ff\u00fe\"}"), 400, "invalid_request"),
            Case("class not allowed", world.chat(false, fields = "X-Request-Class: other\r\n"), 400, "class_not_allowed"),
            Case("bad timeout", world.chat(false, fields = "X-Timeout-Ms: soon\r\n"), 400, "invalid_timeout"),
            Case("wrong method", get("/v1/chat/completions"), 405, "method_not_allowed"),
            Case("write to a read path", world.post("/v1/models", ""), 405, "method_not_allowed"),
            Case("trace", get("/refunds", method = "TRACE"), 405, "method_not_allowed"),
            Case("body with a read", get("/health", "Content-Length: 1\r\n"), 413, "body_too_large"),
            Case("large body", world.post("/refunds", "a".repeat(70_000)), 413, "body_too_large"),
            Case("large head", get("/health", "A: ${"a".repeat(3_000)}\r\n"), 431, "head_too_large"),
            Case("malformed", "rubbish\r\n\r\n", 400, "malformed_request"),
            Case("other expectation", get("/health", "Expect: tea\r\n"), 417, "unknown_expectation"),
            Case("slow head", "GET /health HT", 408, "request_timeout"),
            Case("slow body", world.refund("s").dropLast(3), 408, "request_timeout"),
        ).forAll { case ->
            withClue(case.what) {
                val answer = world.exchange(case.input)
                answer shouldStartWith "HTTP/1.1 ${case.status} "
                answer shouldContain "\"code\":\"${case.code}\""
                answer shouldContain "\"verdict\":\"not_run\""
                answer.contains(world.key) shouldBe false
            }
        }
        world.onPlatform { world.service.executions.toList() }.shouldBeEmpty()
        world.onPlatform { world.engines.sumOf { it.started } } shouldBe 0
    }

    @Test
    fun `guards against a connection that cannot be used after an error, and against answers out of order`() {
        val keepAlive = world.chat(false).replace("Connection: close\r\n", "")
        val bad = keepAlive.replace("\"model\":\"m\"", "\"model\":\"n\"")
        val answer = world.exchange(keepAlive + bad + get("/nowhere", method = "OPTIONS").replace("Connection: close\r\n", "") + get("/health"))
        Regex("HTTP/1.1 (\\d+)").findAll(answer).map { it.groupValues[1] }.toList() shouldBe listOf("200", "404", "204", "200")
    }

    @Test
    fun `guards against HEAD and OPTIONS that get a body or no answer`() {
        world.exchange(get("/health", method = "HEAD")).substringAfter("\r\n\r\n") shouldBe ""
        val options = world.exchange(get("/v1/chat/completions", method = "OPTIONS"))
        options shouldStartWith "HTTP/1.1 204"
        options shouldContain "allow: POST, OPTIONS"
        world.exchange(get("/v1/models")) shouldContain "\"id\":\"m\""
        world.exchange(get("/v1/address")) shouldContain "127.0.0.1:1"
    }

    @Test
    fun `guards against answers that are cut, counted wrongly or come from an unready router`() {
        world.tokens(world.exchange(world.chat(true))) shouldBe List(6) { "t$it" }
        val whole = world.exchange(world.chat(false))
        whole shouldContain "t0 t1 t2 t3 t4 t5"
        Thread.sleep(50)
        val uses = world.onLoop { world.uses.toList() }
        uses.sumOf { it.generatedTokens } shouldBe 12
        uses.sumOf { it.requests } shouldBe 2
        uses.sumOf { it.promptTokens } shouldBe 10
        world.onLoop { world.document = null }
        world.exchange(get("/ready")) shouldContain "not_ready"
        world.exchange(world.chat(true)) shouldContain "\"verdict\":\"not_run\""
    }

    @Test
    fun `guards against a backend server that sees a caller's key or fields of the connection`() {
        val fields = "Cookie: key=${world.key}\r\nX-Api-Key: ${world.key}\r\nProxy-Authorization: Bearer x\r\nTE: trailers\r\n"
        world.exchange(world.refund("k1", fields = fields)) shouldStartWith "HTTP/1.1 200"
        world.exchange(world.post("/returns?a=1&api_key=zzz&KEY=yyy&b=2", "{}", fields)) shouldStartWith "HTTP/1.1 200"
        world.exchange(world.chat(true, fields = fields)) shouldStartWith "HTTP/1.1 200"
        val seen = world.onPlatform { world.service.seenFields.toList() + world.service.executions }
        seen.forAll { field ->
            field.contains(world.key) shouldBe false
            field.contains("zzz") shouldBe false
            field.contains("yyy") shouldBe false
            listOf("cookie", "authorization", "x-api-key", "proxy", "te:").forAll { field.lowercase().startsWith(it) shouldBe false }
        }
        seen.any { it.startsWith("/returns?a=1&b=2") } shouldBe true
    }

    @Test
    fun `guards against a stream that loses or repeats tokens when its engine is lost`() {
        listOf(0, 1, 3, 5).forAll { cut ->
            world.onPlatform { world.engines.forEach { it.control = it.control.copy(closeAfterTokens = cut, cuts = 1) } }
            val answer = world.exchange(world.chat(true))
            world.tokens(answer) shouldBe List(6) { "t$it" }
            answer shouldContain "[DONE]"
        }
    }

    @Test
    fun `guards against chunks for a caller that speaks HTTP 1_0`() {
        val answer = world.exchange(world.chat(true).replace("HTTP/1.1", "HTTP/1.0"))
        world.tokens(answer) shouldBe List(6) { "t$it" }
        answer.lowercase().contains("chunked") shouldBe false
        answer.trimEnd().endsWith("[DONE]") shouldBe true
    }

    @Test
    fun `guards against a grant that is lost on a request which no free server may run`() {
        world.close()
        // The requests have to wait for each other, which a class with a short target would refuse at once.
        world = CallerWorld(firstTokenTargetMs = 5_000)
        world.onPlatform { world.engines[0].control = world.engines[0].control.copy(errorStatus = 503) }
        world.onPlatform { world.engines[1].control = EngineControl(firstTokenMs = 100, betweenTokensMs = 5) }
        val sockets = List(8) { n -> world.connect().also { it.getOutputStream().write(world.chat(true, 6, "r$n").toByteArray()) } }
        sockets.map(world::readToEnd).forAll { world.tokens(it) shouldBe List(6) { n -> "t$n" } }
    }

    @Test
    fun `guards against every error code that callers can get without its section in the documentation`() {
        val documented = java.io.File("../docs/errors.md").readLines().filter { it.startsWith("### ") }.map { it.removePrefix("### ") }
        val sources = java.io.File("src/main/kotlin/org/hickorytiller/router").listFiles()!!
            .filter { it.name != "AdminEndpoint.kt" }.joinToString("") { it.readText() }
        val direct = Regex("(?:badRequest|unavailable)\\(\\s*\"([a-z_]+)\"").findAll(sources).map { it.groupValues[1] }
        val written = Regex("HttpStatus\\.[A-Z_]+,\\s*\"([a-z_]+)\"").findAll(sources).map { it.groupValues[1] }
        val codes = direct + written + FailureKind.entries.map { it.code } + IntentRefusal.Undecided.entries.map { it.code } +
            RefusalReason.entries.map { it.code } + "too_many_connections"
        codes.toSet().forAll { documented shouldContain it }
    }

    @Test
    fun `guards against a stalled engine that keeps its requests`() {
        world.onPlatform { world.engines[0].control = world.engines[0].control.copy(stalled = true) }
        val answers = List(2) { world.exchange(world.chat(true, prompt = "number $it")) }
        answers.forAll { world.tokens(it) shouldBe List(6) { n -> "t$n" } }
    }

    @Test
    fun `guards against a whole answer that starts before it can no longer be retried`() {
        world.onPlatform { world.engines[0].control = world.engines[0].control.copy(errorStatus = 503) }
        List(4) { world.exchange(world.chat(false)) }.forAll { it shouldStartWith "HTTP/1.1 200" }
        world.onPlatform { world.engines[1].control = world.engines[1].control.copy(errorStatus = 503) }
        world.exchange(world.chat(false)) shouldStartWith "HTTP/1.1 503"
    }

    @Test
    fun `guards against a request that runs twice or whose answer is lost`() {
        val first = world.exchange(world.refund("r1"))
        first shouldContain "\"number\":1"
        val second = world.exchange(world.refund("r1"))
        second shouldContain "\"number\":1"
        second.lowercase() shouldContain "idempotency-replayed: true"
        world.exchange(world.refund("r1", body = "{}")) shouldContain "idempotency_key_reused"
        world.onPlatform { world.service.control = PlainServiceControl(loseAnswers = 1) }
        world.exchange(world.refund("r2")) shouldContain "\"verdict\":\"may_have_run\""
        world.exchange(world.refund("r2")) shouldContain "\"verdict\":\"may_have_run\""
        world.onPlatform { world.service.executions.toList() } shouldHaveSize 2
    }

    @Test
    fun `guards against a non-idempotent request that runs while the log is down`() {
        world.onPlatform { world.log.control = world.log.control.copy(outage = true) }
        val answer = world.exchange(world.refund("d1"))
        answer shouldStartWith "HTTP/1.1 503"
        answer shouldContain "log_unavailable"
        answer shouldContain "\"verdict\":\"not_run\""
        answer.lowercase() shouldContain "retry-after: 1"
        world.onPlatform { world.service.executions.toList() }.shouldBeEmpty()
        world.onPlatform { world.log.control = world.log.control.copy(outage = false, loseAnswers = 3) }
        world.exchange(world.refund("d2")) shouldStartWith "HTTP/1.1 200"
    }

    @Test
    fun `guards against an outcome that is lost because its caller left`() {
        world.onPlatform { world.service.control = PlainServiceControl(delayMs = 500) }
        world.connect().use {
            it.getOutputStream().write(world.refund("g1").toByteArray())
            Thread.sleep(250)
        }
        Thread.sleep(100)
        world.exchange(world.refund("g1")) shouldContain "request_in_progress"
        Thread.sleep(500)
        world.exchange(world.refund("g1")) shouldContain "\"number\":1"
        world.onPlatform { world.service.executions.toList() } shouldHaveSize 1
    }

    @Test
    fun `guards against a caller that left and still holds a place in the queue or a slot`() {
        world.onPlatform { world.engines.forEach { it.control = EngineControl(betweenTokensMs = 100, slots = 2) } }
        val running = List(4) { n -> world.connect().also { it.getOutputStream().write(world.chat(true, 100, "r$n").toByteArray()) } }
        Thread.sleep(300)
        val waiting = world.connect().also { it.getOutputStream().write(world.chat(true, 100, "w").toByteArray()) }
        Thread.sleep(150)
        world.onLoop { world.admission.waiting(org.hickorytiller.core.PoolId("chat")) } shouldBe 1
        waiting.close()
        Thread.sleep(150)
        world.onLoop { world.admission.waiting(org.hickorytiller.core.PoolId("chat")) } shouldBe 0
        running.forEach { it.close() }
        Thread.sleep(300)
        world.onLoop { world.wasted.sumOf { it.tokens } } shouldBeGreaterThan 0
        world.onLoop { world.dispatcher.running.all() }.shouldBeEmpty()
        world.onLoop { world.servers.freeSlots(org.hickorytiller.core.PoolId("chat")) } shouldBe 4
    }

    @Test
    fun `guards against a half-closed caller that gets no answer`() {
        world.onPlatform { world.engines.forEach { it.control = EngineControl(firstTokenMs = 500) } }
        val answer = world.exchange(world.chat(false), halfClose = true)
        answer shouldContain "caller_gone"
    }

    @Test
    fun `guards against a withdrawn key that keeps a running or queued request`() {
        world.close()
        // With a short target the request that has to wait would be refused at once instead of being queued.
        world = CallerWorld(firstTokenTargetMs = 5_000)
        world.onPlatform { world.engines.forEach { it.control = EngineControl(betweenTokensMs = 50, slots = 2) } }
        val sockets = List(5) { n -> world.connect().also { it.getOutputStream().write(world.chat(true, 200, "r$n").toByteArray()) } }
        Thread.sleep(400)
        world.onLoop { world.keys.withdraw(hashKey(world.key)) }
        val answers = sockets.map(world::readToEnd)
        answers.forAll { it shouldContain "key_withdrawn" }
        answers.filter { it.startsWith("HTTP/1.1 401") } shouldHaveSize 1
        answers.filter { it.startsWith("HTTP/1.1 401") }.forAll { it shouldContain "not_run" }
        world.exchange(world.chat(true)) shouldContain "key_unknown"
    }

    @Test
    fun `guards against a preempted stream that loses tokens, and against preemption of a refund`() {
        world.onPlatform { world.engines.forEach { it.control = EngineControl(betweenTokensMs = 20) } }
        world.connect().use { socket ->
            socket.getOutputStream().write(world.chat(true, 30).toByteArray())
            world.onLoop { withTimeout(5_000) { while (world.dispatcher.running.all().isEmpty()) delay(5) } }
            Thread.sleep(150)
            world.onLoop { world.dispatcher.running.preempt(world.dispatcher.running.all().single().id) } shouldBe true
            world.tokens(world.readToEnd(socket)) shouldBe List(30) { "t$it" }
        }
        world.onPlatform { world.service.control = PlainServiceControl(delayMs = 300) }
        world.connect().use { socket ->
            socket.getOutputStream().write(world.refund("p1").toByteArray())
            world.onLoop { withTimeout(5_000) { while (world.dispatcher.running.all().isEmpty()) delay(5) } }
            world.onLoop { world.dispatcher.running.preempt(world.dispatcher.running.all().single().id) } shouldBe false
            world.readToEnd(socket) shouldStartWith "HTTP/1.1 200"
        }
    }

    @Test
    fun `guards against a request that crashes one engine after the other`() {
        world.close()
        world = CallerWorld(engineCount = 4)
        val answer = world.exchange(world.chat(true, prompt = "CRASH-ENGINE"))
        answer shouldContain "\"error\""
        world.exchange(world.chat(true, prompt = "CRASH-ENGINE")) shouldContain "request_quarantined"
        world.tokens(world.exchange(world.chat(true))) shouldBe List(6) { "t$it" }
        world.onLoop { world.dispatcher.suspects.quarantines(org.hickorytiller.core.monotonicClock()) } shouldHaveSize 1
    }

    @Test
    fun `guards against a deadline that is not kept`() {
        world.onPlatform { world.engines.forEach { it.control = EngineControl(betweenTokensMs = 100) } }
        val startMs = System.currentTimeMillis()
        val answer = world.exchange(world.chat(true, tokens = 100, fields = "X-Timeout-Ms: 500\r\n"))
        answer shouldContain "deadline_exceeded"
        (System.currentTimeMillis() - startMs < 3_000) shouldBe true
    }
}
