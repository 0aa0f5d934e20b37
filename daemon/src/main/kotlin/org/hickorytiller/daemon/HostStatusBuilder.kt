/** Builds the status that this host sends to its peers. */
package org.hickorytiller.daemon

import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.ProcessId
import org.hickorytiller.mesh.HostStatus
import org.hickorytiller.mesh.PeerTable
import org.hickorytiller.mesh.StoreReadProgress
import org.hickorytiller.metering.WindowUsageCounters
import org.hickorytiller.placement.Placement
import org.hickorytiller.quarantine.CrashReport

/** What the process believes at the moment of sending. */
internal class OwnBeliefs(
    val canServe: () -> Boolean,
    val leaseLogEnd: () -> LogOffset?,
    val trueWallMs: () -> Long,
    val crashReports: () -> List<CrashReport>,
    val readProgress: () -> StoreReadProgress?,
)

/** Builds statuses of the run [process]. */
internal class HostStatusBuilder(
    private val settings: DaemonSettings,
    private val process: ProcessId,
    private val placement: Placement,
    private val counters: WindowUsageCounters,
    private val peers: PeerTable,
    private val progressSharing: ReadProgressSharing,
    private val beliefs: OwnBeliefs,
) {
    private var sequence = 0L

    /** The status of this moment. */
    fun build() = HostStatus(
        host = settings.host,
        run = process,
        sequence = (++sequence).also(progressSharing::sent),
        meshAddress = settings.listen.mesh,
        callerAddress = settings.listen.callers,
        canServe = beliefs.canServe(),
        leaseLogEnd = beliefs.leaseLogEnd(),
        wallMs = System.currentTimeMillis(),
        load = placement.ownLoad(),
        parts = placement.recentPartLocations(),
        crashReports = beliefs.crashReports(),
        usage = counters.recentCounts(beliefs.trueWallMs()),
        readProgress = beliefs.readProgress(),
        peers = peers.alive().take(MAX_PEERS).map { it.meshAddress },
    )

    private companion object {
        // Enough for a host that has just started to find the others through any one of them.
        const val MAX_PEERS = 16
    }
}
