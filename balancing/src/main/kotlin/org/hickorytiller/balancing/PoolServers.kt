/** The servers of one pool and the pool-wide statistics that they are compared with. */
package org.hickorytiller.balancing

import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.TimeMs

internal class PoolServers(rules: BalancingRules) {
    var states: Array<ServerState> = emptyArray()
        private set
    val medianTimeToFirstToken = RecentMedian()
    val medianInterTokenLatency = RecentMedian()
    val prefixes = PrefixTable(rules.prefixBlocks)

    /** Numbers that identify servers in the prefix table; a number is never reused for another server. */
    private val serverNumbers = HashMap<BackendServerId, Int>()
    private var nextNumber = 0

    /** The first [prefixServerCount] elements are servers that have the longest cached part of the prefix. */
    private val prefixServers = arrayOfNulls<ServerState>(MAX_PREFIX_SERVERS)
    private var prefixServerCount = 0
    private val byNumber = HashMap<Int, ServerState>()
    private var appliedQuotas: Map<BackendServerId, Int>? = null
    private var hasStaleQuotas = true

    private val addPrefixServer: (Int) -> Unit = { number ->
        val state = byNumber[number]
        if (state != null && prefixServerCount < MAX_PREFIX_SERVERS) prefixServers[prefixServerCount++] = state
    }

    fun replace(listed: List<ServerState>) {
        states = listed.toTypedArray()
        byNumber.clear()
        serverNumbers.keys.retainAll(listed.mapTo(HashSet()) { it.server.id })
        listed.forEach { byNumber[numberOf(it)] = it }
        hasStaleQuotas = true
    }

    fun numberOf(state: ServerState): Int = serverNumbers.getOrPut(state.server.id) { nextNumber++ }

    /** Applies [quotas] to the servers if the quotas or the servers have changed. */
    fun applyQuotas(quotas: Map<BackendServerId, Int>?) {
        if (quotas === appliedQuotas && !hasStaleQuotas) return
        appliedQuotas = quotas
        hasStaleQuotas = false
        for (state in states) state.quota = if (quotas == null) state.server.slots else quotas[state.server.id] ?: 0
    }

    /** Returns the available server with the lowest score that has a free slot, within the quota or [beyondQuota]. */
    fun best(request: SelectionRequest, evictions: Evictions, now: TimeMs, beyondQuota: Boolean): ServerState? {
        val matched = matchPrefix(request.prefix)
        var best: ServerState? = null
        var bestScore = Double.MAX_VALUE
        for (state in states) {
            val maxInFlight = if (beyondQuota) state.capacity + state.extraSlots else state.capacity
            if (state.inFlight >= maxInFlight || !evictions.allows(state.server, now)) continue
            if (!request.isEligible(state.server)) continue
            val score = state.score(request, if (hasLongestMatch(state)) matched else 0.0, now)
            if (score < bestScore) {
                best = state
                bestScore = score
            }
        }
        return best
    }

    /** Finds the servers with the longest cached part of [prefix], and returns that part as a fraction. */
    private fun matchPrefix(prefix: LongArray): Double {
        prefixServerCount = 0
        if (prefix.isEmpty()) return 0.0
        return prefixes.longestMatch(prefix, addPrefixServer).toDouble() / prefix.size
    }

    private fun hasLongestMatch(state: ServerState): Boolean {
        for (index in 0 until prefixServerCount) if (prefixServers[index] === state) return true
        return false
    }

    private companion object {
        const val MAX_PREFIX_SERVERS = 4
    }
}
