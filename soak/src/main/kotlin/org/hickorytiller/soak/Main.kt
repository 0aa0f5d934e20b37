/**
 * Entry point of `hickory-soak`: plays planned stops on real daemon processes and checks that no accepted request ends
 * without an answer. The exit status is 1 if a rule was broken.
 */
package org.hickorytiller.soak

import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import kotlin.system.exitProcess

fun main(args: Array<String>) {
    val options = SoakOptions()
    val parser = CmdLineParser(options)
    val seeds =
        try {
            parser.parseArgument(*args)
            parseSeeds(options.seeds)
        } catch (e: CmdLineException) {
            System.err.println(e.message)
            parser.printUsage(System.err)
            exitProcess(EXIT_USAGE)
        }
    if (options.help || seeds == null || options.hosts !in 1..MAX_HOSTS) {
        parser.printUsage(System.out)
        exitProcess(if (options.help) 0 else EXIT_USAGE)
    }
    val rules =
        RunRules(
            DeploymentRules(options.hosts, options.daemonJar),
            options.callersPerHost,
            options.episodes,
            options.busy,
        )
    val reports = seeds.map { seed -> SoakRun(seed, rules).play().also(::print) }
    exitProcess(if (reports.any { it.isBroken }) 1 else 0)
}

/** Parses `A..B` or a single seed; returns null for anything else. */
internal fun parseSeeds(text: String): LongRange? {
    val bounds = text.split("..").map { it.toLongOrNull() ?: return null }
    return if (bounds.size > 2) null else bounds.first()..bounds.last()
}

private fun print(report: RunReport) {
    report.brokenCases().forEach(::println)
    println(report.summary())
}

private const val EXIT_USAGE = 2
private const val MAX_HOSTS = 12
