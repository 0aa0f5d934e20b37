/** Feeds the result of an attempt back into server selection. */
package org.hickorytiller.router

import org.hickorytiller.balancing.BackendServerTable
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.dispatch.AttemptReport

/**
 * Records the latencies of an attempt on the server [id], and its failure if the server caused it. An attempt that the
 * caller or the router ended is not a failure of the server.
 */
internal fun BackendServerTable.recordAttempt(id: BackendServerId, report: AttemptReport) {
    val firstTokenMs = report.firstTokenMs
    if (firstTokenMs != null) {
        recordTimeToFirstToken(id, firstTokenMs)
        if (report.tokens > 1) {
            recordInterTokenLatency(id, (report.durationMs - firstTokenMs).toDouble() / (report.tokens - 1))
        }
    }
    if (report.failure?.isServerFailure == true) failed(id)
}
