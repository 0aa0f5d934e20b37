/** What a backend server states about itself in an answer. */
package org.hickorytiller.placement

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId

/** One run of a server. A server that restarts with the same id is another run, whatever its address is. */
data class ServerRun(val id: BackendServerId, val startedMs: Long)

/** The run that this entry describes. */
val BackendServer.run: ServerRun get() = ServerRun(id, startedMs)

/**
 * The statements in one answer.
 *
 * @property ratePerS requests per second that the server takes from all hosts together; null if it states no limit
 * @property isLeaving whether the server is about to stop
 * @property pauseMs time for which the server wants no requests from this host; null if it does not ask for any
 */
data class ServerStatement(val ratePerS: Double? = null, val isLeaving: Boolean = false, val pauseMs: Long? = null)

/** Called for each answer with what the server states in it. */
typealias OnStatement = (BackendServer, ServerStatement) -> Unit
