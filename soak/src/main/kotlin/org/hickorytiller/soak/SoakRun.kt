/** Plays one seeded run: callers, signals in series, and busy processes beside the daemons. */
package org.hickorytiller.soak

import org.hickorytiller.core.Clock
import org.hickorytiller.core.TimeMs
import org.hickorytiller.core.monotonicClock
import org.hickorytiller.http.HttpStatus
import org.hickorytiller.http.RequestHead
import org.hickorytiller.standins.ServerAnswer
import org.hickorytiller.standins.callerRequestId
import java.util.Random
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.concurrent.thread

/** @property busyProcesses number of processes that occupy a processor each, so that event loops run late */
internal data class RunRules(
    val deployment: DeploymentRules,
    val callersPerHost: Int,
    val episodes: Int,
    val busyProcesses: Int,
)

/** Plays a run with [seed] on the deployment that it starts. */
internal class SoakRun(private val seed: Long, private val rules: RunRules, private val clock: Clock = monotonicClock) {
    private val plans = ConcurrentHashMap<String, RequestPlan>()
    private val records = ConcurrentLinkedQueue<RequestRecord>()
    private val serverRandom = Random(seed)

    @Volatile
    private var isOver = false

    /** Plays the run and returns what was observed. Keeps the logs of the daemons if a rule was broken. */
    fun play(): RunReport {
        val deployment = SoakDeployment(rules.deployment, clock, ::chooseAnswer)
        val cleanUp = Thread { deployment.close() }
        Runtime.getRuntime().addShutdownHook(cleanUp)
        val busy = mutableListOf<Process>()
        try {
            deployment.start()
            Thread.sleep(SETTLE_MS)
            val callers = startCallers(deployment)
            Thread.sleep(BEFORE_MS)
            repeat(rules.busyProcesses) { busy += ProcessBuilder("sh", "-c", "while :; do :; done").start() }
            sendSignals(deployment, planSignals(seed, deployment.hosts.size, rules.episodes))
            isOver = true
            callers.forEach { it.join() }
            val report = RunReport(seed, records.toList(), deployment.work(), deployment.hosts)
            if (!report.isBroken) deployment.deleteLogs()
            return report
        } finally {
            busy.forEach { it.destroyForcibly() }
            deployment.close()
            Runtime.getRuntime().removeShutdownHook(cleanUp)
        }
    }

    private fun startCallers(deployment: SoakDeployment): List<Thread> {
        val addresses = deployment.hosts.map { it.addresses }
        val listeners = RequestListeners({ id, plan -> plans[id.value] = plan }, records::add)
        return (0 until rules.callersPerHost * addresses.size).map { number ->
            val caller = Caller(number, seed, addresses, clock, listeners) { isOver }
            thread(isDaemon = true, name = "caller-$number") { caller.run() }
        }
    }

    private fun sendSignals(deployment: SoakDeployment, schedule: Schedule) {
        val startedAt = clock()
        schedule.signals.forEach { signal ->
            sleepUntil(startedAt + signal.atMs)
            deployment.hosts[signal.host].signal(signal)
        }
        sleepUntil(startedAt + schedule.endMs)
    }

    private fun sleepUntil(time: TimeMs) = Thread.sleep((time - clock()).coerceAtLeast(0))

    private fun chooseAnswer(head: RequestHead): ServerAnswer {
        val plan = plans[head.callerRequestId] ?: return ServerAnswer()
        val draw = serverRandom.nextInt(PERCENT)
        return when {
            draw < REFUSED_PERCENT -> ServerAnswer(isRefused = true)
            draw < REFUSED_PERCENT + ERROR_PERCENT -> ServerAnswer(status = HttpStatus.INTERNAL_SERVER_ERROR)
            else -> ServerAnswer(plan.firstByteDelayMs, plan.events, plan.eventGapMs)
        }
    }

    private companion object {
        const val SETTLE_MS = 1_000L
        const val BEFORE_MS = 4_000L
        const val PERCENT = 100
        const val REFUSED_PERCENT = 12
        const val ERROR_PERCENT = 2
    }
}
