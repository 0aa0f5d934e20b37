/** Connections, input and output of one run of hickoryctl. */
package org.hickorytiller.hickoryctl

import org.hickorytiller.core.json
import org.hickorytiller.http.HttpClient
import java.io.InputStream
import java.io.PrintStream

/** Where a run reads from and prints to. */
class Terminal(
    val input: InputStream = System.`in`,
    val output: PrintStream = System.out,
    val errors: PrintStream = System.err,
    val environment: (String) -> String? = System::getenv,
)

/** @property client client on the event loop that runs the subcommand */
class CommandContext(val client: HttpClient, private val terminal: Terminal) {
    /** Prints [text] to standard output. */
    fun print(text: String) = terminal.output.println(text)

    /** Prints [value] as one line of JSON. */
    fun printJson(value: Any) = terminal.output.println(json.writeValueAsString(value))

    /** Prints [text] to standard error. */
    fun printError(text: String) = terminal.errors.println(text)

    /** The first line of standard input. */
    fun readLine(): String = terminal.input.bufferedReader().readLine().orEmpty().trim()

    /** The environment variable called [name]. */
    fun environment(name: String): String? = terminal.environment(name)
}
