/** A backend server as the platform lists it. */
package org.hickorytiller.core

import java.net.InetSocketAddress

/** State of a backend server as reported by the platform. */
enum class BackendServerState {
    /** Ordered, but not yet serving. */
    STARTING,

    /** Serving. */
    RUNNING,

    /** About to stop or to be reclaimed; it must receive no new work. */
    LEAVING,
}

/**
 * @property slots number of requests that the server processes concurrently
 * @property reclaimable whether the platform may reclaim the server at a few seconds' notice
 * @property startedMs start of this run of the server in milliseconds since 1970, or 0 if the platform does not report
 *   it. A server that restarts with the same id has lost all its state.
 * @property noticeMs time from this entry to the stop of a leaving server; null if the platform does not state it
 */
data class BackendServer(
    val id: BackendServerId,
    val pool: PoolId,
    val address: InetSocketAddress,
    val failureDomain: FailureDomain,
    val state: BackendServerState,
    val slots: Int,
    val reclaimable: Boolean,
    val startedMs: Long = 0,
    val noticeMs: Long? = null,
)
