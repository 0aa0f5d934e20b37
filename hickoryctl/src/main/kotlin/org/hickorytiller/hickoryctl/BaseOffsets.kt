/**
 * The log offset of each section that a document was edited from. `show` writes the offsets as a comment and `apply`
 * reads them, so that editing an old copy is reported as a conflict instead of undoing another team's change.
 */
package org.hickorytiller.hickoryctl

import org.hickorytiller.configuration.ConfigurationState
import org.hickorytiller.configuration.Section
import org.hickorytiller.core.LogOffset

/** Returns the comment with the offset of every section of [state]. */
internal fun baseOffsetsComment(state: ConfigurationState): String =
    PREFIX + Section.entries.joinToString("") { " ${it.key}=${state.offsetOf(it)}" }

/** Returns the offsets in the base offsets comment of [text]; empty if it has none. */
internal fun baseOffsets(text: String): Map<Section, LogOffset> {
    val line = text.lineSequence().firstOrNull { it.startsWith(PREFIX) } ?: return emptyMap()
    return line.removePrefix(PREFIX).trim().split(' ').mapNotNull { word ->
        val section = Section.of(word.substringBefore('='))
        val offset = word.substringAfter('=', "").toLongOrNull()
        if (section == null || offset == null) null else section to LogOffset(offset)
    }.toMap()
}

private const val PREFIX = "# base offsets:"
