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
)
sealed interface ConfigurationRecord {
    val schema: Int
}

/**
 * Proposes new [content] for a section. It is accepted only if the section was last changed at [baseOffset] and the
 * merged document is valid.
 */
data class SectionProposed(
    val proposalId: String,
    val section: String,
    val baseOffset: Long,
    val author: String,
    val content: String,
    override val schema: Int = CONFIGURATION_SCHEMA,
) : ConfigurationRecord

/** Grants a key to a customer, unless the key has been withdrawn. */
data class KeyGranted(
    val customer: String,
    val keyHash: String,
    val label: String,
    override val schema: Int = CONFIGURATION_SCHEMA,
) : ConfigurationRecord

/** Withdraws a key for good. */
data class KeyWithdrawn(val keyHash: String, override val schema: Int = CONFIGURATION_SCHEMA) : ConfigurationRecord
