/** What a backend server or the work on it tells about its load. */
package org.hickorytiller.balancing

import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.ModelId

/**
 * Load report of a backend server.
 *
 * @property ageMs age of the figures when the report was read; negative or missing ages count as 0
 * @property waiting requests that wait inside the server
 * @property models models and adapters that are loaded; null if the server does not tell
 */
data class LoadReport(val ageMs: Long, val running: Int, val waiting: Int, val models: Set<ModelId>? = null)

/**
 * Change of a server's prefix cache.
 *
 * @property sequence grows by one with each event of the server; a jump means that events were lost
 */
data class CacheEvent(val server: BackendServerId, val sequence: Long, val stored: LongArray, val removed: LongArray)
