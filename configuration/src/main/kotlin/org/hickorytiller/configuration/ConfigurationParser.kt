/**
 * Parses the configuration document of operators and the changes of sections on the stream. All faults of a document
 * are reported at once, each with the line and the section that it is in.
 */
package org.hickorytiller.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.core.JsonLocation
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.node.ObjectNode
import org.hickorytiller.core.SettingsFault
import org.hickorytiller.core.SettingsReader
import org.hickorytiller.core.readSettings
import org.hickorytiller.core.toml

/**
 * A fault of a document.
 *
 * @property line line of the text, counted from 1; null if the fault belongs to no line
 * @property name dotted name of the entry or value; empty if the text is not TOML
 */
data class DocumentFault(val line: Int?, val name: String, val message: String) {
    override fun toString() = listOfNotNull(line?.let { "line $it" }, name.ifEmpty { null }, message).joinToString(": ")
}

/** What a file says: the document, and the sections that the file has. A section that it lacks stays as it is. */
data class ParsedDocument(val sections: Set<Section>, val document: ConfigurationDocument)

/** Parses a document whose missing sections are those of [base], and checks the whole. */
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
    // A value that could not be read has a placeholder; what that breaks would only repeat the fault.
    val names = faults.mapTo(HashSet()) { it.name }
    val all = faults + (ownersOf(document).faults + referenceFaults(document)).filter { it.name !in names }
    if (all.isNotEmpty()) return all.map { located(text, it) }.left()
    return ParsedDocument(sections.toSet(), document).right()
}

/** A document after a change, and the names of the entries that the change names. */
internal class EditedDocument(val document: ConfigurationDocument, val names: Set<String>)

/** The document with the change of a section in [contents] and [removed], not checked against other sections. */
internal fun ConfigurationDocument.changed(
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

private fun parseToml(text: String): Either<DocumentFault, ObjectNode> = try {
    // An empty text gives a missing node instead of an empty table.
    (toml.readTree(text) as? ObjectNode ?: toml.createObjectNode()).right()
} catch (e: JsonProcessingException) {
    DocumentFault(e.location?.let(::lineOf), "", e.originalMessage).left()
}

/** The line of a syntax fault. The parser notices some faults only at the start of the next line. */
private fun lineOf(location: JsonLocation): Int =
    if (location.columnNr <= 1 && location.lineNr > 1) location.lineNr - 1 else location.lineNr

private fun located(text: String, fault: SettingsFault) =
    DocumentFault(lineOf(text, fault.name), fault.name, fault.message)

/** The line of [text] that sets the dotted [name], or else the one that begins the table it belongs to. */
internal fun lineOf(text: String, name: String): Int? {
    val wanted = name.dottedName()
    val names = namesByLine(text)
    val enclosing = names.filter { (_, full) -> full == wanted || wanted.startsWith("$full.") }
    val best =
        enclosing.maxByOrNull { (_, full) -> full.length } ?: names.firstOrNull { it.second.startsWith("$wanted.") }
    return best?.first
}

/** The number of each line that begins a table or sets a value, with the dotted name of the table or value. */
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
