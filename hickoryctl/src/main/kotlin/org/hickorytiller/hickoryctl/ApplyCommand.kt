/** `hickoryctl apply`: publishes the changed sections of a configuration document and reads back whether they hold. */
package org.hickorytiller.hickoryctl

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.module.kotlin.readValue
import org.hickorytiller.configuration.CONFIGURATION_STREAM
import org.hickorytiller.configuration.ConfigurationRecord
import org.hickorytiller.configuration.ConfigurationState
import org.hickorytiller.configuration.Rejection
import org.hickorytiller.configuration.Section
import org.hickorytiller.configuration.SectionProposed
import org.hickorytiller.configuration.parseDocument
import org.hickorytiller.configuration.splitSections
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.json
import org.hickorytiller.core.parseAddress
import org.hickorytiller.platform.LogClient
import org.hickorytiller.platform.LogFailure
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.io.File
import java.util.UUID

/** Publishes a document. */
class ApplyCommand : Command() {
    @Argument(required = true, metaVar = "FILE", usage = "configuration document in TOML")
    var file = ""

    @Option(name = "--log", required = true, metaVar = "IP:PORT", usage = "address of the log service")
    var log = ""

    @Option(name = "--author", metaVar = "NAME", usage = "who publishes the change (default: the user's name)")
    var author: String = System.getProperty("user.name")

    override suspend fun run(context: CommandContext): ExitCode {
        val sections =
            splitSections(File(file).readText()).getOrElse { faults ->
                faults.forEach { context.printError("$file: $it") }
                return ExitCode.REFUSED
            }
        parseDocument(sections).onLeft { faults ->
            faults.forEach { context.printError("$file: $it") }
            return ExitCode.REFUSED
        }
        val address = parseAddress(log) ?: return ExitCode.USAGE
        val client = LogClient(context.client, address)
        for ((section, content) in sections.entries.sortedBy { PUBLISHING_ORDER.indexOf(it.key) }) {
            val outcome = publish(client, section, content).getOrElse { failure ->
                context.printError("log: ${failure.name.lowercase()}")
                return ExitCode.UNREACHABLE
            }
            context.print("${section.key}: $outcome")
            if (!outcome.startsWith("accepted") && outcome != "unchanged") return ExitCode.REFUSED
        }
        return ExitCode.OK
    }

    private suspend fun publish(client: LogClient, section: Section, content: String): Either<LogFailure, String> {
        val before = readState(client).getOrElse { return it.left() }
        if (before.sections[section]?.content == content) return "unchanged".right()
        val proposal =
            SectionProposed(
                UUID.randomUUID().toString(),
                section.key,
                before.offsetOf(section).value,
                author,
                content,
            )
        val offset = client.append(CONFIGURATION_STREAM, json.writeValueAsBytes(proposal)).getOrElse {
            return it.left()
        }
        val after = readState(client).getOrElse { return it.left() }
        return describe(before, proposal, after, section, offset).right()
    }

    private fun describe(
        before: ConfigurationState,
        proposal: SectionProposed,
        after: ConfigurationState,
        section: Section,
        offset: LogOffset,
    ): String = if (after.offsetOf(section) == offset) {
        "accepted at offset $offset"
    } else {
        before.evaluate(proposal, offset).fold(
            { if (it is Rejection.Invalid) "invalid: ${it.faults.joinToString("; ")}" else "conflict" },
            { "conflict, the section is now at offset ${after.offsetOf(section)}" },
        )
    }

    private companion object {
        val PUBLISHING_ORDER =
            listOf(Section.CUSTOMERS, Section.CLASSES, Section.BACKEND_SERVERS, Section.BUDGETS, Section.ROUTES)
    }
}

/** Reads the stream to its end and evaluates it. */
internal suspend fun readState(client: LogClient): Either<LogFailure, ConfigurationState> {
    var state = ConfigurationState()
    while (true) {
        val page = client.read(CONFIGURATION_STREAM, state.offset.next(), 0).getOrElse { return it.left() }
        page.records.forEach { state = state.apply(json.readValue<ConfigurationRecord>(it.data), it.offset) }
        if (state.offset.next() >= page.end) return state.right()
    }
}
