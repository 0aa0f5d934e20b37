/**
 * What this router knows of the backend servers, and the choice among them.
 */
package org.hickorytiller.balancing

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.Clock
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.ModelId
import org.hickorytiller.core.PoolId

/** Slots of each server of a pool that this router may use; null if it may use all. */
typealias QuotasOf = (PoolId) -> Map<BackendServerId, Int>?

/**
 * What the choice of a server depends on.
 *
 * @property mayExceedQuota whether the request may go beyond the quota, into the queue of a server
 * @property lossSensitive whether a loss of the server would do much harm: non-idempotent or top-tier work
 * @property prefix hashes of the blocks of the prompt, see [prefixHashes]
 * @property model model or adapter that has to be loaded; null if any server will do
 * @property isEligible whether the request may run on a server; false for example where it failed before
 */
class SelectionRequest(
    val pool: PoolId,
    val lossSensitive: Boolean = false,
    val mayExceedQuota: Boolean = false,
    val prefix: LongArray = NO_PREFIX,
    val model: ModelId? = null,
    val isEligible: (BackendServer) -> Boolean = { true },
) {
    private companion object {
        val NO_PREFIX = LongArray(0)
    }
}

/** Backend servers by pool with this router's requests in flight. Confined to the event loop. */
class BackendServerTable(
    private val clock: Clock,
    private val rules: BalancingRules = BalancingRules(),
    private val quotasOf: QuotasOf = { null },
) {
    private val servers = LinkedHashMap<BackendServerId, ServerState>()
    private val pools = HashMap<PoolId, PoolServers>()
    private val evictions = Evictions()
    private val poolOf = { pool: PoolId -> pools.getOrPut(pool) { PoolServers(rules) } }

    /** Replaces the list of backend servers. Estimates of servers that stay listed are kept. */
    fun replace(listed: List<BackendServer>) {
        val ids = listed.mapTo(HashSet()) { it.id }
        servers.values.removeIf { it.server.id !in ids && it.inFlight == 0 }
        val gone = servers.values.filter { it.server.id !in ids }
        gone.forEach { it.server = it.server.copy(state = BackendServerState.LEAVING) }
        listed.forEach { server ->
            val state = servers.getOrPut(server.id) { ServerState(server, rules) }
            if (state.server.slots != server.slots) state.limit.resize(server.slots)
            state.server = server
        }
        val byPool = servers.values.groupBy { it.server.pool }
        pools.keys.retainAll(byPool.keys)
        byPool.forEach { (pool, states) -> poolOf(pool).replace(states) }
    }

    /** The servers of [pool] that may receive new work. */
    fun available(pool: PoolId): List<BackendServer> {
        val now = clock()
        return servers.values.map { it.server }.filter { it.pool == pool && evictions.takesNewWork(it, now) }
    }

    /** Number of requests that [pool] can take from this router right now. */
    fun freeSlots(pool: PoolId): Int {
        val states = refreshed(pool)?.states ?: return 0
        var free = 0
        val now = clock()
        for (state in states) {
            if (!evictions.takesNewWork(state.server, now)) continue
            free += maxOf(0, state.cap - state.inFlight)
        }
        return free
    }

    /** Requests of the most urgent tier that may go to the servers of [pool] beyond this router's quota. */
    fun slotsBeyondQuota(pool: PoolId): Int {
        val states = refreshed(pool)?.states ?: return 0
        var spare = 0
        val now = clock()
        for (state in states) {
            if (evictions.takesNewWork(state.server, now)) spare += state.spare - maxOf(0, state.inFlight - state.cap)
        }
        return maxOf(0, spare)
    }

    /** Number of slots of [pool] that this router may use, free or not. */
    fun totalSlots(pool: PoolId): Int {
        val states = refreshed(pool)?.states ?: return 0
        var total = 0
        val now = clock()
        for (state in states) if (evictions.takesNewWork(state.server, now)) total += state.cap
        return total
    }

    /** Chooses the server with the lowest score for [request]; null if every slot that this router may use is taken. */
    fun choose(request: SelectionRequest): BackendServer? {
        val pool = refreshed(request.pool) ?: return null
        val now = clock()
        val chosen =
            pool.best(request, evictions, now, beyondQuota = false)
                ?: (if (request.mayExceedQuota) pool.best(request, evictions, now, beyondQuota = true) else null)
                ?: return null
        if (chosen.straggler) chosen.probed(now)
        if (request.prefix.isNotEmpty()) pool.prefixes.store(pool.indexOf(chosen), request.prefix)
        return chosen.server
    }

    /** Records that a request starts on [id]. */
    fun started(id: BackendServerId) {
        servers[id]?.let { it.inFlight++ }
    }

    /** Records that a request ended on [id]. */
    fun ended(id: BackendServerId) {
        servers[id]?.let { if (it.inFlight > 0) it.inFlight-- }
    }

    /** Takes the time to first token of one answer of [id]. */
    fun recordTimeToFirstToken(id: BackendServerId, tookMs: Long) {
        val state = servers[id] ?: return
        val ratio = poolOf(state.server.pool).firstToken.ratio(tookMs.toDouble())
        state.observe(ratio, clock())
    }

    /** Takes the mean time between the tokens of one answer of [id]. */
    fun recordInterTokenLatency(id: BackendServerId, meanMs: Double) {
        val state = servers[id] ?: return
        val ratio = poolOf(state.server.pool).betweenTokens.ratio(meanMs)
        state.observe(ratio, clock())
        state.limit.observe(ratio, state.inFlight + state.peersInFlight)
    }

    /** Takes an answer of [id] that failed or made no progress. */
    fun failed(id: BackendServerId) {
        servers[id]?.observe(Double.POSITIVE_INFINITY, clock())
    }

    /** Typical time to first token in [pool]; 0 while none is known. */
    fun medianTimeToFirstTokenMs(pool: PoolId): Long = pools[pool]?.firstToken?.value?.toLong() ?: 0

    /** Whether [id] is found to be a straggler. */
    fun isStraggler(id: BackendServerId): Boolean = servers[id]?.straggler ?: false

    /** Takes a load report. A report with older figures than the known one is ignored. */
    fun report(id: BackendServerId, report: LoadReport) {
        val state = servers[id] ?: return
        val asOf = clock() - maxOf(0L, report.ageMs)
        if (state.report != null && asOf < state.reportAsOf) return
        state.report = report
        state.reportAsOf = asOf
    }

    /** Takes an event of the prefix cache of a server. */
    fun cacheEvent(event: CacheEvent) {
        val state = servers[event.server] ?: return
        val pool = poolOf(state.server.pool)
        pool.prefixes.apply(pool.indexOf(state), event)
    }

    /** Takes the requests in flight of all peers by backend server. */
    fun replacePeersInFlight(inFlight: Map<BackendServerId, Int>) {
        servers.values.forEach { it.peersInFlight = inFlight[it.server.id] ?: 0 }
    }

    /** This router's requests in flight by backend server, without the idle ones. */
    fun inFlight(): Map<BackendServerId, Int> =
        servers.values.filter { it.inFlight > 0 }.associate { it.server.id to it.inFlight }

    /** Takes an eviction notice: [domain] gets no new work for [remainingMs]. */
    fun evictionAnnounced(domain: FailureDomain, remainingMs: Long) {
        evictions.add(domain, clock() + remainingMs)
    }

    private fun refreshed(pool: PoolId): PoolServers? {
        val known = pools[pool] ?: return null
        known.applyQuotas(quotasOf(pool))
        return known
    }
}
