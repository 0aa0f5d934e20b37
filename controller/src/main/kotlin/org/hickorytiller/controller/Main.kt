/** Entry point of `hickory-controller`. */
package org.hickorytiller.controller

import arrow.core.getOrElse
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.hickorytiller.core.formatAddress
import org.hickorytiller.http.EventLoop
import java.io.File
import java.io.IOException
import kotlin.system.exitProcess

fun main(args: Array<String>) {
    val path = args.singleOrNull()
    if (path == null || path == "--help") {
        System.err.println("usage: hickory-controller SETTINGS.toml")
        exitProcess(if (path == null) 2 else 0)
    }
    val settings =
        ControllerSettings.read(readFile(path)).getOrElse { faults ->
            faults.forEach { System.err.println("$path: $it") }
            exitProcess(2)
        }
    val loop = EventLoop()
    val controller = Controller(settings, loop)
    try {
        controller.start()
    } catch (e: IOException) {
        System.err.println("cannot listen on ${settings.adminAddress.formatAddress()}: ${e.message}")
        exitProcess(1)
    }
    Runtime.getRuntime().addShutdownHook(Thread { stop(controller, loop, settings.stopTimeoutMs) })
    println("controller ${settings.host} serves operators on ${settings.adminAddress.formatAddress()}")
}

private fun readFile(path: String): String = try {
    File(path).readText()
} catch (e: IOException) {
    System.err.println("$path: ${e.message}")
    exitProcess(2)
}

// Releases the leases on SIGTERM, so that the duties do not stay vacant for a whole term.
private fun stop(controller: Controller, loop: EventLoop, timeoutMs: Long) = runBlocking {
    val stopped = loop.scope.async { controller.stop() }
    if (withTimeoutOrNull(timeoutMs) { stopped.await() } == null) {
        System.err.println("the leases were not released within $timeoutMs ms; they expire at the end of their terms")
    }
}
