/** Builds the status that this host sends to its peers. */
package org.hickorytiller.daemon

import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.ProcessId
import org.hickorytiller.mesh.HostStatus
import org.hickorytiller.mesh.PeerTable
import org.hickorytiller.mesh.StoreReadProgress
import org.hickorytiller.metering.WindowUsageCounters
import org.hickorytiller.placement.Placement

/** Functions that read the state of this process when a status is sent. */
internal class LocalState(
    val canServe: () -> Boolean,
    val leaseLogEnd: () -> LogOffset?,
    val medianWallMs: () -> Long,
    val readProgress: () -> StoreReadProgress?,
)

/** Builds statuses of the process run [process]. */
internal class HostStatusBuilder(
    private val settings: DaemonSettings,
    private val process: ProcessId,
    private val placement: Placement,
    private val counters: WindowUsageCounters,
    private val peers: PeerTable,
    private val progressSharing: ReadProgressSharing,
    private val localState: LocalState,
) {
    private var sequence = 0L

    /** Returns the current status under the next sequence number. */
    fun build() = HostStatus(
        host = settings.host,
        run = process,
        sequence = (++sequence).also(progressSharing::recordSent),
        meshAddress = settings.listen.mesh,
        callerAddress = settings.listen.callers,
        canServe = localState.canServe(),
        leaseLogEnd = localState.leaseLogEnd(),
        wallMs = System.currentTimeMillis(),
        load = placement.localLoad(),
        parts = placement.recentPartLocations(),
        usage = counters.recentCounts(localState.medianWallMs()),
        readProgress = localState.readProgress(),
        peers = peers.alive().take(MAX_PEERS).map { it.meshAddress },
    )

    private companion object {
        // Enough for a host that has just started to find all others through any one of them.
        const val MAX_PEERS = 16
    }
}
