/**
 * Parses the configuration document of operators and the changes of sections on the stream. All faults of a document
 * are reported together, each with its line and section.
 */
package org.hickorytiller.configuration

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.core.JsonLocation
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.node.ObjectNode
import org.hickorytiller.core.SettingsFault
import org.hickorytiller.core.SettingsReader
import org.hickorytiller.core.decodeUntrusted
import org.hickorytiller.core.readSettings
import org.hickorytiller.core.toml

/**
 * A fault of a document.
 *
 * @property line line of the text, counted from 1; null if the fault has no line
 * @property name dotted name of the entry or value; empty if the text is not TOML
 */
data class DocumentFault(val line: Int?, val name: String, val message: String) {
    override fun toString() = listOfNotNull(line?.let { "line $it" }, name.ifEmpty { null }, message).joinToString(": ")
}

/** A parsed file: the sections that it contains, and the document, in which all other sections are unchanged. */
data class ParsedDocument(val sections: Set<Section>, val document: ConfigurationDocument)

/** Parses a document, takes missing sections from [base], and validates the merged document. */
fun parseDocument(
    text: String,
    base: ConfigurationDocument = ConfigurationDocument(),
): Either<List<DocumentFault>, ParsedDocument> {
    val root = parseToml(text).fold({ return listOf(it).left() }, { it })
    val sections = Section.entries.filter { root.has(it.key) }
    var document = base
    val read =
        readSettings(root) { reader ->
            sections.forEach { section ->
                val cleared = document.without(section, document.entryNames(section))
                document = cleared.withEntries(section, reader.table(section.key))
            }
        }
    val faults = read.fold({ it }, { emptyList() })
    // A value that could not be read has a placeholder; faults caused by placeholders are omitted.
    val names = faults.mapTo(HashSet()) { it.name }
    val all = faults + (ownersOf(document).faults + referenceFaults(document)).filter { it.name !in names }
    if (all.isNotEmpty()) return all.map { withLine(text, it) }.left()
    return ParsedDocument(sections.toSet(), document).right()
}

/** A document after a change, and the names of the changed and removed entries. */
internal class EditedDocument(val document: ConfigurationDocument, val names: Set<String>)

/** Returns the document after the change of a section in [contents] and [removed]; references are not checked. */
internal fun ConfigurationDocument.applyChange(
    section: Section,
    contents: List<String>,
    removed: Collection<String>,
): Either<List<SettingsFault>, EditedDocument> {
    val faults = mutableListOf<SettingsFault>()
    val names = removed.toMutableSet()
    var document = without(section, removed)
    for (content in contents.filter { it.isNotBlank() }) {
        val root =
            parseToml(content).fold({ return listOf(SettingsFault(section.key, it.toString())).left() }, { it })
        root.path(section.key).fieldNames().forEach { names += it }
        readSettings(root) { reader: SettingsReader -> document.withEntries(section, reader.table(section.key)) }
            .fold({ faults += it }, { document = it })
    }
    return if (faults.isEmpty()) EditedDocument(document, names).right() else faults.left()
}

internal fun ConfigurationDocument.entryNames(section: Section): Collection<String> = when (section) {
    Section.CUSTOMERS -> customers.keys.map { it.value }
    Section.CLASSES -> classes.keys.map { it.value }
    Section.BUDGETS -> budgets.keys.map { it.value }
    Section.BACKEND_SERVERS -> pools.keys.map { it.value }
    Section.ROUTES -> routes.map { it.name }
}

private fun parseToml(text: String): Either<DocumentFault, ObjectNode> = decodeUntrusted {
    try {
        // The parser returns a missing node instead of an empty table for an empty text.
        (toml.readTree(text) as? ObjectNode ?: toml.createObjectNode()).right()
    } catch (e: JsonProcessingException) {
        DocumentFault(e.location?.let(::lineOf), "", e.originalMessage).left()
    }
}.getOrElse { DocumentFault(null, "", it.message).left() }

/** Returns the line of a syntax error. The parser detects some errors only at the start of the next line. */
private fun lineOf(location: JsonLocation): Int =
    if (location.columnNr <= 1 && location.lineNr > 1) location.lineNr - 1 else location.lineNr

private fun withLine(text: String, fault: SettingsFault) =
    DocumentFault(lineOf(text, fault.name), fault.name, fault.message)

/** Returns the line of [text] that sets the dotted [name], or else the line of the table that contains it. */
internal fun lineOf(text: String, name: String): Int? {
    val wanted = name.dottedName()
    val names = namesByLine(text)
    val enclosing = names.filter { (_, full) -> full == wanted || wanted.startsWith("$full.") }
    val best =
        enclosing.maxByOrNull { (_, full) -> full.length } ?: names.firstOrNull { it.second.startsWith("$wanted.") }
    return best?.first
}

/** Returns the number of each line that begins a table or sets a value, and the dotted name of the table or value. */
private fun namesByLine(text: String): List<Pair<Int, String>> = buildList {
    var table = ""
    text.lines().forEachIndexed { index, line ->
        val trimmed = line.trim()
        if (trimmed.startsWith("[")) {
            table = trimmed.substringBefore('#').trim().trim('[', ']').dottedName()
            add(index + 1 to table)
        } else if ('=' in trimmed && !trimmed.startsWith("#")) {
            val key = trimmed.substringBefore('=').dottedName()
            add(index + 1 to if (table.isEmpty()) key else "$table.$key")
        }
    }
}

private fun String.dottedName() = filter { it != '"' && it != ' ' }
