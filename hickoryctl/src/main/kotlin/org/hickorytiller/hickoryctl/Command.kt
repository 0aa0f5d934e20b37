/** What every subcommand has in common. */
package org.hickorytiller.hickoryctl

import org.kohsuke.args4j.Option

/** Exit codes of hickoryctl. */
enum class ExitCode(val value: Int) {
    OK(0),

    /** The input or the operation was refused. */
    REFUSED(1),

    /** The command line is wrong. */
    USAGE(2),

    /** The log or a host could not be reached. */
    UNREACHABLE(3),
}

/** A subcommand; args4j fills its options. */
abstract class Command {
    @Option(name = "--help", help = true, usage = "show this text")
    var help = false

    @Option(name = "--json", usage = "print the result as JSON")
    var asJson = false

    /** Runs the subcommand and prints its result. */
    abstract suspend fun run(context: CommandContext): ExitCode
}
