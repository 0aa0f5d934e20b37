/** Entry point of `hickory-router`. */
package org.hickorytiller.router

import arrow.core.getOrElse
import kotlinx.coroutines.runBlocking
import org.hickorytiller.core.formatAddress
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
    val router = Router(settings, EventLoop())
    router.start()
    drainOnTermination(router)
    println("router ${settings.host} serves callers on ${settings.callerAddress.formatAddress()}")
    runBlocking { router.ended.await() }
    exitProcess(0)
}

/** Drains the process on SIGTERM. The JVM would exit with 143 after the hook, so the hook itself ends it with 0. */
private fun drainOnTermination(router: Router) {
    val hook = {
        router.beginDrain()
        runBlocking { router.ended.await() }
        Runtime.getRuntime().halt(0)
    }
    Runtime.getRuntime().addShutdownHook(Thread(hook, "drain"))
}
