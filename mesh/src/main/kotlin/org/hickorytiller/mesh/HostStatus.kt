/** The status that hosts send each other in one datagram: that they are alive, where they serve, and their load. */
package org.hickorytiller.mesh

import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.HostId
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.ProcessId
import org.hickorytiller.placement.PromptPartLocation
import org.hickorytiller.placement.ServerLoad
import java.net.InetSocketAddress

/** Number of a usage window; window n begins n window lengths after the start of 1970. */
@JvmInline
value class WindowNumber(val value: Long) : Comparable<WindowNumber> {
    override fun compareTo(other: WindowNumber) = value.compareTo(other.value)

    override fun toString() = value.toString()
}

/** Requests that began to run, by customer. */
typealias UsageCounts = Map<CustomerId, Long>

/** The message numbered [sequence] of the process run [run] of a host. */
data class MessageId(val run: ProcessId, val sequence: Long)

/**
 * How far a host has read the platform's store, so that its peers need not read it as well.
 *
 * @property configurationEnd end of the configuration topic, read after the messages [lastReceived] had arrived
 * @property serversEnd end of the topic of backend servers as of the latest read
 * @property lastReceived newest message of each host that the sender had received before it read [configurationEnd].
 *   A host that finds its own message there knows by its own clock how old the read is at most.
 */
data class StoreReadProgress(
    val configurationEnd: LogOffset,
    val serversEnd: LogOffset,
    val lastReceived: Map<HostId, MessageId>,
)

/**
 * @property run process run of the sender, different after each process start
 * @property sequence grows with each message of a process run
 * @property meshAddress address at which the sender receives messages of its peers
 * @property callerAddress address at which the sender serves callers
 * @property canServe false once the sender is stopping, or while it cannot serve
 * @property leaseLogEnd end of the lease log after the sender's latest renewal; null if it does not hold the lease of
 *   the duties
 * @property wallMs the sender's wall clock in milliseconds since 1970
 * @property load the sender's requests in flight
 * @property parts servers to which the sender has recently sent parts of prompts
 * @property usage requests that the sender has counted in the latest windows
 * @property readProgress null if the sender does not read for others, or has not read recently
 * @property peers mesh addresses of other hosts that the sender has received messages from
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
    val usage: Map<WindowNumber, UsageCounts>,
    val readProgress: StoreReadProgress?,
    val peers: List<InetSocketAddress>,
)
