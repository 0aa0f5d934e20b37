/** What every subcommand has in common. */
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

    /** The input or the operation was refused. */
    REFUSED(1),

    /** The command line is wrong. */
    USAGE(2),

    /** The log or a host could not be reached. */
    UNREACHABLE(3),
}

/** The command line is wrong in a way that the option parser cannot see. */
class UsageException(message: String, cause: Exception? = null) : Exception(message, cause)

/** A subcommand; args4j fills its options. */
abstract class Command {
    @Option(name = "--help", help = true, usage = "show this text")
    var help = false

    @Option(name = "--json", usage = "print the result as JSON")
    var asJson = false

    /** Runs the subcommand and prints its result. */
    abstract suspend fun run(context: CommandContext): ExitCode

    /** The address [text], which was given for [option]. */
    protected fun address(option: String, text: String): InetSocketAddress =
        parseAddress(text) ?: throw UsageException("$option: expected IP:PORT, found \"$text\"")

    /** The addresses in [text], separated by commas. */
    protected fun addresses(option: String, text: String): List<InetSocketAddress> =
        text.split(',').filter { it.isNotBlank() }.map { address(option, it.trim()) }

    /** The contents of [file]. */
    protected fun readText(file: String): String = try {
        File(file).readText()
    } catch (e: IOException) {
        throw UsageException("$file cannot be read: ${e.message}", e)
    }

    /** The configuration stream at the log service at [address]. */
    protected fun configurationLog(context: CommandContext, address: InetSocketAddress): ConfigurationLog {
        val client = LogClient(context.client, address)
        return ConfigurationLog(client::append, client::read)
    }
}

/** A subcommand that talks to the admin interface of routers. */
abstract class RouterCommand : Command() {
    @Option(name = "--routers", metaVar = "IP:PORT,...", usage = "admin addresses of the routers")
    var routers = ""

    @Option(
        name = "--token-file",
        metaVar = "FILE",
        usage = "file with the operator token (default: the environment variable $TOKEN_VARIABLE)",
    )
    var tokenFile = ""

    /** Clients of all routers given. */
    protected fun adminClients(context: CommandContext): List<AdminClient> {
        val token = if (tokenFile.isEmpty()) context.environment(TOKEN_VARIABLE) else readText(tokenFile).trim()
        return addresses("--routers", routers).map { AdminClient(context.client, it, token) }
    }

    /** As [adminClients], but at least one router has to be given. */
    protected fun requiredAdminClients(context: CommandContext): List<AdminClient> =
        adminClients(context).ifEmpty { throw UsageException("--routers is missing") }

    private companion object {
        // A token on the command line could be read by every user of the host.
        const val TOKEN_VARIABLE = "HICKORY_OPERATOR_TOKEN"
    }
}
