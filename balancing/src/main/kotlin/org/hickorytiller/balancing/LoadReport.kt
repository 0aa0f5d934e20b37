/** Reports of backend servers about their load and their prefix caches. */
package org.hickorytiller.balancing

import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.ModelId

/**
 * Load report of a backend server.
 *
 * @property ageMs age of the figures when the report was read; a missing or negative age counts as 0
 * @property waiting number of requests queued in the server
 * @property models models and adapters that are loaded; null if the server does not report them
 */
data class LoadReport(val ageMs: Long, val running: Int, val waiting: Int, val models: Set<ModelId>? = null)

/**
 * Change of a server's prefix cache: hashes of blocks, see [prefixHashes].
 *
 * @property sequence increases by one with each event of the server; a gap means that events were lost
 */
data class CacheEvent(val server: BackendServerId, val sequence: Long, val stored: LongArray, val removed: LongArray)
