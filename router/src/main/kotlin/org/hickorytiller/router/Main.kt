/** Entry point of `hickory-router`. */
package org.hickorytiller.router

import arrow.core.getOrElse
import org.hickorytiller.core.text
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
    Router(settings, EventLoop()).start()
    println("router ${settings.host} serves callers on ${settings.callerAddress.text()}")
}
