/** `hickoryctl key create` and `key withdraw`. A key is shown once, when it is created; only its hash is stored. */
package org.hickorytiller.hickoryctl

import arrow.core.getOrElse
import org.hickorytiller.configuration.ApplyOutcome
import org.hickorytiller.configuration.KeyGranted
import org.hickorytiller.configuration.KeyWithdrawn
import org.hickorytiller.configuration.MAX_TEXT_LENGTH
import org.hickorytiller.configuration.Rejection
import org.hickorytiller.core.KeyHash
import org.hickorytiller.keys.generateKey
import org.hickorytiller.keys.hashKey
import org.hickorytiller.keys.parseKeyHash
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option

/** Creates a key and grants it to a customer. */
class KeyCreateCommand : Command() {
    @Option(name = "--customer", required = true, metaVar = "NAME", usage = "customer that the key belongs to")
    var customer = ""

    @Option(name = "--label", metaVar = "TEXT", usage = "what the key is for, shown by `hickoryctl show`")
    var label = ""

    @Option(name = "--log", required = true, metaVar = "IP:PORT", usage = "address of the log service")
    var log = ""

    override suspend fun run(context: CommandContext): ExitCode {
        if (label.length > MAX_TEXT_LENGTH) throw UsageException("--label: at most $MAX_TEXT_LENGTH characters")
        val stream = configurationLog(context, address("--log", log))
        stream.state().onLeft { return context.fail(it) }
        val key = generateKey()
        val hash = hashKey(key)
        val published =
            stream.publish(listOf(KeyGranted(customer, hash.value, label))).getOrElse {
                context.printError("the key is not handed out; if the record took effect, its hash is ${hash.value}")
                return context.fail(it)
            }
        (published.outcome as? ApplyOutcome.Rejected)?.let { return reportRejection(context, it.rejection) }
        if (asJson) {
            context.printJson(
                mapOf(
                    "key" to key,
                    "keyHash" to hash.value,
                    "customer" to customer,
                    "offset" to published.offset.value,
                ),
            )
        } else {
            context.print("key: $key")
            context.print("hash: ${hash.value}")
            context.print("granted to $customer at offset ${published.offset}; the key is not shown again")
        }
        return ExitCode.OK
    }

    private fun reportRejection(context: CommandContext, rejection: Rejection): ExitCode {
        val faults = (rejection as? Rejection.Invalid)?.faults.orEmpty()
        context.printError("refused: ${faults.joinToString("; ")}")
        return ExitCode.REFUSED
    }
}

/** Withdraws a key on routers and on the log. It is withdrawn if one router or the log accepts that. */
class KeyWithdrawCommand : RouterCommand() {
    @Argument(metaVar = "HASH", usage = "SHA-256 hash of the key")
    var hash = ""

    @Option(name = "--stdin", usage = "read the key itself from standard input instead of its hash")
    var fromInput = false

    @Option(name = "--log", metaVar = "IP:PORT", usage = "address of the log service")
    var log = ""

    override suspend fun run(context: CommandContext): ExitCode {
        val keyHash = keyHash(context)
        val routers = adminClients(context)
        if (routers.isEmpty() && log.isEmpty()) throw UsageException("--routers or --log is needed")
        val stream = if (log.isEmpty()) null else configurationLog(context, address("--log", log))
        // Routers come first: they end running requests at once, and they can be reached while the log is down.
        val responses = callAll(routers) { it.post("/keys/withdraw", keyHash.value) }
        val appended = stream?.appendIdempotent(KeyWithdrawn(keyHash.value))
        val withdrawnOn = responses.filterValues { it.isRight() }.keys.toList()
        val faults = responses.mapNotNull { (router, response) -> response.leftOrNull()?.let { router to it } }.toMap()
        val offset = appended?.getOrNull()
        if (asJson) {
            context.printJson(
                mapOf(
                    "keyHash" to keyHash.value,
                    "routers" to withdrawnOn,
                    "failed" to faults.mapValues { it.value.message },
                    "logOffset" to offset?.value,
                ),
            )
        } else {
            withdrawnOn.forEach { context.print("router $it: withdrawn") }
            offset?.let { context.print("log: withdrawn at offset $it") }
        }
        faults.forEach { (router, fault) -> context.printError("router $router: ${fault.message}") }
        appended?.onLeft { context.printError("log: ${it.message}") }
        if (withdrawnOn.isNotEmpty() || offset != null) return ExitCode.OK
        context.printError("the key is NOT withdrawn")
        return appended?.leftOrNull()?.exitCode ?: exitCodeOf(faults.values.toList())
    }

    private fun keyHash(context: CommandContext): KeyHash {
        if (fromInput == hash.isNotEmpty()) throw UsageException("give either HASH or --stdin")
        if (fromInput) {
            val key = context.readLine()
            if (key.isEmpty()) throw UsageException("--stdin: no key on standard input")
            return hashKey(key)
        }
        return parseKeyHash(hash) ?: throw UsageException("HASH: expected 64 lower-case hexadecimal digits")
    }
}
