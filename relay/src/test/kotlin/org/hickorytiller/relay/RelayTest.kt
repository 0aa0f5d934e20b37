package org.hickorytiller.relay

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.TimeMs
import org.hickorytiller.core.Verdict
import org.hickorytiller.http.RequestHead
import org.hickorytiller.http.ResponseHead
import org.hickorytiller.placement.Placement
import org.hickorytiller.quarantine.CrashProbe
import org.hickorytiller.quarantine.CrashSuspects
import org.hickorytiller.quarantine.SuspectRules
import org.hickorytiller.quarantine.crc32Fingerprint
import org.hickorytiller.routes.AnswerForm
import org.hickorytiller.routes.Route
import org.hickorytiller.routes.RouteId
import java.net.InetSocketAddress

class RelayTest : AnnotationSpec() {
    private var nowMs = 0L
    private val pool = PoolId("pool")
    private val domain = FailureDomain("a")
    private val attempts = mutableListOf<Attempt>()
    private val abandoned = mutableListOf<RelayOutcome>()
    private val passed = StringBuilder()
    private var ended = 0
    private var released = 0
    private var run = 0
    private var callerStays = true
    private var suspects = CrashSuspects(SuspectRules(crashes = 3))
    private val crashed = mutableSetOf<BackendServerId>()

    /** What a server does with an attempt: a failure, or a status with chunks of which the last may be a failure. */
    private sealed interface Script {
        class Fails(val failure: ExchangeFailure) : Script

        class Answers(val status: Int, val chunks: List<String>, val then: ExchangeFailure? = null) : Script
    }

    private fun events(vararg ids: Int) = ids.joinToString("") { "id: $it\ndata: t$it\n\n" }

    private fun relay(scripts: List<Script>, slack: Int = 10, servers: Int = 3): Relay {
        val clock = { TimeMs(nowMs) }
        val placement = Placement(clock)
        placement.replace(
            (1..servers).map {
                BackendServer(BackendServerId("s$it"), pool, InetSocketAddress("127.0.0.1", it), domain, BackendServerState.RUNNING, 6, false, startedMs = nowMs)
            },
        )
        val queue = ArrayDeque(scripts)
        return Relay(
            clock,
            domain,
            placement,
            open = { attempt ->
                attempts += attempt
                open(queue.removeFirst())
            },
            HostRetryBudget(clock, RetryBudgetRules(ratio = 0.0, slack = slack * 16, windowMs = 10_000)) { 1 },
            RelayCallbacks(onRun = { run++ }, onAttemptFailed = { _, _, _ -> }, onAbandoned = { _, outcome -> abandoned += outcome }),
            CrashProbe(suspects, clock) { it.id !in crashed },
        )
    }

    private fun open(script: Script): Either<ExchangeFailure, OpenAnswer> = when (script) {
        is Script.Fails -> script.failure.left()
        is Script.Answers -> {
            val chunks = ArrayDeque(script.chunks)
            val receive: ReceiveBytes = {
                chunks.removeFirstOrNull()?.toByteArray()?.right() ?: script.then?.left() ?: null.right()
            }
            OpenAnswer(ResponseHead(script.status), receive) { released++ }.right()
        }
    }

    private val sink =
        ResponseSink(
            sendResponse = { head, body ->
                passed.append("${head.status}:${String(body)}")
                callerStays
            },
            startStream = { callerStays },
            sendEvents = {
                passed.append(String(it))
                callerStays
            },
            endStream = {
                ended++
                true
            },
        )

    private fun request(form: AnswerForm, repeatable: Boolean, maxAttempts: Int = 2) = RelayRequest(
        RequestId("r1"),
        Route(RouteId("r"), "h", "/", form, repeatable, repeatable, 1_000, 100, 0, 1, emptyList(), maxAttempts, false),
        pool,
        CustomerId("c"),
        priority = 1,
        ForwardedCall(RequestHead("POST", "/x"), ByteArray(0)),
        prompt = null,
        resumeAfter = null,
        TimeMs(nowMs),
        TimeMs(nowMs + 1_000),
        crc32Fingerprint(CustomerId("c"), "/x", ByteArray(0)),
    )

    @BeforeEach
    fun reset() {
        attempts.clear()
        abandoned.clear()
        passed.clear()
        ended = 0
        released = 0
        run = 0
        callerStays = true
        suspects = CrashSuspects(SuspectRules(crashes = 3))
        crashed.clear()
    }

    @Test
    fun `guards against a second run of a request that must run once`() {
        listOf(ExchangeFailure.LOST, ExchangeFailure.TIMEOUT).forAll { failure ->
            reset()
            val outcome = runBlocking {
                relay(listOf(Script.Fails(failure))).run(request(AnswerForm.BUFFERED, repeatable = false, maxAttempts = 3), sink)
            }
            attempts.size shouldBe 1
            outcome.verdict shouldBe Verdict.MAY_HAVE_RUN
            run shouldBe 1
        }
    }

    @Test
    fun `guards against a request that crashes one server after the other`() {
        crashed += (1..9).map { BackendServerId("s$it") }
        val outcomes = (1..3).map {
            // Losses in one failure domain at once blame no request.
            nowMs += 5_000
            val relay = relay(List(2) { Script.Fails(ExchangeFailure.LOST) }, servers = 9)
            runBlocking { relay.run(request(AnswerForm.BUFFERED, repeatable = false), sink) }
        }
        outcomes.map { it.reason } shouldBe List(3) { OutcomeReason.LOST }
        nowMs += 5_000
        val refused = runBlocking { relay(emptyList(), servers = 9).run(request(AnswerForm.BUFFERED, repeatable = true), sink) }
        refused.reason shouldBe OutcomeReason.QUARANTINED
        refused.verdict shouldBe Verdict.NOT_RUN
        attempts.size shouldBe 3
    }

    @Test
    fun `guards against a quarantine after lost connections to servers that live`() {
        repeat(9) {
            nowMs += 5_000
            runBlocking { relay(listOf(Script.Fails(ExchangeFailure.LOST))).run(request(AnswerForm.BUFFERED, repeatable = false), sink) }
        }
        suspects.quarantines(TimeMs(nowMs)).shouldBeEmpty()
        attempts.size shouldBe 9
    }

    @Test
    fun `guards against a refusal that is not true`() {
        val refused = Script.Fails(ExchangeFailure.REFUSED)
        val outcome = runBlocking { relay(listOf(refused, refused)).run(request(AnswerForm.BUFFERED, repeatable = false), sink) }
        outcome.verdict shouldBe Verdict.NOT_RUN
        run shouldBe 0
        attempts.map { it.server.id }.toSet().size shouldBe 2
        reset()
        val mixed = runBlocking {
            relay(listOf(refused, Script.Fails(ExchangeFailure.LOST))).run(request(AnswerForm.BUFFERED, repeatable = false), sink)
        }
        mixed.verdict shouldBe Verdict.MAY_HAVE_RUN
    }

    @Test
    fun `guards against more servers than the route allows`() {
        listOf(1, 2, 3).forAll { maxAttempts ->
            reset()
            val scripts = List(5) { Script.Fails(ExchangeFailure.LOST) }
            runBlocking { relay(scripts, servers = 5).run(request(AnswerForm.BUFFERED, repeatable = true, maxAttempts), sink) }
            attempts.size shouldBe maxAttempts
        }
    }

    @Test
    fun `guards against repeats beyond the shared bound`() {
        val scripts = List(4) { Script.Fails(ExchangeFailure.REFUSED) }
        runBlocking { relay(scripts, slack = 0).run(request(AnswerForm.BUFFERED, repeatable = true, maxAttempts = 3), sink) }
        attempts.size shouldBe 1
    }

    @Test
    fun `guards against an unreachable server that counts as a send`() {
        val scripts = listOf(Script.Fails(ExchangeFailure.UNREACHABLE), Script.Answers(200, listOf("ok")))
        val outcome = runBlocking { relay(scripts, slack = 0).run(request(AnswerForm.BUFFERED, repeatable = false, maxAttempts = 1), sink) }
        outcome.reason shouldBe OutcomeReason.ANSWERED
        passed.toString() shouldBe "200:ok"
    }

    @Test
    fun `guards against a stream with a missing, a doubled or a torn event after its server broke off`() {
        val whole = events(1, 2, 3, 4)
        (1 until whole.length).toList().forAll { cut ->
            reset()
            val lastWhole = Regex("id: (\\d)\ndata: t\\d\n\n").findAll(whole.take(cut)).lastOrNull()?.groupValues?.get(1)?.toInt() ?: 0
            val rest = events(*((lastWhole + 1)..4).toList().toIntArray())
            val scripts =
                listOf(Script.Answers(200, listOf(whole.take(cut)), ExchangeFailure.LOST), Script.Answers(200, listOf(rest)))
            val outcome = runBlocking { relay(scripts).run(request(AnswerForm.STREAM, repeatable = true), sink) }
            passed.toString() shouldBe whole
            attempts[1].resumeAfter?.value shouldBe (if (lastWhole == 0) null else "$lastWhole")
            outcome.reason shouldBe OutcomeReason.ANSWERED
            ended shouldBe 1
        }
    }

    @Test
    fun `guards against a broken stream that looks complete`() {
        val broken = Script.Answers(200, listOf(events(1, 2)), ExchangeFailure.LOST)
        val outcome = runBlocking { relay(listOf(broken)).run(request(AnswerForm.STREAM, repeatable = false), sink) }
        outcome.reason shouldBe OutcomeReason.STREAM_BROKEN
        ended shouldBe 0
        reset()
        val torn = Script.Answers(200, listOf(events(1) + "id: 2\ndata"))
        runBlocking { relay(listOf(torn)).run(request(AnswerForm.STREAM, repeatable = false), sink) }.reason shouldBe OutcomeReason.STREAM_BROKEN
        ended shouldBe 0
    }

    @Test
    fun `guards against a truncated answer that is passed on`() {
        val broken = Script.Answers(200, listOf("half"), ExchangeFailure.LOST)
        val outcome = runBlocking { relay(listOf(broken)).run(request(AnswerForm.BUFFERED, repeatable = false), sink) }
        outcome.responseStarted shouldBe false
        passed.toString() shouldBe ""
        released shouldBe 1
    }

    @Test
    fun `guards against a server's error that hides a good answer, and against one that is lost`() {
        val error = Script.Answers(500, listOf("no"))
        runBlocking { relay(listOf(error, Script.Answers(200, listOf("ok")))).run(request(AnswerForm.BUFFERED, repeatable = true), sink) }
        passed.toString() shouldBe "200:ok"
        reset()
        runBlocking { relay(listOf(error, error)).run(request(AnswerForm.BUFFERED, repeatable = true), sink) }
        passed.toString() shouldBe "500:no"
        reset()
        runBlocking { relay(listOf(error)).run(request(AnswerForm.BUFFERED, repeatable = false), sink) }
        passed.toString() shouldBe "500:no"
    }

    @Test
    fun `guards against a request that is sent when no time is left`() {
        val request = request(AnswerForm.BUFFERED, repeatable = true)
        nowMs += 999
        val outcome = runBlocking { relay(emptyList()).run(request, sink) }
        outcome.reason shouldBe OutcomeReason.DEADLINE
        outcome.verdict shouldBe Verdict.NOT_RUN
        attempts.shouldBeEmpty()
    }

    @Test
    fun `guards against an answer whose exchange is not released when the caller leaves`() {
        callerStays = false
        val scripts = listOf(Script.Answers(200, listOf(events(1), events(2))))
        val outcome = runBlocking { relay(scripts).run(request(AnswerForm.STREAM, repeatable = true), sink) }
        outcome.reason shouldBe OutcomeReason.CALLER_GONE
        released shouldBe 1
    }

    @Test
    fun `guards against an abandoned request whose server nobody can tell afterwards`() = runBlocking {
        val reached = CompletableDeferred<Unit>()
        val waiting = ResponseSink(sink.sendResponse, sink.startStream, { reached.complete(Unit).let { awaitCancellation() } }, sink.endStream)
        val scripts = listOf(Script.Answers(200, listOf(events(1))))
        val work = launch { relay(scripts).run(request(AnswerForm.STREAM, repeatable = true), waiting) }
        reached.await()
        work.cancelAndJoin()
        abandoned.single().reason shouldBe OutcomeReason.CALLER_GONE
        abandoned.single().server shouldBe attempts.single().server.id
        abandoned.single().sends shouldBe 1
        released shouldBe 1
    }
}
