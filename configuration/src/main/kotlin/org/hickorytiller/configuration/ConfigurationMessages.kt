/**
 * Records of the `configuration` stream. Every process evaluates them alike, so whether a proposal is accepted is a
 * function of the stream alone.
 */
package org.hickorytiller.configuration

import com.fasterxml.jackson.annotation.JsonSubTypes
import com.fasterxml.jackson.annotation.JsonTypeInfo
import org.hickorytiller.core.StreamName

/** Name of the stream. */
val CONFIGURATION_STREAM = StreamName("configuration")

/** Version of the record formats that this code understands. */
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
 * merged document is valid. The change is relative to that base, so that a change of one customer among 24,000 is a
 * small record. A change above the record limit is split into [parts], which are evaluated together at the offset of
 * the part that comes last.
 *
 * @property content TOML text with the entries of the section that are new or changed
 * @property removed names of the entries that go away
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

/** Withdraws a key for good. */
data class KeyWithdrawn(val keyHash: String, override val schema: Int = CONFIGURATION_SCHEMA) : ConfigurationRecord

/**
 * A part of the state after the record at [throughOffset]. The snapshot counts once all parts of one [snapshotId] are
 * on the stream. Two writers never share a [snapshotId], so their parts are never mixed.
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
