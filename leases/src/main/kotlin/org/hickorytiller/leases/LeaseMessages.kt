/** Records of the `leases` stream. */
package org.hickorytiller.leases

import com.fasterxml.jackson.annotation.JsonSubTypes
import com.fasterxml.jackson.annotation.JsonTypeInfo
import org.hickorytiller.core.StreamName

/** Name of the stream. */
val LEASE_STREAM = StreamName("leases")

/** Version of the record formats that this code understands. */
const val LEASE_SCHEMA = 1

/** A duty that at most one process performs at a time, for example the orders of one failure domain. */
@JvmInline
value class Duty(val value: String) {
    override fun toString() = value
}

/** Identifier of one claim; it shows whether an append with a lost response took effect. */
@JvmInline
value class ClaimId(val value: String) {
    override fun toString() = value
}

/** A record of the stream. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes(
    JsonSubTypes.Type(Claim::class, name = "Claim"),
    JsonSubTypes.Type(Renewal::class, name = "Renewal"),
    JsonSubTypes.Type(Release::class, name = "Release"),
)
sealed interface LeaseRecord {
    val duty: String
    val holder: String
    val claimId: String
    val schema: Int
}

/** Claims a duty. [seenThrough] is the offset of the last record of the stream that the sender had read. */
data class Claim(
    override val duty: String,
    override val holder: String,
    override val claimId: String,
    val termMs: Long,
    val seenThrough: Long,
    override val schema: Int = LEASE_SCHEMA,
) : LeaseRecord

/**
 * Extends the lease of [claimId] by a term. [sequence] numbers the renewals of the claim from 1, so that the sender can
 * match a record that it reads back to the attempt from which its term counts.
 */
data class Renewal(
    override val duty: String,
    override val holder: String,
    override val claimId: String,
    val termMs: Long,
    val seenThrough: Long,
    val sequence: Long,
    override val schema: Int = LEASE_SCHEMA,
) : LeaseRecord

/** Ends the lease of [claimId] on a planned stop. */
data class Release(
    override val duty: String,
    override val holder: String,
    override val claimId: String,
    override val schema: Int = LEASE_SCHEMA,
) : LeaseRecord
