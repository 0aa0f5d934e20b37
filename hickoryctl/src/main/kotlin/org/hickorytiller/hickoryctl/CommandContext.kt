/** Connections and output of one run of hickoryctl. */
package org.hickorytiller.hickoryctl

import org.hickorytiller.core.json
import org.hickorytiller.http.HttpClient

/** @property client client on the event loop that runs the subcommand */
class CommandContext(val client: HttpClient) {
    /** Prints [text] to standard output. */
    fun print(text: String) = println(text)

    /** Prints [value] as one line of JSON. */
    fun printJson(value: Any) = println(json.writeValueAsString(value))

    /** Prints [text] to standard error. */
    fun printError(text: String) = System.err.println(text)
}
