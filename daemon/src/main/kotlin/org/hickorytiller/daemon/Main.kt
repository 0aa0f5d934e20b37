/** Entry point of `hickory-daemon`. */
package org.hickorytiller.daemon

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import kotlinx.coroutines.channels.consumeEach
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.hickorytiller.core.SettingsFault
import org.hickorytiller.core.firstSignal
import org.hickorytiller.core.monotonicClock
import org.hickorytiller.core.repeatedSignal
import org.hickorytiller.http.EventLoop
import java.io.File
import java.io.FileDescriptor
import java.io.FileOutputStream
import java.io.IOException
import kotlin.system.exitProcess

/** Environment variable with the path of the settings file, used if there is no argument. */
private const val SETTINGS_VARIABLE = "HICKORYTILLER_CONFIG"

private const val LOG_FLUSH_MS = 200L
private const val USAGE =
    "usage: hickory-daemon [SETTINGS.toml | --warm-up]; without an argument, $SETTINGS_VARIABLE names the file"

fun main(args: Array<String>) {
    if (args.singleOrNull() == "--help") {
        println(USAGE)
        return
    }
    // Otherwise Netty derives a machine id from the network interfaces, which takes time and logs a warning.
    System.setProperty("io.netty.machineId", "00:00:00:00:00:00:00:01")
    // Otherwise Netty starts JDK Flight Recorder for events that nothing records: a fifth of the start time.
    System.setProperty("io.netty.jfr.enabled", "false")
    val log = LineLog.install(FileOutputStream(FileDescriptor.out))
    if (args.singleOrNull() == "--warm-up") return warmUp()
    val path = args.firstOrNull() ?: System.getenv(SETTINGS_VARIABLE)
    if (path == null || args.size > 1) fail(USAGE)
    val termination = firstSignal(monotonicClock, "TERM", "INT")
    val reloads = repeatedSignal("HUP")
    val settings = readSettings(path).getOrElse { faults ->
        fail(faults.joinToString("\n") { "$path: $it" })
    }
    if (termination.isCompleted) return
    val daemon = Daemon(settings, EventLoop(), { readSettings(path) }) { exitAfterFailure(log) }
    start(daemon)
    runBlocking {
        launch { reloads.consumeEach { daemon.reload.requestReload() } }
        daemon.beginStop(termination.await())
        daemon.ended.await()
        daemon.close()
        log.close(LOG_FLUSH_MS)
        Runtime.getRuntime().halt(0)
    }
}

// Without this the process would live on after a failed start, since the thread of the event loop does.
private fun start(daemon: Daemon) = try {
    daemon.start()
} catch (e: Exception) {
    System.err.println("cannot start: $e")
    Runtime.getRuntime().halt(1)
}

/** Ends the process with status 1, after a time for the responses to requests in flight and for the last log lines. */
private fun exitAfterFailure(log: LineLog) {
    Thread({
        Thread.sleep(FAILURE_END_MS)
        log.close(LOG_FLUSH_MS)
        Runtime.getRuntime().halt(1)
    }, "end").start()
}

private fun readSettings(path: String): Either<List<SettingsFault>, DaemonSettings> = try {
    DaemonSettings.read(File(path).readText())
} catch (e: IOException) {
    listOf(SettingsFault("", "cannot be read: ${e.message}")).left()
}

private fun fail(message: String): Nothing {
    System.err.println(message)
    exitProcess(2)
}
