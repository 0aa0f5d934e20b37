/** What hosts tell each other, in one datagram each: that they live, where they serve, and what they have in hand. */
package org.hickorytiller.mesh

import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.HostId
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.ProcessId
import org.hickorytiller.placement.PromptPartLocation
import org.hickorytiller.placement.ServerLoad
import org.hickorytiller.quarantine.CrashReport
import java.net.InetSocketAddress

/** Number of a usage window; window n begins n window lengths after the start of 1970. */
@JvmInline
value class WindowNumber(val value: Long) : Comparable<WindowNumber> {
    override fun compareTo(other: WindowNumber) = value.compareTo(other.value)

    override fun toString() = value.toString()
}

/** Requests that began to run, by customer. */
typealias UsageCounts = Map<CustomerId, Long>

/** The message numbered [sequence] of the run [run] of a host. */
data class MessageId(val run: ProcessId, val sequence: Long)

/**
 * What a host has read in the platform's store, so that its peers need not read it as well.
 *
 * @property configurationEnd where the configuration ended at a moment after the messages [heard]
 * @property serversEnd where the list of backend servers ended lately
 * @property heard the newest message of each host that the sender had received before it asked for [configurationEnd].
 *   A host finds its own message there, and knows by its own clock how old the answer is at most.
 */
data class StoreReadProgress(
    val configurationEnd: LogOffset,
    val serversEnd: LogOffset,
    val heard: Map<HostId, MessageId>,
)

/**
 * @property run changes with each start of the process
 * @property sequence grows with each message of a run
 * @property meshAddress where the host receives messages of its peers
 * @property callerAddress where the host serves callers
 * @property canServe false once the host is being stopped, or while it cannot serve
 * @property leaseLogEnd where the log of the lease ended after the sender's latest renewal; null if it does not
 *   hold the duties
 * @property wallMs the sender's time of day in milliseconds since 1970
 * @property load the sender's requests in flight
 * @property parts where the sender has sent parts of prompts within the last moments
 * @property crashReports crashes that the sender saw within the last moments, with the requests in flight then
 * @property usage what the sender has counted in the latest windows
 * @property readProgress null if the sender does not read for others, or has not read lately
 * @property peers addresses of other hosts that the sender has heard from
 */
data class HostStatus(
    val host: HostId,
    val run: ProcessId,
    val sequence: Long,
    val meshAddress: InetSocketAddress,
    val callerAddress: InetSocketAddress,
    val canServe: Boolean,
    val leaseLogEnd: LogOffset?,
    val wallMs: Long,
    val load: Map<BackendServerId, ServerLoad>,
    val parts: List<PromptPartLocation>,
    val crashReports: List<CrashReport>,
    val usage: Map<WindowNumber, UsageCounts>,
    val readProgress: StoreReadProgress?,
    val peers: List<InetSocketAddress>,
)
