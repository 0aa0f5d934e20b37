/** The messages on a link as Kotlin types, independent of gRPC and protobuf. */
package org.hickorytiller.peering

import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.ClassId
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.KeyHash
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.ProcessId
import org.hickorytiller.core.Tier

/** The process at the other end of a link. */
data class PeerIdentity(val id: MemberId, val process: ProcessId)

/** A quarantined request by its fingerprint. It has a remaining time instead of an end, since clocks differ. */
data class QuarantineNotice(val fingerprint: String, val remainingMs: Long)

/** Notice that the backend servers of a failure domain are about to be reclaimed. */
data class EvictionNotice(val failureDomain: FailureDomain, val remainingMs: Long)

/**
 * Demand of one class in one pool at the sender.
 *
 * @property offeredSlots slots that the recently arrived requests would occupy, including rejected ones
 */
data class ClassDemand(
    val pool: PoolId,
    val requestClass: ClassId,
    val tier: Tier,
    val waiting: Int,
    val running: Int,
    val offeredSlots: Int,
)

/** Recent usage of a customer at the sender: current values that decay over time, not increments. */
data class CustomerCharge(
    val pool: PoolId,
    val requestClass: ClassId,
    val customer: CustomerId,
    val chargedTokens: Long,
    val running: Int,
    val requestsPerMinute: Int,
)

/** The sender's requests on one backend server. */
data class ServerInFlight(val backendServer: BackendServerId, val inFlight: Int)

/** Demand and charges at the sender. A report replaces the previous one. */
data class DemandReport(
    val sequence: Long,
    val classes: List<ClassDemand> = emptyList(),
    val customers: List<CustomerCharge> = emptyList(),
    val backends: List<ServerInFlight> = emptyList(),
)

/**
 * A message on a link.
 *
 * @property sender identity of the sender; only in the first message of a stream
 * @property sequence number of the message in its stream and direction, from 1
 * @property tableDigest digest of the sender's live member records, for comparison; null in most messages
 * @property recordDigests one digest for each live member record of the sender, sent if the table digests differ; the
 *   receiver responds with the records that are missing
 */
data class PeerMessage(
    val sender: PeerIdentity? = null,
    val incarnation: Long,
    val sequence: Long,
    val configurationOffset: LogOffset = LogOffset.NONE,
    val loadPermille: Int = 0,
    val members: List<MemberRecord> = emptyList(),
    val suspicions: List<Suspicion> = emptyList(),
    val tableDigest: Long? = null,
    val recordDigests: List<Long> = emptyList(),
    val withdrawnKeys: List<KeyHash> = emptyList(),
    val quarantines: List<QuarantineNotice> = emptyList(),
    val evictions: List<EvictionNotice> = emptyList(),
    val demand: DemandReport? = null,
)

/** The content of the next message on a link, to which each component adds its updates. */
class PeerMessageBuilder {
    var configurationOffset = LogOffset.NONE
    var loadPermille = 0
    val members = ArrayList<MemberRecord>()
    val suspicions = ArrayList<Suspicion>()
    var tableDigest: Long? = null
    var recordDigests: List<Long> = emptyList()
    val withdrawnKeys = ArrayList<KeyHash>()
    val quarantines = ArrayList<QuarantineNotice>()
    val evictions = ArrayList<EvictionNotice>()
    var demand: DemandReport? = null

    /** Set by a component whose updates did not fit. The next message is then sent before the next heartbeat. */
    var hasMore = false

    /** Returns the complete message. */
    fun build(sender: PeerIdentity?, incarnation: Long, sequence: Long) = PeerMessage(
        sender,
        incarnation,
        sequence,
        configurationOffset,
        loadPermille,
        members,
        suspicions,
        tableDigest,
        recordDigests,
        withdrawnKeys,
        quarantines,
        evictions,
        demand,
    )
}
