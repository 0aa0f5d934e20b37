/** Entry point of `hickoryctl`, the operators' command line. */
package org.hickorytiller.hickoryctl

import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.hickorytiller.http.EventLoop
import org.hickorytiller.http.HttpClient
import org.hickorytiller.http.HttpLimits
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import kotlin.system.exitProcess

private val commands: Map<String, () -> Command> = mapOf("apply" to ::ApplyCommand)

fun main(args: Array<String>) {
    val create = commands[args.firstOrNull()]
    if (create == null) {
        System.err.println("usage: hickoryctl ${commands.keys.joinToString("|")} [OPTIONS]")
        exitProcess(if (args.firstOrNull() == "--help") ExitCode.OK.value else ExitCode.USAGE.value)
    }
    exitProcess(run(create(), args.drop(1)).value)
}

private fun run(command: Command, args: List<String>): ExitCode {
    val parser = CmdLineParser(command)
    try {
        parser.parseArgument(args)
    } catch (e: CmdLineException) {
        System.err.println(e.message)
        parser.printUsage(System.err)
        return ExitCode.USAGE
    }
    if (command.help) {
        parser.printUsage(System.out)
        return ExitCode.OK
    }
    return EventLoop().use { loop ->
        val context = CommandContext(HttpClient(loop.group, HttpLimits()))
        runBlocking { loop.scope.async { command.run(context) }.await() }
    }
}
