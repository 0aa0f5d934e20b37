/** The servers of one pool and what they are compared with. */
package org.hickorytiller.balancing

import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.TimeMs

internal class PoolServers(rules: BalancingRules) {
    var states: Array<ServerState> = emptyArray()
        private set
    val firstToken = RecentMedian()
    val betweenTokens = RecentMedian()
    val prefixes = PrefixTable(rules.prefixBlocks)

    /** Numbers that the prefix table uses for servers; a number is never given to another server. */
    private val numbers = HashMap<BackendServerId, Int>()
    private var nextNumber = 0
    private val holders = arrayOfNulls<ServerState>(MAX_HOLDERS)
    private var holderCount = 0
    private val byNumber = HashMap<Int, ServerState>()
    private var applied: Map<BackendServerId, Int>? = null
    private var stale = true

    private val noteHolder: (Int) -> Unit = { number ->
        val state = byNumber[number]
        if (state != null && holderCount < MAX_HOLDERS) holders[holderCount++] = state
    }

    fun replace(listed: List<ServerState>) {
        states = listed.toTypedArray()
        byNumber.clear()
        numbers.keys.retainAll(listed.mapTo(HashSet()) { it.server.id })
        listed.forEach { byNumber[indexOf(it)] = it }
        stale = true
    }

    fun indexOf(state: ServerState): Int = numbers.getOrPut(state.server.id) { nextNumber++ }

    /** Takes [quotas] over if they have changed. */
    fun applyQuotas(quotas: Map<BackendServerId, Int>?) {
        if (quotas === applied && !stale) return
        applied = quotas
        stale = false
        for (state in states) state.quota = if (quotas == null) state.server.slots else quotas[state.server.id] ?: 0
    }

    /** The server with the lowest score that takes new work and has a free slot, within the quota or beyond it. */
    fun best(request: SelectionRequest, evictions: Evictions, now: TimeMs, beyondQuota: Boolean): ServerState? {
        val matched = matchPrefix(request.prefix)
        var best: ServerState? = null
        var bestScore = Double.MAX_VALUE
        for (state in states) {
            val most = if (beyondQuota) state.cap + state.spare else state.cap
            if (state.inFlight >= most || !evictions.takesNewWork(state.server, now)) continue
            if (!request.isEligible(state.server)) continue
            val score = state.score(request, if (isHolder(state)) matched else 0.0, now)
            if (score < bestScore) {
                best = state
                bestScore = score
            }
        }
        return best
    }

    /** Finds the servers that hold the longest known part of [prefix], and returns that part of it. */
    private fun matchPrefix(prefix: LongArray): Double {
        holderCount = 0
        if (prefix.isEmpty()) return 0.0
        return prefixes.longestMatch(prefix, noteHolder).toDouble() / prefix.size
    }

    private fun isHolder(state: ServerState): Boolean {
        for (index in 0 until holderCount) if (holders[index] === state) return true
        return false
    }

    private companion object {
        const val MAX_HOLDERS = 4
    }
}
