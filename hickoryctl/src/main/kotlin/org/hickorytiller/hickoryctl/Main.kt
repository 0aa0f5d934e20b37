/** Entry point of `hickoryctl`, the command-line tool for operators. */
package org.hickorytiller.hickoryctl

import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.hickorytiller.http.EventLoop
import org.hickorytiller.http.HttpClient
import org.hickorytiller.http.HttpLimits
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import java.io.PrintStream
import kotlin.system.exitProcess

private class Subcommand(val purpose: String, val create: () -> Command)

private val subcommands =
    mapOf(
        "validate" to Subcommand("check a configuration document", ::ValidateCommand),
        "diff" to Subcommand("compare a document with the accepted configuration", ::DiffCommand),
        "apply" to Subcommand("publish the changed sections of a document", ::ApplyCommand),
        "show" to Subcommand("print the accepted configuration", ::ShowCommand),
        "key create" to Subcommand("create a key for a customer", ::KeyCreateCommand),
        "key withdraw" to Subcommand("withdraw a key permanently", ::KeyWithdrawCommand),
        "status" to Subcommand("show what routers report", ::StatusCommand),
        "drain" to Subcommand("shut routers down without cutting off requests", ::DrainCommand),
        "timeline" to Subcommand("show the events of all processes in causal order", ::TimelineCommand),
    )

fun main(args: Array<String>) {
    exitProcess(runCommandLine(args.toList(), Terminal()).value)
}

/** Runs the command line [args]. A failure gives an exit code and a message, never a stack trace. */
internal fun runCommandLine(args: List<String>, terminal: Terminal): ExitCode {
    val name = subcommands.keys.firstOrNull { args.take(it.split(' ').size) == it.split(' ') }
    if (name == null) {
        val isHelpRequested = args.firstOrNull() == "--help"
        printOverview(if (isHelpRequested) terminal.output else terminal.errors)
        return if (isHelpRequested) ExitCode.OK else ExitCode.USAGE
    }
    return try {
        run(name, args.drop(name.split(' ').size), terminal)
    } catch (e: UsageException) {
        terminal.errors.println(e.message)
        ExitCode.USAGE
    } catch (e: Exception) {
        terminal.errors.println("hickoryctl failed: ${e.message ?: e::class.simpleName}")
        ExitCode.REFUSED
    }
}

private fun run(name: String, args: List<String>, terminal: Terminal): ExitCode {
    val command = subcommands.getValue(name).create()
    val parser = CmdLineParser(command)
    try {
        parser.parseArgument(args)
    } catch (e: CmdLineException) {
        terminal.errors.println(e.message)
        printUsage(name, parser, terminal.errors)
        return ExitCode.USAGE
    }
    if (command.help) {
        printUsage(name, parser, terminal.output)
        return ExitCode.OK
    }
    return EventLoop().use { loop ->
        val context = CommandContext(HttpClient(loop.group, HttpLimits()), terminal)
        runBlocking { loop.scope.async { command.run(context) }.await() }
    }
}

private fun printUsage(name: String, parser: CmdLineParser, out: PrintStream) {
    out.println("hickoryctl $name: ${subcommands.getValue(name).purpose}")
    out.print("usage: hickoryctl $name")
    parser.printSingleLineUsage(out)
    out.println()
    parser.printUsage(out)
    out.println("exit codes: 0 ok, 1 refused, 2 wrong command line, 3 log or host unreachable")
}

private fun printOverview(out: PrintStream) {
    out.println("usage: hickoryctl SUBCOMMAND [OPTIONS]; SUBCOMMAND --help shows its options")
    subcommands.forEach { (name, subcommand) -> out.println("  ${name.padEnd(NAME_WIDTH)} ${subcommand.purpose}") }
}

private const val NAME_WIDTH = 12
