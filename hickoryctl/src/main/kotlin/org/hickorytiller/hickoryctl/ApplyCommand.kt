/** `hickoryctl apply`: publishes the changed sections of a configuration document and reads back their outcome. */
package org.hickorytiller.hickoryctl

import arrow.core.getOrElse
import org.hickorytiller.configuration.ApplyOutcome
import org.hickorytiller.configuration.ConfigurationDocument
import org.hickorytiller.configuration.ConfigurationState
import org.hickorytiller.configuration.Rejection
import org.hickorytiller.configuration.Section
import org.hickorytiller.configuration.SectionProposed
import org.hickorytiller.configuration.diff
import org.hickorytiller.configuration.parseDocument
import org.hickorytiller.configuration.sectionProposals
import org.hickorytiller.configuration.sectionText
import org.hickorytiller.core.LogOffset
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.Option
import java.util.UUID

/** Publishes a document and waits until it is in effect in the routers given. */
class ApplyCommand : RouterCommand() {
    @Argument(required = true, metaVar = "FILE", usage = "configuration document in TOML")
    var file = ""

    @Option(name = "--log", required = true, metaVar = "IP:PORT", usage = "address of the log service")
    var log = ""

    @Option(name = "--author", metaVar = "NAME", usage = "who publishes the change (default: the user's name)")
    var author: String = System.getProperty("user.name")

    @Option(name = "--wait-ms", metaVar = "MS", usage = "how long to wait for the routers (default 10000)")
    var waitMs = DEFAULT_WAIT_MS

    override suspend fun run(context: CommandContext): ExitCode {
        val text = readText(file)
        val routers = adminClients(context)
        val stream = configurationLog(context, address("--log", log))
        val before = stream.state().getOrElse { return context.fail(it) }
        val parsed = parseDocument(text, before.document).getOrElse { return context.printFaults(file, it, asJson) }
        val publication = Publication(stream, author, before, parsed.document, baseOffsets(text))
        val results = publication.publish(Section.entries.filter { it in parsed.sections })
        results.forEach { if (!asJson) context.print("${it.section.key}: ${it.describe()}") }
        publication.error?.let { context.printError(it.message) }
        if (baseOffsets(text).isNotEmpty() && results.any { it.acceptedAt != null }) context.printError(STALE_BASE)
        val lagging = awaitRouters(routers, results.mapNotNull { it.acceptedAt }.maxOrNull())
        lagging.forEach { (router, fault) -> context.printError("router $router: ${fault.message}") }
        if (asJson) context.printJson(jsonResult(results, publication.error, lagging))
        return when {
            publication.error != null -> publication.error?.exitCode ?: ExitCode.UNREACHABLE
            results.any { it.result !in SUCCESSFUL_RESULTS } -> ExitCode.REFUSED
            else -> exitCodeOf(lagging.values.toList())
        }
    }

    private suspend fun awaitRouters(routers: List<AdminClient>, offset: LogOffset?): Map<String, AdminFault> =
        if (offset == null) emptyMap() else awaitConfigurationOffset(routers, offset, waitMs)

    private fun jsonResult(
        results: List<SectionResult>,
        error: ConfigurationLogError?,
        lagging: Map<String, AdminFault>,
    ) = mapOf(
        "sections" to results.associate { result ->
            result.section.key to
                mapOf("result" to result.result, "offset" to result.acceptedAt?.value, "detail" to result.detail)
        },
        "trouble" to error?.message,
        "routersNotInForce" to lagging.mapValues { it.value.message },
    )

    private companion object {
        const val DEFAULT_WAIT_MS = 10_000L
        const val STALE_BASE = "the base offsets in the file are out of date now; use `show` before the next edit"
        val SUCCESSFUL_RESULTS = setOf("accepted", "unchanged")
    }
}

/** The outcome for one section. [result] is unchanged, accepted, conflict, invalid or not_published. */
internal data class SectionResult(
    val section: Section,
    val result: String,
    val detail: String = "",
    val acceptedAt: LogOffset? = null,
) {
    fun describe(): String = listOf(result, detail).filter { it.isNotEmpty() }.joinToString(": ")
}

/** Publishes the sections in which [after] differs from the accepted configuration [state]. */
internal class Publication(
    private val stream: ConfigurationLog,
    private val author: String,
    private var state: ConfigurationState,
    private val after: ConfigurationDocument,
    private val baseOffsets: Map<Section, LogOffset>,
) {
    /** Why publishing stopped; null if every section was decided. */
    var error: ConfigurationLogError? = null
        private set

    private val original = state

    /** Publishes [sections] in an order in which each step gives a valid document. */
    suspend fun publish(sections: List<Section>): List<SectionResult> {
        val results = mutableListOf<SectionResult>()
        var remaining = sections
        while (remaining.isNotEmpty()) {
            // A name has to be added before a section refers to it, and removed after the last reference to it is
            // removed, so the order depends on the change.
            val section = remaining.firstOrNull(::isValidNow) ?: remaining.first()
            remaining = remaining - section
            results += if (error == null) publish(section) else SectionResult(section, "not_published")
        }
        return results.sortedBy { it.section }
    }

    private fun isValidNow(section: Section): Boolean = rejectionOf(section) == null

    private fun rejectionOf(section: Section): Rejection? {
        val change = diff(state.document, after, section)
        if (change.isEmpty) return null
        val proposal =
            SectionProposed(
                "check",
                section.key,
                state.offsetOf(section).value,
                author,
                sectionText(section, change.changed),
                change.removed,
            )
        return state.evaluate(proposal, state.offset.next()).fold({ it }, { null })
    }

    private suspend fun publish(section: Section): SectionResult {
        val change = diff(state.document, after, section)
        if (change.isEmpty) return SectionResult(section, "unchanged")
        val base = baseOffsets[section] ?: original.offsetOf(section)
        if (base != state.offsetOf(section)) return conflict(section, state.offsetOf(section))
        (rejectionOf(section) as? Rejection.Invalid)?.let { return invalid(section, it) }
        val records = sectionProposals(UUID.randomUUID().toString(), section, base, author.take(MAX_AUTHOR_LEN), change)
        val published =
            stream.publish(records).getOrElse {
                error = it
                return SectionResult(section, "not_published")
            }
        state = published.state
        return when (val outcome = published.outcome) {
            is ApplyOutcome.Accepted ->
                SectionResult(section, "accepted", "offset ${published.offset}", published.offset)
            is ApplyOutcome.Incomplete -> SectionResult(section, "not_published", "parts are missing on the log")
            is ApplyOutcome.Rejected -> when (val rejection = outcome.rejection) {
                is Rejection.Conflict -> conflict(section, rejection.currentOffset)
                is Rejection.Invalid -> invalid(section, rejection)
            }
        }
    }

    private fun conflict(section: Section, current: LogOffset) = SectionResult(
        section,
        "conflict",
        "another change was accepted at offset $current; look at it with `hickoryctl diff` and apply again",
    )

    private fun invalid(section: Section, rejection: Rejection.Invalid) =
        SectionResult(section, "invalid", rejection.faults.joinToString("; "))

    private companion object {
        const val MAX_AUTHOR_LEN = 200
    }
}
