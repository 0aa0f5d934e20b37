/** A backend server as the platform lists it. */
package org.hickorytiller.core

import java.net.InetSocketAddress

/** State of a backend server as far as the platform tells. */
enum class BackendServerState {
    /** Ordered, but not yet serving. */
    STARTING,

    /** Serving. */
    RUNNING,

    /** Going to stop or to be reclaimed; it must receive no new work. */
    LEAVING,
}

/**
 * @property slots number of requests that the server works on at once
 * @property reclaimable whether the platform may take the server back on a few seconds' notice
 * @property startedMs when this run of the server began, in milliseconds since 1970; a server that starts again under
 *   its old id has forgotten everything. 0 if the platform does not tell.
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
)
