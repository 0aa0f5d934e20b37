/** Measures one answer of a backend server for the choice of servers and the concurrency limit. */
package org.hickorytiller.router

import org.hickorytiller.balancing.BackendServerTable
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.Clock
import org.hickorytiller.core.TimeMs

internal class AnswerTiming(
    private val clock: Clock,
    private val servers: BackendServerTable,
    private val server: BackendServerId,
) {
    private val sentAt = clock()
    private var firstAt: TimeMs? = null
    private var chunks = 0

    /** Notes a chunk of the answer. */
    fun chunk() {
        chunks++
        if (firstAt != null) return
        val now = clock()
        firstAt = now
        servers.firstToken(server, now - sentAt)
    }

    /** Notes that the answer is complete. */
    fun complete() {
        val first = firstAt ?: return
        if (chunks > 1) servers.betweenTokens(server, (clock() - first).toDouble() / (chunks - 1))
    }

    /** Notes that the server failed. */
    fun failed() = servers.failed(server)
}
