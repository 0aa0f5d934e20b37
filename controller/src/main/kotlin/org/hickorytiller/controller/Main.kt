/** Entry point of `hickory-controller`. */
package org.hickorytiller.controller

import arrow.core.getOrElse
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.launch
import org.hickorytiller.core.monotonicClock
import org.hickorytiller.http.EventLoop
import org.hickorytiller.http.HttpClient
import org.hickorytiller.http.HttpLimits
import org.hickorytiller.leases.Duty
import org.hickorytiller.leases.LeaseTiming
import org.hickorytiller.platform.LogClient
import java.io.File
import kotlin.system.exitProcess

fun main(args: Array<String>) {
    val path = args.singleOrNull()
    if (path == null || path == "--help") {
        System.err.println("usage: hickory-controller SETTINGS.toml")
        exitProcess(if (path == null) 2 else 0)
    }
    val settings =
        ControllerSettings.read(File(path).readText()).getOrElse { faults ->
            faults.forEach { System.err.println("$path: $it") }
            exitProcess(2)
        }
    startController(settings, EventLoop())
    println("controller ${settings.host} runs")
}

private fun startController(settings: ControllerSettings, loop: EventLoop) {
    val log = LogClient(HttpClient(loop.group, HttpLimits()), settings.logAddress)
    val timing = LeaseTiming(settings.termMs, settings.driftMarginMs, settings.renewIntervalMs)
    val leases = LeaseTask(settings.host, timing, monotonicClock, log::append, log::read)
    loop.scope.launch { leases.follow() }
    loop.scope.launch { leases.perform(Duty("usage-windows")) { awaitCancellation() } }
}
