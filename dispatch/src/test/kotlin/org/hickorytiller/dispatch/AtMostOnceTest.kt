package org.hickorytiller.dispatch

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.HostId
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.ProcessId
import org.hickorytiller.core.TimeMs
import kotlin.random.Random

/** Which rule a run leaves out, to show that the checks find the violation. */
private enum class SwitchedOff { NOTHING, FIRST_INTENT_WINS, RETRY_ONLY_IF_NOT_RUN, RELEASE_ONLY_IF_NOT_SENT }

/** What the checks found in one run. */
private class Findings(val runsPerRequest: Map<String, Int>, val falseRefusals: List<String>, val completed: Int) {
    val executedTwice = runsPerRequest.filterValues { it > 1 }.keys
}

@OptIn(ExperimentalCoroutinesApi::class)
class AtMostOnceTest : AnnotationSpec() {
    private val customer = CustomerId("clinic")
    private val digest = RequestDigest("d")

    private class RouterFake(val host: HostId, val recorder: IntentRecorder, val tasks: CoroutineScope)

    /** Two or three routers, re-sending callers, kills, lost answers and log outages in virtual time. */
    private inner class World(private val scope: TestScope, seed: Long, private val off: SwitchedOff) {
        private val random = Random(seed)
        private val log = InMemoryIntentLog(random).apply { lostAnswerShare = 0.2 }
        private val routers = arrayOfNulls<RouterFake>(random.nextInt(2, 4))
        private val runs = HashMap<String, Int>()
        private val runsByAttempt = HashMap<Int, Int>()
        private val falseRefusals = mutableListOf<String>()
        private var completed = 0
        private var nextRun = 0
        private var nextAttempt = 0
        private var ended = false

        private fun startRouter(index: Int) {
            val host = HostId("host-$index")
            val recorder = IntentRecorder(
                IntentWriter(host, ProcessId("run-${nextRun++}")),
                IntentTable(),
                { TimeMs(scope.currentTime) },
                log::append,
                ::query,
                RecorderSettings(readBackTimeoutMs = 300, retryDelayMs = 50),
            )
            val tasks = CoroutineScope(scope.backgroundScope.coroutineContext + Job())
            tasks.launch { recorder.run() }
            tasks.launch { follow(recorder) }
            routers[index] = RouterFake(host, recorder, tasks)
        }

        private suspend fun follow(recorder: IntentRecorder) {
            var next = 0
            while (true) {
                delay(random.nextLong(1, 15))
                val records = log.read(next) ?: continue
                recorder.applyPage(records, LogOffset(0), LogOffset(log.records.size.toLong()))
                next += records.size
            }
        }

        private suspend fun query(host: HostId, customer: CustomerId, key: IdempotencyKey): IntentStatus {
            delay(random.nextLong(1, 10))
            val router = routers.firstOrNull { it?.host == host } ?: return IntentStatus.Unknown
            return router.recorder.intentStatus(IntentKey(customer, key))
        }

        private suspend fun disturb() {
            while (!ended) {
                delay(random.nextLong(20, 200))
                when (random.nextInt(5)) {
                    0 -> {
                        val index = random.nextInt(routers.size)
                        routers[index]?.tasks?.cancel()
                        routers[index] = null
                        delay(random.nextLong(1, 100))
                        startRouter(index)
                    }
                    1 -> {
                        log.isDown = true
                        delay(random.nextLong(1, 400))
                        log.isDown = false
                    }
                }
            }
        }

        private suspend fun execute(name: String, attempt: Int) {
            runs.merge(name, 1, Int::plus)
            runsByAttempt.merge(attempt, 1, Int::plus)
            delay(random.nextLong(1, 60))
        }

        /** One attempt of a caller through a router; true if the caller has its answer. */
        private suspend fun attempt(name: String, router: RouterFake, attempt: Int): Boolean {
            val key = IntentKey(customer, IdempotencyKey(name))
            val result = router.recorder.claim(key, digest)
            val grant = result.getOrNull()
            if (grant == null) {
                val refusal = result.leftOrNull()
                if (refusal is IntentRefusal.Undecided && attempt in runsByAttempt) falseRefusals += name
                if (off == SwitchedOff.FIRST_INTENT_WINS && refusal == IntentRefusal.MayHaveRun) execute(name, attempt)
                return refusal is IntentRefusal.Ran
            }
            delay(random.nextLong(0, 20))
            when (random.nextInt(4)) {
                0 -> grant.release()
                1 -> {
                    execute(name, attempt)
                    if (off == SwitchedOff.RETRY_ONLY_IF_NOT_RUN) execute(name, attempt)
                    if (off == SwitchedOff.RELEASE_ONLY_IF_NOT_SENT) grant.release() else grant.recordMayHaveRun()
                }
                else -> {
                    execute(name, attempt)
                    grant.recordOutcome(RecordedOutcome.of(200, null, name.toByteArray()))
                    return true
                }
            }
            return false
        }

        private suspend fun caller(name: String) {
            repeat(8) {
                delay(random.nextLong(1, 80))
                val router = routers.filterNotNull().randomOrNull(random) ?: return@repeat
                var answered = false
                // A killed router takes its requests with it.
                val request = router.tasks.launch { answered = attempt(name, router, nextAttempt++) }
                // The caller gives up waiting now and then, and the router goes on or is told.
                if (random.nextInt(4) == 0) delay(random.nextLong(1, 100)) else request.join()
                if (random.nextInt(4) == 0) request.cancel()
                if (answered) {
                    completed++
                    return
                }
            }
        }

        suspend fun run(): Findings {
            routers.indices.forEach(::startRouter)
            val disturbance = scope.backgroundScope.launch { disturb() }
            val callers = (0 until 12).flatMap { n ->
                // Two callers send the same request at once.
                List(2) { scope.launch { caller("refund-$n") } }
            }
            callers.forEach { it.join() }
            ended = true
            disturbance.cancelAndJoin()
            routers.forEach { it?.tasks?.cancel() }
            return Findings(runs, falseRefusals, completed)
        }
    }

    private fun play(seed: Long, off: SwitchedOff = SwitchedOff.NOTHING): Findings {
        lateinit var findings: Findings
        runTest { findings = World(this, seed, off).run() }
        return findings
    }

    @Test
    fun `guards against a request that runs twice and against a refusal that is not true`() {
        var completed = 0
        (1L..150L).toList().forAll { seed ->
            withClue("seed $seed") {
                val findings = play(seed)
                findings.executedTwice.shouldBeEmpty()
                findings.falseRefusals.shouldBeEmpty()
                completed += findings.completed
            }
        }
        println("seeds 1 to 150: $completed callers got the answer, no request ran twice")
        // Refusing everything would also pass the checks above.
        completed shouldBeGreaterThan 1_000
    }

    @Test
    fun `shows that each rule is needed`() {
        (SwitchedOff.entries - SwitchedOff.NOTHING).forAll { off ->
            (1L..150L).firstOrNull { seed -> play(seed, off).executedTwice.isNotEmpty() }.shouldNotBeNull()
                .also { println("violation without $off at seed $it") }
        }
    }

    private fun TestScope.recorder(
        log: InMemoryIntentLog,
        settings: RecorderSettings = RecorderSettings(),
        run: String = "run-1",
    ) = IntentRecorder(
        IntentWriter(HostId("host-1"), ProcessId(run)),
        IntentTable(),
        { TimeMs(currentTime) },
        log::append,
        { _, _, _ -> IntentStatus.Unknown },
        settings,
    )

    private fun TestScope.follow(log: InMemoryIntentLog, recorder: IntentRecorder) = backgroundScope.launch {
        var next = 0
        while (true) {
            delay(2)
            val records = log.read(next) ?: continue
            recorder.applyPage(records, LogOffset(0), LogOffset(log.records.size.toLong()))
            next += records.size
        }
    }

    private fun key(name: String) = IntentKey(customer, IdempotencyKey(name))

    @Test
    fun `guards against a decision before the stream was read to its end`() = runTest {
        val recorder = recorder(InMemoryIntentLog(Random(1)))
        backgroundScope.launch { recorder.run() }
        recorder.claim(key("a"), digest).leftOrNull() shouldBe IntentRefusal.Undecided.NOT_READ
    }

    @Test
    fun `guards against an outage that keeps a request waiting`() = runTest {
        val log = InMemoryIntentLog(Random(1))
        val recorder = recorder(log)
        follow(log, recorder)
        backgroundScope.launch { recorder.run() }
        delay(10)
        log.isDown = true
        val startMs = currentTime
        recorder.claim(key("a"), digest).leftOrNull() shouldBe IntentRefusal.Undecided.LOG_UNAVAILABLE
        (currentTime - startMs < 100) shouldBe true
    }

    @Test
    fun `guards against a lost answer that refuses or repeats a request`() = runTest {
        val log = InMemoryIntentLog(Random(1)).apply { lostAnswerShare = 1.0 }
        val recorder = recorder(log)
        follow(log, recorder)
        backgroundScope.launch { recorder.run() }
        delay(10)
        recorder.claim(key("a"), digest).isRight() shouldBe true
        recorder.claim(key("a"), digest).leftOrNull() shouldBe IntentRefusal.InProgress
        log.records.size shouldBe 1
    }

    @Test
    fun `guards against more appends than one a batch`() = runTest {
        val log = InMemoryIntentLog(Random(1))
        val recorder = recorder(log)
        follow(log, recorder)
        backgroundScope.launch { recorder.run() }
        delay(10)
        val claims = (0 until 64).map { n -> launch { recorder.claim(key("r$n"), digest).isRight() shouldBe true } }
        claims.forEach { it.join() }
        log.records.size shouldBe 1
    }

    @Test
    fun `guards against a key reused for a different request`() = runTest {
        val log = InMemoryIntentLog(Random(1))
        val recorder = recorder(log)
        follow(log, recorder)
        backgroundScope.launch { recorder.run() }
        delay(10)
        recorder.claim(key("a"), digest).isRight() shouldBe true
        recorder.claim(key("a"), RequestDigest("other")).leftOrNull() shouldBe IntentRefusal.KeyReused
    }

    @Test
    fun `guards against a second sender that does not get the recorded answer`() = runTest {
        val log = InMemoryIntentLog(Random(1))
        val recorder = recorder(log)
        follow(log, recorder)
        backgroundScope.launch { recorder.run() }
        delay(10)
        recorder.claim(key("a"), digest).getOrNull()!!.recordOutcome(RecordedOutcome.of(201, "text/plain", "done".toByteArray()))
        val early = recorder.claim(key("a"), digest).leftOrNull().shouldBeInstanceOf<IntentRefusal.Ran>()
        String(early.outcome.body) shouldBe "done"
        delay(1_000)
        val late = recorder(log, run = "run-2").also { follow(log, it) }
        delay(100)
        late.claim(key("a"), digest).leftOrNull().shouldBeInstanceOf<IntentRefusal.Ran>().outcome.status shouldBe 201
    }

    @Test
    fun `guards against a request that can never be sent again after it was given up`() = runTest {
        val log = InMemoryIntentLog(Random(1))
        val recorder = recorder(log)
        follow(log, recorder)
        backgroundScope.launch { recorder.run() }
        delay(10)
        recorder.claim(key("a"), digest).getOrNull()!!.release()
        recorder.claim(key("a"), digest).leftOrNull() shouldBe IntentRefusal.Undecided.GIVEN_UP
        delay(1_000)
        recorder.claim(key("a"), digest).isRight() shouldBe true
    }

    @Test
    fun `guards against a guess at a stream that this version does not understand`() = runTest {
        val log = InMemoryIntentLog(Random(1))
        val recorder = recorder(log)
        log.records += """{"type":"IntentBatch","schema":9}""".toByteArray()
        follow(log, recorder)
        delay(10)
        recorder.claim(key("a"), digest).leftOrNull() shouldBe IntentRefusal.Undecided.UNREADABLE
    }
}
