/** The backend servers as this router knows them, and the selection of a server for a request. */
package org.hickorytiller.balancing

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.Clock
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.ModelId
import org.hickorytiller.core.PoolId

/** Returns the slots of each server of a pool that this router may use; null if it may use all. */
typealias QuotasOf = (PoolId) -> Map<BackendServerId, Int>?

/**
 * The properties of a request that determine which server is selected.
 *
 * @property mayExceedQuota whether the request may exceed the quota and wait in the queue of a server
 * @property isLossCostly whether the loss of the server would be costly: non-idempotent or top-tier requests
 * @property prefix hashes of the blocks of the prompt, see [prefixHashes]
 * @property model model or adapter that has to be loaded; null if any server is suitable
 * @property isEligible whether the request may run on a server; false for example where it failed before
 */
class SelectionRequest(
    val pool: PoolId,
    val isLossCostly: Boolean = false,
    val mayExceedQuota: Boolean = false,
    val prefix: LongArray = NO_PREFIX,
    val model: ModelId? = null,
    val isEligible: (BackendServer) -> Boolean = { true },
) {
    private companion object {
        val NO_PREFIX = LongArray(0)
    }
}

/** Backend servers of all pools with this router's requests in flight. Confined to the event loop. */
class BackendServerTable(
    private val clock: Clock,
    private val rules: BalancingRules = BalancingRules(),
    private val quotasOf: QuotasOf = { null },
) {
    private val servers = LinkedHashMap<BackendServerId, ServerState>()
    private val pools = HashMap<PoolId, PoolServers>()
    private val evictions = Evictions()
    private val poolOf = { pool: PoolId -> pools.getOrPut(pool) { PoolServers(rules) } }

    /**
     * Replaces the list of backend servers. The statistics of servers that stay listed are kept; a server that is no
     * longer listed is kept as leaving while it has requests in flight.
     */
    fun replace(listed: List<BackendServer>) {
        val ids = listed.mapTo(HashSet()) { it.id }
        servers.values.removeIf { it.server.id !in ids && it.inFlight == 0 }
        val delisted = servers.values.filter { it.server.id !in ids }
        delisted.forEach { it.server = it.server.copy(state = BackendServerState.LEAVING) }
        listed.forEach { server ->
            val state = servers.getOrPut(server.id) { ServerState(server, rules) }
            if (state.server.slots != server.slots) state.limit.resize(server.slots)
            state.server = server
        }
        val byPool = servers.values.groupBy { it.server.pool }
        pools.keys.retainAll(byPool.keys)
        byPool.forEach { (pool, states) -> poolOf(pool).replace(states) }
    }

    /** Returns the servers of [pool] that may receive new requests. */
    fun available(pool: PoolId): List<BackendServer> {
        val now = clock()
        return servers.values.map { it.server }.filter { it.pool == pool && evictions.allows(it, now) }
    }

    /** Returns the number of requests that this router can start in [pool] now. */
    fun freeSlots(pool: PoolId): Int {
        val states = withCurrentQuotas(pool)?.states ?: return 0
        var free = 0
        val now = clock()
        for (state in states) {
            if (!evictions.allows(state.server, now)) continue
            free += maxOf(0, state.capacity - state.inFlight)
        }
        return free
    }

    /** Returns the number of top-tier requests that may go to the servers of [pool] beyond this router's quota. */
    fun slotsBeyondQuota(pool: PoolId): Int {
        val states = withCurrentQuotas(pool)?.states ?: return 0
        var sum = 0
        val now = clock()
        for (state in states) {
            if (evictions.allows(state.server, now)) sum += state.extraSlots - maxOf(0, state.inFlight - state.capacity)
        }
        return maxOf(0, sum)
    }

    /** Returns the number of slots of [pool] that this router may use, free or not. */
    fun totalSlots(pool: PoolId): Int {
        val states = withCurrentQuotas(pool)?.states ?: return 0
        var total = 0
        val now = clock()
        for (state in states) if (evictions.allows(state.server, now)) total += state.capacity
        return total
    }

    /** Selects the server with the lowest score for [request]; null if no eligible server has a free slot. */
    fun choose(request: SelectionRequest): BackendServer? {
        val pool = withCurrentQuotas(request.pool) ?: return null
        val now = clock()
        val chosen =
            pool.best(request, evictions, now, beyondQuota = false)
                ?: (if (request.mayExceedQuota) pool.best(request, evictions, now, beyondQuota = true) else null)
                ?: return null
        if (chosen.isStraggler) chosen.recordProbe(now)
        if (request.prefix.isNotEmpty()) pool.prefixes.store(pool.numberOf(chosen), request.prefix)
        return chosen.server
    }

    /** Records that a request started on [id]. */
    fun started(id: BackendServerId) {
        servers[id]?.let { it.inFlight++ }
    }

    /** Records that a request ended on [id]. */
    fun ended(id: BackendServerId) {
        servers[id]?.let { if (it.inFlight > 0) it.inFlight-- }
    }

    /** Records the time to first token of one response of [id]. */
    fun recordTimeToFirstToken(id: BackendServerId, tookMs: Long) {
        val state = servers[id] ?: return
        val ratio = poolOf(state.server.pool).medianTimeToFirstToken.ratio(tookMs.toDouble())
        state.observe(ratio, clock())
    }

    /** Records the mean time between the tokens of one response of [id]. */
    fun recordInterTokenLatency(id: BackendServerId, meanMs: Double) {
        val state = servers[id] ?: return
        val ratio = poolOf(state.server.pool).medianInterTokenLatency.ratio(meanMs)
        state.observe(ratio, clock())
        state.limit.observe(ratio, state.inFlight + state.peersInFlight)
    }

    /** Records a request on [id] that failed or made no progress. */
    fun failed(id: BackendServerId) {
        servers[id]?.observe(Double.POSITIVE_INFINITY, clock())
    }

    /** Returns the median of the recent times to first token in [pool]; 0 while there are none. */
    fun medianTimeToFirstTokenMs(pool: PoolId): Long = pools[pool]?.medianTimeToFirstToken?.value?.toLong() ?: 0

    /** Whether [id] is classified as a straggler. */
    fun isStraggler(id: BackendServerId): Boolean = servers[id]?.isStraggler ?: false

    /** Records a load report. It is ignored if its figures are older than those of the latest report. */
    fun report(id: BackendServerId, report: LoadReport) {
        val state = servers[id] ?: return
        val asOf = clock() - maxOf(0L, report.ageMs)
        if (state.report != null && asOf < state.reportAsOf) return
        state.report = report
        state.reportAsOf = asOf
    }

    /** Applies an event of the prefix cache of a server. */
    fun cacheEvent(event: CacheEvent) {
        val state = servers[event.server] ?: return
        val pool = poolOf(state.server.pool)
        pool.prefixes.apply(pool.numberOf(state), event)
    }

    /** Replaces the requests in flight from all peers by backend server. */
    fun replacePeersInFlight(inFlight: Map<BackendServerId, Int>) {
        servers.values.forEach { it.peersInFlight = inFlight[it.server.id] ?: 0 }
    }

    /** Returns this router's requests in flight by backend server; servers without any are omitted. */
    fun inFlight(): Map<BackendServerId, Int> =
        servers.values.filter { it.inFlight > 0 }.associate { it.server.id to it.inFlight }

    /** Records an eviction notice: the servers of [domain] get no new requests for [remainingMs]. */
    fun evictionAnnounced(domain: FailureDomain, remainingMs: Long) {
        evictions.add(domain, clock() + remainingMs)
    }

    private fun withCurrentQuotas(pool: PoolId): PoolServers? {
        val known = pools[pool] ?: return null
        known.applyQuotas(quotasOf(pool))
        return known
    }
}
