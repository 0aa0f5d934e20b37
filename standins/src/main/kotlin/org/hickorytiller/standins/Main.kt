/** Entry point of `hickory-standins`, which replaces the platform and the backend servers on one machine. */
package org.hickorytiller.standins

import org.hickorytiller.http.EventLoop
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import kotlin.system.exitProcess

fun main(args: Array<String>) {
    val options = StandInOptions()
    val parser = CmdLineParser(options)
    try {
        parser.parseArgument(*args)
    } catch (e: CmdLineException) {
        System.err.println(e.message)
        parser.printUsage(System.err)
        exitProcess(2)
    }
    if (options.help) {
        parser.printUsage(System.out)
        return
    }
    val control =
        EngineControl(
            slots = options.slots,
            firstTokenMs = options.firstTokenMs,
            betweenTokensMs = options.betweenTokensMs,
        )
    StandIns(EventLoop(), options.port, parseHosts(options.hosts), control).start(options.engines, options.services)
    println("stand-ins listen on 127.0.0.1 from port ${options.port}")
}

private fun parseHosts(text: String): List<HostEntry> =
    text.split(',').filter { it.isNotBlank() }.map { HostEntry(it.substringBefore('='), it.substringAfter('=')) }
