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

/** The rule that a simulation violates, to show that the checks detect it. */
private enum class DisabledRule { NONE, FIRST_INTENT_WINS, RETRY_ONLY_IF_NOT_RUN, RELEASE_ONLY_IF_NOT_SENT }

/**
 * @property falseRefusals requests with an attempt that was refused as undecided although it had already run
 */
private class SimulationResult(val runsPerRequest: Map<String, Int>, val falseRefusals: List<String>, val completed: Int) {
    val executedTwice = runsPerRequest.filterValues { it > 1 }.keys
}

@OptIn(ExperimentalCoroutinesApi::class)
class AtMostOnceTest : AnnotationSpec() {
    private val customer = CustomerId("clinic")
    private val digest = RequestDigest("d")

    private class FakeRouter(val host: HostId, val recorder: IntentRecorder, val tasks: CoroutineScope)

    /** Two or three routers, retrying callers, router kills, lost responses and log outages in virtual time. */
    private inner class Simulation(private val scope: TestScope, seed: Long, private val disabledRule: DisabledRule) {
        private val random = Random(seed)
        private val log = InMemoryIntentLog(random).apply { lostResponseRatio = 0.2 }
        private val routers = arrayOfNulls<FakeRouter>(random.nextInt(2, 4))
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
            tasks.launch { followLog(recorder) }
            routers[index] = FakeRouter(host, recorder, tasks)
        }

        private suspend fun followLog(recorder: IntentRecorder) {
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

        private suspend fun injectFaults() {
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

        /** Makes one attempt of a caller through a router; returns whether the caller has its response. */
        private suspend fun attempt(name: String, router: FakeRouter, attempt: Int): Boolean {
            val key = IntentKey(customer, IdempotencyKey(name))
            val result = router.recorder.claim(key, digest)
            val grant = result.getOrNull()
            if (grant == null) {
                val refusal = result.leftOrNull()
                if (refusal is IntentRefusal.Undecided && attempt in runsByAttempt) falseRefusals += name
                if (disabledRule == DisabledRule.FIRST_INTENT_WINS && refusal == IntentRefusal.MayHaveRun) execute(name, attempt)
                return refusal is IntentRefusal.Ran
            }
            delay(random.nextLong(0, 20))
            when (random.nextInt(4)) {
                0 -> grant.release()
                1 -> {
                    execute(name, attempt)
                    if (disabledRule == DisabledRule.RETRY_ONLY_IF_NOT_RUN) execute(name, attempt)
                    if (disabledRule == DisabledRule.RELEASE_ONLY_IF_NOT_SENT) grant.release() else grant.recordMayHaveRun()
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
                var hasResponse = false
                // Killing the router cancels its requests.
                val request = router.tasks.launch { hasResponse = attempt(name, router, nextAttempt++) }
                // The caller sometimes stops waiting; the router then continues, or the request is cancelled.
                if (random.nextInt(4) == 0) delay(random.nextLong(1, 100)) else request.join()
                if (random.nextInt(4) == 0) request.cancel()
                if (hasResponse) {
                    completed++
                    return
                }
            }
        }

        suspend fun run(): SimulationResult {
            routers.indices.forEach(::startRouter)
            val faultInjection = scope.backgroundScope.launch { injectFaults() }
            val callers = (0 until 12).flatMap { n ->
                // Two callers send the same request concurrently.
                List(2) { scope.launch { caller("refund-$n") } }
            }
            callers.forEach { it.join() }
            ended = true
            faultInjection.cancelAndJoin()
            routers.forEach { it?.tasks?.cancel() }
            return SimulationResult(runs, falseRefusals, completed)
        }
    }

    private fun simulate(seed: Long, disabledRule: DisabledRule = DisabledRule.NONE): SimulationResult {
        lateinit var simulationResult: SimulationResult
        runTest { simulationResult = Simulation(this, seed, disabledRule).run() }
        return simulationResult
    }

    @Test
    fun `no request runs twice despite router kills, lost responses and log outages`() {
        var completed = 0
        (1L..150L).toList().forAll { seed ->
            withClue("seed $seed") {
                val simulationResult = simulate(seed)
                simulationResult.executedTwice.shouldBeEmpty()
                simulationResult.falseRefusals.shouldBeEmpty()
                completed += simulationResult.completed
            }
        }
        println("seeds 1 to 150: $completed callers got the response, no request ran twice")
        // Rejecting every request would also pass the checks above.
        completed shouldBeGreaterThan 1_000
    }

    @Test
    fun `violating any rule lets a request run twice`() {
        (DisabledRule.entries - DisabledRule.NONE).forAll { disabledRule ->
            (1L..150L).firstOrNull { seed -> simulate(seed, disabledRule).executedTwice.isNotEmpty() }.shouldNotBeNull()
                .also { println("violation without $disabledRule at seed $it") }
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

    private fun TestScope.followLog(log: InMemoryIntentLog, recorder: IntentRecorder) = backgroundScope.launch {
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
    fun `no decision is made before the stream has been read to its end`() = runTest {
        val recorder = recorder(InMemoryIntentLog(Random(1)))
        backgroundScope.launch { recorder.run() }
        recorder.claim(key("a"), digest).leftOrNull() shouldBe IntentRefusal.Undecided.NOT_CAUGHT_UP
    }

    @Test
    fun `a claim fails promptly while the log is unavailable`() = runTest {
        val log = InMemoryIntentLog(Random(1))
        val recorder = recorder(log)
        followLog(log, recorder)
        backgroundScope.launch { recorder.run() }
        delay(10)
        log.isDown = true
        val startMs = currentTime
        recorder.claim(key("a"), digest).leftOrNull() shouldBe IntentRefusal.Undecided.LOG_UNAVAILABLE
        (currentTime - startMs < 100) shouldBe true
    }

    @Test
    fun `a lost append response neither rejects a request nor appends its intent twice`() = runTest {
        val log = InMemoryIntentLog(Random(1)).apply { lostResponseRatio = 1.0 }
        val recorder = recorder(log)
        followLog(log, recorder)
        backgroundScope.launch { recorder.run() }
        delay(10)
        recorder.claim(key("a"), digest).isRight() shouldBe true
        recorder.claim(key("a"), digest).leftOrNull() shouldBe IntentRefusal.InProgress
        log.records.size shouldBe 1
    }

    @Test
    fun `concurrent claims share one append`() = runTest {
        val log = InMemoryIntentLog(Random(1))
        val recorder = recorder(log)
        followLog(log, recorder)
        backgroundScope.launch { recorder.run() }
        delay(10)
        val claims = (0 until 64).map { n -> launch { recorder.claim(key("r$n"), digest).isRight() shouldBe true } }
        claims.forEach { it.join() }
        log.records.size shouldBe 1
    }

    @Test
    fun `a key reused for a different request is rejected`() = runTest {
        val log = InMemoryIntentLog(Random(1))
        val recorder = recorder(log)
        followLog(log, recorder)
        backgroundScope.launch { recorder.run() }
        delay(10)
        recorder.claim(key("a"), digest).isRight() shouldBe true
        recorder.claim(key("a"), RequestDigest("other")).leftOrNull() shouldBe IntentRefusal.KeyReused
    }

    @Test
    fun `a second request with the same key gets the recorded response`() = runTest {
        val log = InMemoryIntentLog(Random(1))
        val recorder = recorder(log)
        followLog(log, recorder)
        backgroundScope.launch { recorder.run() }
        delay(10)
        recorder.claim(key("a"), digest).getOrNull()!!.recordOutcome(RecordedOutcome.of(201, "text/plain", "done".toByteArray()))
        val early = recorder.claim(key("a"), digest).leftOrNull().shouldBeInstanceOf<IntentRefusal.Ran>()
        String(early.outcome.body) shouldBe "done"
        delay(1_000)
        val late = recorder(log, run = "run-2").also { followLog(log, it) }
        delay(100)
        late.claim(key("a"), digest).leftOrNull().shouldBeInstanceOf<IntentRefusal.Ran>().outcome.status shouldBe 201
    }

    @Test
    fun `a released request can be claimed again`() = runTest {
        val log = InMemoryIntentLog(Random(1))
        val recorder = recorder(log)
        followLog(log, recorder)
        backgroundScope.launch { recorder.run() }
        delay(10)
        recorder.claim(key("a"), digest).getOrNull()!!.release()
        recorder.claim(key("a"), digest).leftOrNull() shouldBe IntentRefusal.Undecided.RELEASED
        delay(1_000)
        recorder.claim(key("a"), digest).isRight() shouldBe true
    }

    @Test
    fun `a stream that this version cannot decode makes every claim undecided`() = runTest {
        val log = InMemoryIntentLog(Random(1))
        val recorder = recorder(log)
        log.records += """{"type":"IntentBatch","schema":9}""".toByteArray()
        followLog(log, recorder)
        delay(10)
        recorder.claim(key("a"), digest).leftOrNull() shouldBe IntentRefusal.Undecided.UNREADABLE
    }
}
