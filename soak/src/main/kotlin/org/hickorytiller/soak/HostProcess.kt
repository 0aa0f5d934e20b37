/** One host of the deployment: its daemon processes one after the other, with the signals that each of them got. */
package org.hickorytiller.soak

import org.hickorytiller.core.Clock
import org.hickorytiller.core.TimeMs
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.nio.file.Path
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** Addresses of a host. All hosts use the same ports. */
internal data class HostAddresses(
    val callers: InetSocketAddress,
    val readiness: InetSocketAddress,
    val directory: InetSocketAddress,
    val mesh: InetSocketAddress,
    val metrics: InetSocketAddress,
)

/** One process of a host. The times are set by the thread that waits for its end. */
internal class ProcessRun(val process: Process, val launchedAt: TimeMs) {
    /** Time of the first SIGTERM. */
    @Volatile
    var termAt: TimeMs? = null

    @Volatile
    var endedAt: TimeMs? = null

    @Volatile
    var wasKilled = false
}

/** The host [index], whose processes are started with [command] and log to [logFile]. */
internal class HostProcess(
    val index: Int,
    val addresses: HostAddresses,
    private val command: List<String>,
    val logFile: Path,
    private val clock: Clock,
) {
    /** All processes of the host so far, in order. */
    val runs = CopyOnWriteArrayList<ProcessRun>()

    /** Delay after the next launch at which the new process gets a SIGTERM. */
    @Volatile
    private var termAfterLaunchMs: Long? = null

    @Volatile
    private var isClosed = false

    /** Starts a process; it is started again after each end until [close]. */
    @Synchronized
    fun launch() {
        if (isClosed) return
        val process =
            ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()))
                .start()
        val run = ProcessRun(process, clock())
        runs += run
        thread(isDaemon = true, name = "host-$index") { superviseUntilEnd(run) }
        termAfterLaunchMs?.let { delayMs ->
            termAfterLaunchMs = null
            thread(isDaemon = true, name = "host-$index-term") {
                Thread.sleep(delayMs)
                terminate(run)
            }
        }
    }

    fun signal(signal: PlannedSignal) {
        val run = runs.last()
        when (signal.kind) {
            SignalKind.TERM -> terminate(run)
            SignalKind.HUP -> ProcessBuilder("kill", "-HUP", run.process.pid().toString()).start().waitFor()
            SignalKind.TERM_AFTER_RESTART -> termAfterLaunchMs = signal.afterLaunchMs
        }
    }

    fun isReady(): Boolean = try {
        Socket().use { socket ->
            socket.connect(addresses.readiness, READY_TIMEOUT_MS)
            socket.soTimeout = READY_TIMEOUT_MS
            socket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n".toByteArray())
            socket.getInputStream().bufferedReader().readLine().orEmpty().contains(" 200 ")
        }
    } catch (_: IOException) {
        // The process does not listen yet, or has ended.
        false
    }

    /** Returns the process that ran at [time]. */
    fun runAt(time: TimeMs): ProcessRun? = runs.lastOrNull { it.launchedAt <= time }

    fun close() {
        isClosed = true
        runs.forEach { it.process.destroyForcibly() }
    }

    private fun terminate(run: ProcessRun) {
        val now = clock()
        if (run.process.toHandle().destroy() && run.termAt == null) {
            run.termAt = now
            thread(isDaemon = true, name = "host-$index-kill") {
                if (!run.process.waitFor(GRACE_MS, TimeUnit.MILLISECONDS)) {
                    run.wasKilled = true
                    run.process.destroyForcibly()
                }
            }
        }
    }

    private fun superviseUntilEnd(run: ProcessRun) {
        run.process.waitFor()
        run.endedAt = clock()
        Thread.sleep(RESTART_AFTER_MS)
        launch()
    }

    private companion object {
        const val READY_TIMEOUT_MS = 500
        const val RESTART_AFTER_MS = 400L
    }
}
