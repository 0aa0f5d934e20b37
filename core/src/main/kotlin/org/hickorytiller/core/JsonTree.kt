/**
 * A JSON mapper for trees only. It does not bind Kotlin classes, so a process that decodes its messages by hand does
 * not load Kotlin's reflection library, which takes about a third of a second of processor time on a small host.
 */
package org.hickorytiller.core

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper

/** Reads and writes JSON trees. Thread-safe. */
val jsonTreeMapper: ObjectMapper = ObjectMapper()

/** Returns the string in the field [name]; null if it is missing or not a string. */
fun JsonNode.textOrNull(name: String): String? = path(name).takeIf { it.isTextual }?.textValue()

/** Returns the integer in the field [name]; null if it is missing, not an integer or out of the range of a long. */
fun JsonNode.longOrNull(name: String): Long? =
    path(name).takeIf { it.isIntegralNumber && it.canConvertToLong() }?.longValue()

/** Returns the integer in the field [name]; null if it is missing, not an integer or out of the range of an int. */
fun JsonNode.intOrNull(name: String): Int? =
    path(name).takeIf { it.isIntegralNumber && it.canConvertToInt() }?.intValue()

/** Returns the number in the field [name]; null if it is missing or not a number. */
fun JsonNode.doubleOrNull(name: String): Double? = path(name).takeIf { it.isNumber }?.doubleValue()

/** Returns the boolean in the field [name]; null if it is missing or not a boolean. */
fun JsonNode.booleanOrNull(name: String): Boolean? = path(name).takeIf { it.isBoolean }?.booleanValue()
