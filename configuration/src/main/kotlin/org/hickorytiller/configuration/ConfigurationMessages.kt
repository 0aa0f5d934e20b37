/**
 * Records of the `configuration` stream. Every process evaluates them in the same way, so whether a proposal is
 * accepted depends only on the stream.
 */
package org.hickorytiller.configuration

import com.fasterxml.jackson.annotation.JsonSubTypes
import com.fasterxml.jackson.annotation.JsonTypeInfo
import org.hickorytiller.core.StreamName

/** Name of the stream of configuration records on the platform's log. */
val CONFIGURATION_STREAM = StreamName("configuration")

/** Schema version of the records that this code supports. */
const val CONFIGURATION_SCHEMA = 1

/** A record of the stream. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes(
    JsonSubTypes.Type(SectionProposed::class, name = "SectionProposed"),
    JsonSubTypes.Type(KeyGranted::class, name = "KeyGranted"),
    JsonSubTypes.Type(KeyWithdrawn::class, name = "KeyWithdrawn"),
    JsonSubTypes.Type(Snapshot::class, name = "Snapshot"),
)
sealed interface ConfigurationRecord {
    val schema: Int
}

/**
 * Proposes a change of one section. It is accepted only if the section was last changed at [baseOffset] and the
 * merged document is valid. The record contains only the difference from that base, so that a change of one customer
 * among 24,000 is a small record. A change that exceeds the record size limit is split into [parts], which are
 * evaluated together at the offset of the last part on the stream.
 *
 * @property content TOML text with the entries of the section that are new or changed
 * @property removed names of the entries to remove
 */
data class SectionProposed(
    val proposalId: String,
    val section: String,
    val baseOffset: Long,
    val author: String,
    val content: String,
    val removed: List<String> = emptyList(),
    val part: Int = 0,
    val parts: Int = 1,
    override val schema: Int = CONFIGURATION_SCHEMA,
) : ConfigurationRecord

/** Grants a key to a customer, unless the key has been withdrawn or belongs to another customer. */
data class KeyGranted(
    val customer: String,
    val keyHash: String,
    val label: String,
    override val schema: Int = CONFIGURATION_SCHEMA,
) : ConfigurationRecord

/** Withdraws a key permanently. */
data class KeyWithdrawn(val keyHash: String, override val schema: Int = CONFIGURATION_SCHEMA) : ConfigurationRecord

/**
 * A part of the state after the record at [throughOffset]. The snapshot can be used once all parts of its [snapshotId]
 * are on the stream. Two writers never use the same [snapshotId], so parts of different snapshots are never combined.
 *
 * @property state this part of the compressed state in Base64
 * @property stateHash SHA-256 of the whole state before compression, in hexadecimal
 */
data class Snapshot(
    val snapshotId: String,
    val part: Int,
    val parts: Int,
    val throughOffset: Long,
    val state: String,
    val stateHash: String,
    override val schema: Int = CONFIGURATION_SCHEMA,
) : ConfigurationRecord
