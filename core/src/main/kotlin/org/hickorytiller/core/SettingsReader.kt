/**
 * Reads the settings of a process from TOML and collects all faults, so that an operator sees them at once instead of
 * one at each start.
 */
package org.hickorytiller.core

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import java.net.InetSocketAddress

/** One fault of a settings file: the dotted name of the setting and what is wrong with it. */
data class SettingsFault(val name: String, val message: String) {
    override fun toString() = if (name.isEmpty()) message else "$name: $message"
}

/**
 * Parses [text] as TOML and builds a value with [build]. Returns every fault found if there is at least one: missing
 * and mistyped values, values outside their range, and names that [build] did not read.
 */
fun <T> readSettings(text: String, build: (SettingsReader) -> T): Either<List<SettingsFault>, T> {
    val root = parseToml(text).getOrElse { return listOf(it).left() }
    return readSettings(root, build)
}

private fun parseToml(text: String): Either<SettingsFault, ObjectNode> = decodeUntrusted {
    try {
        // The parser returns a missing node instead of an empty table for an empty text.
        (toml.readTree(text) as? ObjectNode ?: toml.createObjectNode()).right()
    } catch (e: JsonProcessingException) {
        SettingsFault("", "line ${e.location?.lineNr ?: 0}: ${e.originalMessage}").left()
    }
}.getOrElse { SettingsFault("", it.message).left() }

/** Builds a value from the parsed table [root] in the same way. */
fun <T> readSettings(root: ObjectNode, build: (SettingsReader) -> T): Either<List<SettingsFault>, T> {
    val faults = mutableListOf<SettingsFault>()
    val reader = SettingsReader(root, "", faults)
    val value = build(reader)
    reader.reportUnknownNames()
    return if (faults.isEmpty()) value.right() else faults.left()
}

/** Reads the values of one TOML table. Every getter records a fault and returns a placeholder for an invalid value. */
class SettingsReader internal constructor(
    private val table: ObjectNode,
    private val path: String,
    private val faults: MutableList<SettingsFault>,
) {
    private val readNames = mutableSetOf<String>()
    private val children = mutableListOf<SettingsReader>()

    /** Returns the string called [name], or [default] if it is missing; a fault if there is no default. */
    fun string(name: String, default: String? = null): String {
        val node = readNode(name) ?: return default ?: missing(name, "")
        if (!node.isTextual || node.textValue().isEmpty()) return fault(name, "expected a non-empty string", "")
        return node.textValue()
    }

    /**
     * Returns the integer called [name] or its [default]; a fault if both are missing, or if the value is not in
     * [range], even if it is the default.
     */
    fun long(name: String, range: LongRange, default: Long? = null): Long {
        val node = readNode(name)
        if (node == null && default == null) return missing(name, range.first)
        if (node != null && !node.isIntegralNumber) return fault(name, "expected an integer", range.first)
        val value = node?.longValue() ?: default ?: range.first
        if (value in range) return value
        val source = if (node == null) "the default is" else "found"
        return fault(name, "expected a value from ${range.first} to ${range.last}, $source $value", range.first)
    }

    /** Returns the integer called [name] or its [default], as [long] does. */
    fun int(name: String, range: IntRange, default: Int? = null): Int =
        long(name, range.first.toLong()..range.last.toLong(), default?.toLong()).toInt()

    /** Returns the number called [name], with or without a fraction, which has to be in [range]. */
    fun number(name: String, range: ClosedFloatingPointRange<Double>): Double {
        val node = readNode(name) ?: return missing(name, range.start)
        if (!node.isNumber) return fault(name, "expected a number", range.start)
        val value = node.doubleValue()
        if (value in range) return value
        return fault(name, "expected a value from ${range.start} to ${range.endInclusive}, found $value", range.start)
    }

    /** Returns the boolean called [name], or [default] if it is missing. */
    fun boolean(name: String, default: Boolean? = null): Boolean {
        val node = readNode(name) ?: return default ?: missing(name, false)
        if (!node.isBoolean) return fault(name, "expected true or false", false)
        return node.booleanValue()
    }

    /** Returns the address called [name], such as `10.0.0.1:8080`. Host names are rejected: names are not resolved. */
    fun address(name: String, default: String? = null): InetSocketAddress {
        val text = string(name, default)
        return parseAddress(text) ?: fault(name, "expected IP:PORT, found \"$text\"", InetSocketAddress(0))
    }

    /** Returns the string called [name] converted by [parse]; null if missing. [expected] describes valid values. */
    fun <T : Any> optional(name: String, expected: String, parse: (String) -> T?): T? {
        val node = readNode(name) ?: return null
        return node.textValue()?.let(parse) ?: fault(name, "expected $expected", null)
    }

    /** Returns the list of addresses called [name]; empty if it is missing. */
    fun addresses(name: String): List<InetSocketAddress> {
        val node = readNode(name) ?: return emptyList()
        if (!node.isArray) return fault(name, "expected a list of IP:PORT", emptyList())
        return node.mapNotNull { element ->
            parseAddress(element.asText()) ?: fault(name, "expected IP:PORT, found \"${element.asText()}\"", null)
        }
    }

    /** Returns the list of strings called [name]; empty if it is missing. */
    fun strings(name: String): List<String> {
        val node = readNode(name) ?: return emptyList()
        if (!node.isArray || node.any { !it.isTextual }) return fault(name, "expected a list of strings", emptyList())
        return node.map { it.textValue() }
    }

    /** Returns the string called [name], which has to be one of [choices]. */
    fun choice(name: String, choices: List<String>): String {
        val value = string(name, default = null)
        if (value in choices) return value
        return fault(name, "expected one of ${choices.joinToString()}, found \"$value\"", choices.first())
    }

    /** Builds a value from the name and content of each table in this one. */
    fun <T> tables(build: (String, SettingsReader) -> T): List<T> =
        table.fieldNames().asSequence().toList().map { name -> build(name, table(name)) }

    /** Returns the table called [name]; an empty one if it is missing, so that its required values are reported. */
    fun table(name: String): SettingsReader {
        val node = readNode(name)
        val child = node as? ObjectNode ?: jsonTreeMapper.createObjectNode()
        if (node != null && node !is ObjectNode) fault(name, "expected a table", Unit)
        return SettingsReader(child, qualified(name), faults).also { children += it }
    }

    internal fun reportUnknownNames() {
        table.fieldNames().forEach { name -> if (name !in readNames) fault(name, "unknown name", Unit) }
        children.forEach { it.reportUnknownNames() }
    }

    private fun readNode(name: String): JsonNode? {
        readNames += name
        return table.get(name)
    }

    private fun <T> missing(name: String, placeholder: T): T = fault(name, "missing", placeholder)

    private fun <T> fault(name: String, message: String, placeholder: T): T {
        faults += SettingsFault(qualified(name), message)
        return placeholder
    }

    private fun qualified(name: String) = if (path.isEmpty()) name else "$path.$name"
}

/** Parses `IP:PORT`, with an IPv6 address in brackets; null if [text] is anything else. */
fun parseAddress(text: String): InetSocketAddress? {
    val host = text.substringBeforeLast(':', "").removeSurrounding("[", "]")
    val port = text.substringAfterLast(':').toIntOrNull() ?: return null
    if (!host.isIpLiteral() || port !in 0..MAX_PORT) return null
    return runCatching { InetSocketAddress(host, port) }.getOrNull()?.takeIf { !it.isUnresolved }
}

// Anything else would be looked up by name, which can block the calling thread for seconds.
private fun String.isIpLiteral(): Boolean {
    if (':' in this) return all { it in IPV6_CHARACTERS }
    val octets = split('.')
    return octets.size == IPV4_OCTETS &&
        octets.all { octet -> octet.length in 1..3 && octet.all { it in '0'..'9' } && octet.toInt() <= MAX_OCTET }
}

/** Formats an address as `IP:PORT`, the inverse of [parseAddress]. */
fun InetSocketAddress.formatAddress(): String {
    val ip = address?.hostAddress ?: hostString
    return if (':' in ip) "[$ip]:$port" else "$ip:$port"
}

private const val MAX_PORT = 65_535
private const val IPV4_OCTETS = 4
private const val MAX_OCTET = 255
private const val IPV6_CHARACTERS = "0123456789abcdefABCDEF.:"
