/** Base classes and exit codes of the subcommands. */
package org.hickorytiller.hickoryctl

import org.hickorytiller.core.parseAddress
import org.hickorytiller.platform.LogClient
import org.kohsuke.args4j.Option
import java.io.File
import java.io.IOException
import java.net.InetSocketAddress

/** Exit codes of hickoryctl. */
enum class ExitCode(val value: Int) {
    OK(0),

    /** The input or the operation was rejected. */
    REFUSED(1),

    /** The command line is wrong. */
    USAGE(2),

    /** The log or a host could not be reached. */
    UNREACHABLE(3),
}

/** The command line has an error that the option parser does not detect. */
class UsageException(message: String, cause: Exception? = null) : Exception(message, cause)

/** A subcommand. args4j sets its options. */
abstract class Command {
    @Option(name = "--help", help = true, usage = "show this text")
    var help = false

    @Option(name = "--json", usage = "print the result as JSON")
    var asJson = false

    /** Runs the subcommand and prints its result. */
    abstract suspend fun run(context: CommandContext): ExitCode

    /** Parses the address [text], the value of [option]. */
    protected fun address(option: String, text: String): InetSocketAddress =
        parseAddress(text) ?: throw UsageException("$option: expected IP:PORT, found \"$text\"")

    /** Parses the comma-separated addresses in [text], the value of [option]. */
    protected fun addresses(option: String, text: String): List<InetSocketAddress> =
        text.split(',').filter { it.isNotBlank() }.map { address(option, it.trim()) }

    /** Reads the text of [file]. */
    protected fun readText(file: String): String = try {
        File(file).readText()
    } catch (e: IOException) {
        throw UsageException("$file cannot be read: ${e.message}", e)
    }

    /** Returns the configuration stream of the log service at [address]. */
    protected fun configurationLog(context: CommandContext, address: InetSocketAddress): ConfigurationLog {
        val client = LogClient(context.client, address)
        return ConfigurationLog(client::append, client::read)
    }
}

/** A subcommand that calls the admin interface of routers. */
abstract class RouterCommand : Command() {
    @Option(name = "--routers", metaVar = "IP:PORT,...", usage = "admin addresses of the routers")
    var routers = ""

    @Option(
        name = "--token-file",
        metaVar = "FILE",
        usage = "file with the operator token (default: the environment variable $TOKEN_VARIABLE)",
    )
    var tokenFile = ""

    /** Returns clients of all routers given on the command line. */
    protected fun adminClients(context: CommandContext): List<AdminClient> {
        val token = if (tokenFile.isEmpty()) context.environment(TOKEN_VARIABLE) else readText(tokenFile).trim()
        return addresses("--routers", routers).map { AdminClient(context.client, it, token) }
    }

    /** Like [adminClients], but requires at least one router. */
    protected fun requiredAdminClients(context: CommandContext): List<AdminClient> =
        adminClients(context).ifEmpty { throw UsageException("--routers is missing") }

    private companion object {
        // The token is not an option, because every user of the host can read command lines.
        const val TOKEN_VARIABLE = "HICKORY_OPERATOR_TOKEN"
    }
}
