/** Creates the records that propose the change of a section. */
package org.hickorytiller.configuration

import com.fasterxml.jackson.databind.node.ObjectNode
import org.hickorytiller.core.LogOffset

/** Returns the records that propose [change] of [section], based on the version accepted at [base]. */
fun sectionProposals(
    proposalId: String,
    section: Section,
    base: LogOffset,
    author: String,
    change: SectionChange,
): List<SectionProposed> {
    val parts = splitChange(section, change)
    return parts.mapIndexed { part, (content, removed) ->
        SectionProposed(proposalId, section.key, base.value, author, content, removed, part, parts.size)
    }
}

private fun splitChange(section: Section, change: SectionChange): List<Pair<String, List<String>>> {
    val contents = mutableListOf(StringBuilder())
    change.changed.forEach { (name, entry) ->
        val text = sectionText(section, mapOf<String, ObjectNode>(name to entry))
        if (contents.last().isNotEmpty() && contents.last().length + text.length > MAX_CONTENT_CHARACTERS) {
            contents += StringBuilder()
        }
        contents.last().append(text)
    }
    val removals = change.removed.chunked(MAX_REMOVED_NAMES)
    val count = maxOf(contents.size, removals.size)
    return (0 until count).map { part ->
        contents.getOrNull(part)?.toString().orEmpty() to removals.getOrNull(part).orEmpty()
    }
}

/** Leaves space for JSON escapes, the names of removed entries and the other fields of the record. */
private const val MAX_CONTENT_CHARACTERS = 120_000

/** A name has at most 64 characters, so the names of a part take at most 67,000 bytes. */
private const val MAX_REMOVED_NAMES = 1_000
