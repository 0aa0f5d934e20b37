/** The HTTP client, input, output and environment of one run of hickoryctl. */
package org.hickorytiller.hickoryctl

import org.hickorytiller.core.json
import org.hickorytiller.http.HttpClient
import java.io.InputStream
import java.io.PrintStream

/** The standard streams and the environment of a run. */
class Terminal(
    val input: InputStream = System.`in`,
    val output: PrintStream = System.out,
    val errors: PrintStream = System.err,
    val environment: (String) -> String? = System::getenv,
)

/**
 * What a subcommand runs with.
 *
 * @property client HTTP client on the event loop that runs the subcommand
 */
class CommandContext(val client: HttpClient, private val terminal: Terminal) {
    /** Prints [text] to standard output. */
    fun print(text: String) = terminal.output.println(text)

    /** Prints [value] as one line of JSON. */
    fun printJson(value: Any) = terminal.output.println(json.writeValueAsString(value))

    /** Prints [text] to standard error. */
    fun printError(text: String) = terminal.errors.println(text)

    /** Reads the first line of standard input; empty if there is none. */
    fun readLine(): String = terminal.input.bufferedReader().readLine().orEmpty().trim()

    /** Returns the environment variable called [name]; null if it is not set. */
    fun environment(name: String): String? = terminal.environment(name)
}
