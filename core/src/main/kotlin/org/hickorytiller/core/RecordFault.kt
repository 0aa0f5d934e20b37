/**
 * Decodes records of the platform's log. Every reader skips a malformed record. A record of a newer schema or of an
 * unknown type is not interpreted, since readers would then disagree on the state.
 */
package org.hickorytiller.core

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.exc.InvalidTypeIdException

/** The reason why a record cannot be applied. */
sealed interface RecordFault {
    /** The record does not have the form that its type requires; all readers skip it. */
    data class Malformed(val message: String) : RecordFault

    /** The record requires a newer reader; the current reader stops applying the stream. */
    data class UnknownSchema(val type: String, val schema: Int) : RecordFault
}

/** Decodes [data] as a record of [type] with a schema of at most [newestSchema]. */
fun <T : Any> decodeRecord(data: ByteArray, type: Class<T>, newestSchema: Int): Either<RecordFault, T> {
    val node =
        decodeUntrusted { json.readTree(data) }.getOrElse { return RecordFault.Malformed(it.message).left() }
    if (node == null || !node.isObject) return RecordFault.Malformed("not an object").left()
    val schema = node.path("schema").asInt(1)
    if (schema > newestSchema) return RecordFault.UnknownSchema(node.typeName(), schema).left()
    return decodeNode(node, type, schema)
}

private fun <T : Any> decodeNode(node: JsonNode, type: Class<T>, schema: Int): Either<RecordFault, T> =
    decodeUntrusted {
        try {
            json.treeToValue(node, type).right()
        } catch (e: InvalidTypeIdException) {
            if (node.typeName().isEmpty()) {
                RecordFault.Malformed(e.originalMessage).left()
            } else {
                RecordFault.UnknownSchema(node.typeName(), schema).left()
            }
        }
    }.getOrElse { RecordFault.Malformed(it.message).left() }

private fun JsonNode.typeName() = path("type").asText("")
