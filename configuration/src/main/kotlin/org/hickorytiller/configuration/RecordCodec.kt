/**
 * Encodes and decodes the records of the stream. Decoding tells apart what may be skipped, because every reader skips
 * it alike, from a schema that this code does not know, which stops the stream.
 */
package org.hickorytiller.configuration

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.hickorytiller.core.json
import org.hickorytiller.keys.parseKeyHash
import java.io.IOException

/** What the bytes of a record say. */
sealed interface DecodedRecord {
    /** A record that can be evaluated. */
    data class Valid(val record: ConfigurationRecord) : DecodedRecord

    /** A record that every reader skips. */
    data class Malformed(val reason: String) : DecodedRecord

    /** A record of a newer format; nothing from it on may be applied. */
    data class UnknownSchema(val schema: Long) : DecodedRecord
}

/** The bytes of [record] as they are appended to the stream. */
fun encodeConfigurationRecord(record: ConfigurationRecord): ByteArray = json.writeValueAsBytes(record)

/** Reads the bytes of a record. The result depends on [data] alone. */
fun decodeConfigurationRecord(data: ByteArray): DecodedRecord {
    if (data.size > MAX_RECORD_BYTES) return DecodedRecord.Malformed("${data.size} bytes exceed $MAX_RECORD_BYTES")
    return try {
        decodeTree(json.readTree(data))
    } catch (e: JsonProcessingException) {
        DecodedRecord.Malformed(e.originalMessage)
    } catch (e: IOException) {
        // Bytes that are no text in any encoding of JSON.
        DecodedRecord.Malformed(e.message ?: "not text")
    }
}

private fun decodeTree(tree: JsonNode?): DecodedRecord {
    val schema = (tree as? ObjectNode)?.get("schema")
    if (schema == null || !schema.isIntegralNumber || !schema.canConvertToLong()) {
        return DecodedRecord.Malformed("not an object with a schema number")
    }
    // The schema comes first: the rest of a newer record may look malformed to this code.
    if (schema.longValue() != CONFIGURATION_SCHEMA.toLong()) return DecodedRecord.UnknownSchema(schema.longValue())
    val record = json.treeToValue(tree, ConfigurationRecord::class.java)
    val fault = fieldFault(record) ?: return DecodedRecord.Valid(record)
    return DecodedRecord.Malformed(fault)
}

private fun fieldFault(record: ConfigurationRecord): String? = when (record) {
    is SectionProposed -> idFault(record.proposalId) ?: textFault(record.author) ?: partFault(record.part, record.parts)
    is KeyGranted -> hashFault(record.keyHash) ?: textFault(record.label)
    is KeyWithdrawn -> hashFault(record.keyHash)
    is Snapshot -> idFault(record.snapshotId) ?: partFault(record.part, record.parts)
}

private fun idFault(id: String): String? =
    if (id.length in 1..MAX_ID_LENGTH) null else "the id needs 1 to $MAX_ID_LENGTH characters"

private fun textFault(text: String): String? =
    if (text.length <= MAX_TEXT_LENGTH) null else "a text exceeds $MAX_TEXT_LENGTH characters"

private fun hashFault(hash: String): String? =
    if (parseKeyHash(hash) != null) null else "keyHash is not a SHA-256 hash in lower-case hexadecimal"

private fun partFault(part: Int, parts: Int): String? =
    if (parts in 1..MAX_PARTS && part in 0 until parts) null else "part $part of $parts"

/** Size limit of a record on the platform's log, in bytes. A larger one is skipped, whoever stored it. */
const val MAX_RECORD_BYTES = 262_144

/** Most parts of one proposal or snapshot; at 24,000 customers a whole customers section takes 32. */
const val MAX_PARTS = 128

/** Longest label or author, in characters. */
const val MAX_TEXT_LENGTH = 200

private const val MAX_ID_LENGTH = 100
