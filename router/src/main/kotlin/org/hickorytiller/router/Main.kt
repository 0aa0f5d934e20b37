/** Entry point of `hickory-router`. */
package org.hickorytiller.router

import arrow.core.getOrElse
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.hickorytiller.core.firstSignal
import org.hickorytiller.core.formatAddress
import org.hickorytiller.core.monotonicClock
import org.hickorytiller.http.EventLoop
import java.io.File
import kotlin.system.exitProcess

fun main(args: Array<String>) {
    val path = args.singleOrNull()
    if (path == null || path == "--help") {
        System.err.println("usage: hickory-router SETTINGS.toml")
        exitProcess(if (path == null) 2 else 0)
    }
    val settings =
        RouterSettings.read(File(path).readText()).getOrElse { faults ->
            faults.forEach { System.err.println("$path: $it") }
            exitProcess(2)
        }
    val termination = firstSignal(monotonicClock, "TERM", "INT", "HUP")
    val router = Router(settings, EventLoop())
    try {
        router.start()
    } catch (e: Exception) {
        // Otherwise the process would live on, since the thread of the event loop does.
        System.err.println("cannot start: $e")
        Runtime.getRuntime().halt(1)
    }
    println("router ${settings.host} serves callers on ${settings.callerAddress.formatAddress()}")
    runBlocking {
        val drainOnSignal = launch {
            termination.await()
            router.beginDrain()
        }
        router.ended.await()
        drainOnSignal.cancel()
    }
    Runtime.getRuntime().halt(0)
}
