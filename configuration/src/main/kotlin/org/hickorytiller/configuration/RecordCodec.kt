/**
 * Encodes and decodes the records of the stream. Decoding distinguishes malformed records, which every reader skips,
 * from records with an unknown schema, at which every reader stops.
 */
package org.hickorytiller.configuration

import arrow.core.getOrElse
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.hickorytiller.core.decodeUntrusted
import org.hickorytiller.core.json
import org.hickorytiller.keys.parseKeyHash

/** Result of decoding a record. */
sealed interface DecodedRecord {
    /** A record that can be evaluated. */
    data class Valid(val record: ConfigurationRecord) : DecodedRecord

    /** A record that every reader skips. */
    data class Malformed(val reason: String) : DecodedRecord

    /** A record with an unsupported schema; neither it nor any later record may be applied. */
    data class UnknownSchema(val schema: Long) : DecodedRecord
}

/** Returns the encoding of [record] on the stream. */
fun encodeConfigurationRecord(record: ConfigurationRecord): ByteArray = json.writeValueAsBytes(record)

/** Decodes a record. The result depends only on [data]. */
fun decodeConfigurationRecord(data: ByteArray): DecodedRecord {
    if (data.size > MAX_RECORD_BYTES) return DecodedRecord.Malformed("${data.size} bytes exceed $MAX_RECORD_BYTES")
    return decodeUntrusted { decodeTree(json.readTree(data)) }.getOrElse { DecodedRecord.Malformed(it.message) }
}

private fun decodeTree(tree: JsonNode?): DecodedRecord {
    val schema = (tree as? ObjectNode)?.get("schema")
    if (schema == null || !schema.isIntegralNumber || !schema.canConvertToLong()) {
        return DecodedRecord.Malformed("not an object with a schema number")
    }
    // The schema is checked first, since a record with a newer schema may otherwise look malformed.
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
    if (text.length <= MAX_TEXT_LENGTH) null else "the author or label exceeds $MAX_TEXT_LENGTH characters"

private fun hashFault(hash: String): String? =
    if (parseKeyHash(hash) != null) null else "keyHash is not a SHA-256 hash in lower-case hexadecimal"

private fun partFault(part: Int, parts: Int): String? =
    if (parts in 1..MAX_PARTS && part in 0 until parts) null else "part $part of $parts is out of range"

/** Size limit of a record on the platform's log, in bytes. Readers skip larger ones. */
const val MAX_RECORD_BYTES = 262_144

/** Maximum number of parts of a proposal or snapshot; the customers section at 24,000 customers has 32. */
const val MAX_PARTS = 128

/** Maximum length of a label or author, in characters. */
const val MAX_TEXT_LENGTH = 200

private const val MAX_ID_LENGTH = 100
