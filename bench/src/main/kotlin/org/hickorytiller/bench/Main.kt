/** Entry point of the benchmarks. */
package org.hickorytiller.bench

import kotlin.system.exitProcess

/** Runs the benchmark named by the first argument. */
fun main(args: Array<String>) {
    when (args.firstOrNull()) {
        "policy" -> exitProcess(if (printPolicyBenchmark(args.drop(1))) 0 else 1)
        "decisions" -> printDecisionTimes()
        "configuration" -> printConfigurationCost()
        else -> {
            System.err.println("usage: bench policy [SCENARIO...] | bench decisions | bench configuration")
            exitProcess(2)
        }
    }
}
