/** Tells the choice of servers how an attempt went. */
package org.hickorytiller.router

import org.hickorytiller.balancing.BackendServerTable
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.dispatch.AttemptReport

/** Judges the server [id] by one attempt. An attempt that the caller or the router ended says nothing about it. */
internal fun BackendServerTable.observe(id: BackendServerId, report: AttemptReport) {
    val firstTokenMs = report.firstTokenMs
    if (firstTokenMs != null) {
        recordTimeToFirstToken(id, firstTokenMs)
        if (report.tokens > 1) {
            recordInterTokenLatency(id, (report.durationMs - firstTokenMs).toDouble() / (report.tokens - 1))
        }
    }
    if (report.failure?.isServerFailure == true) failed(id)
}
