/** `hickoryctl validate`, `diff` and `show`: the subcommands that read a document or the accepted configuration. */
package org.hickorytiller.hickoryctl

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.getOrElse
import org.hickorytiller.configuration.ConfigurationState
import org.hickorytiller.configuration.DocumentFault
import org.hickorytiller.configuration.Section
import org.hickorytiller.configuration.SectionChange
import org.hickorytiller.configuration.decodeState
import org.hickorytiller.configuration.diff
import org.hickorytiller.configuration.encodeState
import org.hickorytiller.configuration.entries
import org.hickorytiller.configuration.parseDocument
import org.hickorytiller.configuration.sectionText
import org.hickorytiller.core.json
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option

/** Checks a document. */
class ValidateCommand : Command() {
    @Argument(required = true, metaVar = "FILE", usage = "configuration document in TOML")
    var file = ""

    @Option(name = "--log", metaVar = "IP:PORT", usage = "log service; sections missing in FILE are taken from there")
    var log = ""

    override suspend fun run(context: CommandContext): ExitCode {
        val text = readText(file)
        val base =
            if (log.isEmpty()) {
                ConfigurationState()
            } else {
                configurationLog(context, address("--log", log)).state().getOrElse { return context.fail(it) }
            }
        parseDocument(text, base.document).onLeft { return context.printFaults(file, it, asJson) }
        if (asJson) context.printJson(mapOf("valid" to true)) else context.print("$file: valid")
        return ExitCode.OK
    }
}

/** Shows what `apply` would change. */
class DiffCommand : Command() {
    @Argument(required = true, metaVar = "FILE", usage = "configuration document in TOML")
    var file = ""

    @Option(name = "--log", required = true, metaVar = "IP:PORT", usage = "address of the log service")
    var log = ""

    override suspend fun run(context: CommandContext): ExitCode {
        val text = readText(file)
        val state = configurationLog(context, address("--log", log)).state().getOrElse { return context.fail(it) }
        val parsed =
            parseDocument(text, state.document).getOrElse { return context.printFaults(file, it, asJson) }
        val changes =
            Section.entries.filter { it in parsed.sections }.associateWith { diff(state.document, parsed.document, it) }
        if (asJson) {
            context.printJson(changes.entries.associate { (section, change) -> section.key to change })
        } else {
            changes.forEach { (section, change) ->
                context.print("${section.key}: ${describe(state, section, change)}")
            }
        }
        return ExitCode.OK
    }

    private fun describe(state: ConfigurationState, section: Section, change: SectionChange): String {
        if (change.isEmpty) return "unchanged"
        val known = state.document.entries(section).keys
        val (changed, added) = change.changed.keys.partition { it in known }
        return listOf("added" to added, "changed" to changed, "removed" to change.removed)
            .filter { it.second.isNotEmpty() }
            .joinToString("; ") { (what, names) -> "$what ${names.joinToString()}" }
    }
}

/** Prints the accepted configuration from the log, or the configuration in effect in a router. */
class ShowCommand : RouterCommand() {
    @Option(name = "--log", metaVar = "IP:PORT", usage = "address of the log service (or give one router)")
    var log = ""

    @Option(name = "--section", metaVar = "NAME", usage = "print this section only")
    var section = ""

    override suspend fun run(context: CommandContext): ExitCode {
        val sections = if (section.isEmpty()) Section.entries else listOf(knownSection())
        val state = readState(context).getOrElse { return context.fail(it) }
        if (asJson) {
            val tree = json.readTree(encodeState(state))
            context.printJson(if (section.isEmpty()) tree else tree.path("sections").path(section))
            return ExitCode.OK
        }
        context.print(baseOffsetsComment(state))
        context.print("# configuration offset ${state.offset}, ${state.withdrawn.size} keys withdrawn")
        if (section.isEmpty()) printGrants(context, state)
        sections.forEach { context.print(sectionText(it, state.document.entries(it)).trimEnd()) }
        return ExitCode.OK
    }

    private fun printGrants(context: CommandContext, state: ConfigurationState) {
        state.grants.forEach { (hash, grant) ->
            context.print("# key ${hash.value} granted to ${grant.customer}: ${grant.label}")
        }
    }

    private fun knownSection(): Section =
        Section.of(section) ?: throw UsageException("--section: one of ${Section.entries.joinToString { it.key }}")

    private suspend fun readState(context: CommandContext): Either<ConfigurationLogError, ConfigurationState> {
        if (log.isNotEmpty()) return configurationLog(context, address("--log", log)).state()
        val router = adminClients(context).singleOrNull() ?: throw UsageException("--log or one router is needed")
        return router.get("/configuration")
            .mapLeft { ConfigurationLogError(it.exitCode, "${router.name}: ${it.message}") }
            .flatMap { tree ->
                decodeState(json.writeValueAsBytes(tree))
                    .mapLeft { ConfigurationLogError(ExitCode.REFUSED, "${router.name}: $it") }
            }
    }
}

/** Prints all [faults] of [file]. */
internal fun CommandContext.printFaults(file: String, faults: List<DocumentFault>, asJson: Boolean): ExitCode {
    if (asJson) {
        printJson(mapOf("valid" to false, "file" to file, "faults" to faults))
    } else {
        faults.forEach { printError("$file: $it") }
    }
    return ExitCode.REFUSED
}

/** Prints [error] and returns its exit code. */
internal fun CommandContext.fail(error: ConfigurationLogError): ExitCode {
    printError(error.message)
    return error.exitCode
}
