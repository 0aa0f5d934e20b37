package org.hickorytiller.router

import arrow.core.left
import arrow.core.right
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.hickorytiller.core.ClassId
import org.hickorytiller.core.Clock
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.TimeMs
import org.hickorytiller.core.decodeRecord
import org.hickorytiller.platform.AppendToLog
import org.hickorytiller.platform.LogFailure
import org.hickorytiller.usage.RequestUsage
import org.hickorytiller.usage.USAGE_SCHEMA
import org.hickorytiller.usage.UsageAccumulator
import org.hickorytiller.usage.UsageFlush
import org.hickorytiller.usage.UsageLedger
import org.hickorytiller.usage.UsageRecord
import kotlin.random.Random

@OptIn(ExperimentalCoroutinesApi::class)
class UsageTaskTest : AnnotationSpec() {
    private class Log {
        val ledger = UsageLedger()
        var end = 0L

        fun append(data: ByteArray) {
            val record = decodeRecord(data, UsageRecord::class.java, USAGE_SCHEMA).getOrNull() as UsageFlush
            ledger.apply(record, LogOffset(end++))
        }

        fun requests() = ledger.unfixedFigures().sumOf { it.requests }
    }

    private fun clockOf(scope: TestScope): Clock = { TimeMs(scope.testScheduler.currentTime) }

    private fun UsageAccumulator.addOneRequest() = add(CustomerId("clinic"), ClassId("reports"), PoolId("chat"), RequestUsage(10, 20, 300))

    @Test
    fun `appends are spaced by the flush interval while requests are served`() {
        val log = Log()
        val append: AppendToLog = { _, data ->
            delay(100)
            log.append(data)
            LogOffset(0).right()
        }
        lostByKill(60_000, append, log)
        log.end shouldBe 29
    }

    /** Serves a request every [SERVE_EVERY_MS] until the router is killed at [killAtMs]; returns how many were lost. */
    private fun lostByKill(killAtMs: Long, append: AppendToLog, log: Log): Long {
        var served = 0L
        runTest {
            val accumulator = UsageAccumulator("host-1", "run-1", TimeMs(0))
            val router =
                launch {
                    launch { UsageTask(accumulator, clockOf(this@runTest), append).run() }
                    while (true) {
                        accumulator.addOneRequest()
                        served++
                        delay(SERVE_EVERY_MS)
                    }
                }
            advanceTimeBy(killAtMs)
            router.cancel()
        }
        return served - log.requests()
    }

    @Test
    fun `a killed router loses at most the usage of one flush interval and one append`() {
        val seed = System.getProperty("hickory.seed")?.toLong() ?: 20_261_208L
        val random = Random(seed)
        val worstMs =
            (0 until 300).maxOf {
                val log = Log()
                val append: AppendToLog = { _, data ->
                    delay(random.nextLong(5, APPEND_MAX_MS))
                    log.append(data)
                    LogOffset(0).right()
                }
                lostByKill(random.nextLong(5_000, 30_000), append, log) * SERVE_EVERY_MS
            }
        println("UsageTaskTest: seed $seed, worst loss of a killed router $worstMs ms of usage")
        worstMs shouldBeLessThanOrEqual FLUSH_MS + APPEND_MAX_MS + SERVE_EVERY_MS
        worstMs shouldBeGreaterThan FLUSH_MS / 2
    }

    @Test
    fun `usage is counted exactly once through a log outage with lost responses`() {
        val seed = System.getProperty("hickory.seed")?.toLong() ?: 20_261_209L
        println("UsageTaskTest: seed $seed")
        repeat(50) { run ->
            val random = Random(seed + run)
            val log = Log()
            runTest {
                val outageUntilMs = random.nextLong(10_000, 600_000)
                val append: AppendToLog = { _, data ->
                    val outage = testScheduler.currentTime in 5_000..outageUntilMs
                    when {
                        outage && random.nextInt(5) > 0 -> LogFailure.UNAVAILABLE.left()
                        random.nextInt(3) == 0 -> {
                            log.append(data)
                            listOf(LogFailure.UNKNOWN, LogFailure.MALFORMED).random(random).left()
                        }
                        else -> {
                            log.append(data)
                            LogOffset(0).right()
                        }
                    }
                }
                val accumulator = UsageAccumulator("host-1", "run-1", TimeMs(0))
                val task = UsageTask(accumulator, clockOf(this), append)
                val running = launch { task.run() }
                repeat(700) {
                    accumulator.addOneRequest()
                    delay(1_000)
                }
                running.cancel()
                task.drain(60_000) shouldBe true
                log.requests() shouldBe 700
            }
        }
    }

    private companion object {
        const val SERVE_EVERY_MS = 10L
        const val FLUSH_MS = 2_000L
        const val APPEND_MAX_MS = 200L
    }
}
