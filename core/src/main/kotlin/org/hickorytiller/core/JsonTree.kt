/**
 * A JSON mapper for trees only. It knows no Kotlin classes, so a process that decodes its messages by hand starts
 * without Kotlin's reflection library, which costs a small host about a third of a second of processor time.
 */
package org.hickorytiller.core

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper

/** Reads and writes JSON trees. Thread-safe. */
val jsonTreeMapper: ObjectMapper = ObjectMapper()

/** The text of the field [name]; null if it is missing or is no text. */
fun JsonNode.textOrNull(name: String): String? = path(name).takeIf { it.isTextual }?.textValue()

/** The whole number in the field [name]; null if it is missing or is no whole number. */
fun JsonNode.longOrNull(name: String): Long? =
    path(name).takeIf { it.isIntegralNumber && it.canConvertToLong() }?.longValue()

/** The number in the field [name]; null if it is missing or is no number. */
fun JsonNode.doubleOrNull(name: String): Double? = path(name).takeIf { it.isNumber }?.doubleValue()

/** The truth value in the field [name]; null if it is missing or is none. */
fun JsonNode.booleanOrNull(name: String): Boolean? = path(name).takeIf { it.isBoolean }?.booleanValue()
