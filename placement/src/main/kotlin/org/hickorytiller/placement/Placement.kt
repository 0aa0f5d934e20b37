/**
 * Chooses the backend server for a request from what this host knows: its requests in flight and those of its peers,
 * recent failures, and the servers that probably have the shared parts of the prompt in memory.
 *
 * Every host computes the home server of a shared part by rendezvous hashing over the servers of the pool, so that
 * hosts agree on it without messages. A request goes to a less loaded server when waiting costs more than processing
 * the part again.
 */
package org.hickorytiller.placement

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.Clock
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.TimeMs

/**
 * Requirements of a request.
 *
 * @property hostDomain failure domain of this host, within which traffic is free
 * @property eventGapTargetMs target for the longest pause between two events of a stream; 0 if there is none
 */
data class PlacementRequest(
    val pool: PoolId,
    val prompt: Prompt?,
    val hostDomain: FailureDomain,
    val exclude: Set<BackendServerId> = emptySet(),
    val eventGapTargetMs: Long = 0,
)

/** Requests in flight on one server, and the tokens of their prompts that are not processed yet. */
data class ServerLoad(val requests: Int, val pendingPrefillTokens: Int)

/** Reads the load of all peers, by server. */
typealias ReadPeerLoad = () -> Map<BackendServerId, ServerLoad>

/** The backend servers as known to one host. Confined to the event loop. */
class Placement(
    private val clock: Clock,
    private val rules: PlacementRules = PlacementRules(),
    private val rateLimits: RateLimits? = null,
    private val statements: ServerStatements? = null,
) {
    private val servers = HashMap<BackendServerId, Candidate>()
    private val partLocations = PartLocations(clock, rules)
    private val isolations = HashMap<PoolId, PrefillIsolation>()
    private var readPeerLoad: ReadPeerLoad = { emptyMap() }
    private var peerLoad: Map<BackendServerId, ServerLoad> = emptyMap()

    /** Replaces the known servers. Keeps the state of a server that is still known, unless it was restarted. */
    fun replace(current: Collection<BackendServer>) {
        val byId = current.associateBy { it.id }
        statements?.replaceListed(current.mapTo(HashSet()) { it.run })
        (servers.keys - byId.keys).forEach { rateLimits?.remove(it) }
        servers.keys.retainAll(byId.keys)
        byId.forEach { (id, server) ->
            val known = servers[id]
            if (known == null || known.server.startedMs != server.startedMs) {
                if (known != null) {
                    partLocations.removeServer(id)
                    rateLimits?.remove(id)
                }
                servers[id] = Candidate(server)
            } else {
                known.server = server
            }
        }
    }

    /** Returns all known servers of [pool], including those that are leaving. */
    fun servers(pool: PoolId): List<BackendServer> = servers.values.map { it.server }.filter { it.pool == pool }

    /** Replaces the load of all peers, by server. */
    fun replacePeerLoad(load: Map<BackendServerId, ServerLoad>) = followPeerLoad { load }

    /** Reads the load of all peers with [read] when it is needed, which is less often than messages of peers arrive. */
    fun followPeerLoad(read: ReadPeerLoad) {
        readPeerLoad = read
    }

    /** Applies prompt part locations received from a peer. */
    fun applyPeerPartLocations(locations: List<PromptPartLocation>) = partLocations.applyPeerLocations(locations)

    /** Returns the recent prompt part locations of this host, to be sent to peers. */
    fun recentPartLocations(): List<PromptPartLocation> = partLocations.recentLocations()

    /** Returns the load of this host by server, without idle servers. */
    fun localLoad(): Map<BackendServerId, ServerLoad> = servers.filterValues { it.requests > 0 }
        .mapValues { ServerLoad(it.value.requests, it.value.pendingPrefillTokens) }

    /** Returns the number of requests in flight in [pool] of this host and, as far as known, its peers. */
    fun inFlight(pool: PoolId): Int {
        peerLoad = readPeerLoad()
        return servers.values.filter { it.server.pool == pool }.sumOf { it.running }
    }

    /** Returns the server with the lowest cost for [request]; null if no server accepts it. */
    fun choose(request: PlacementRequest): BackendServer? {
        val usable = servers.values.filter { it.accepts(request) }
        if (usable.isEmpty()) return null
        peerLoad = readPeerLoad()
        val now = clock()
        val healthy = usable.filter { it.avoidedUntil <= now }.ifEmpty { usable }
        val prompt = request.prompt ?: return healthy.minBy { it.plainCostMs(request) }.server
        val preferred = isolation(request.pool).preferred(request.eventGapTargetMs, healthy.map { it.server.id })
        val home = prompt.lastSharedPart?.let { part ->
            healthy.filter { it.server.id in preferred }.maxBy { rendezvousWeight(part, it.server.id) }
        }
        return healthy.minBy { candidate ->
            val isolationCostMs = if (candidate.server.id in preferred) 0.0 else rules.isolationCostMs
            candidate.costMs(request, prompt, preferred, isHome = candidate === home) + isolationCostMs
        }.server
    }

    /**
     * Returns the time in milliseconds until the first server accepts [request], if all that could do so have asked for
     * time. Null if one accepts it now, or none would.
     */
    fun returnMs(request: PlacementRequest): Long? {
        var returnMs: Long? = null
        for (candidate in servers.values) {
            if (!candidate.couldAccept(request)) continue
            val waitMs = candidate.waitMs
            if (waitMs == 0L) return null
            returnMs = minOf(returnMs ?: waitMs, waitMs)
        }
        return returnMs
    }

    /** Whether [server] has stated that it leaves, or wants no requests now. */
    fun isWithdrawn(server: BackendServer): Boolean = statements?.allows(server.run) == false

    /** Records that [request] was sent to [id]. Returns the estimated number of tokens that the server prefills. */
    fun started(id: BackendServerId, request: PlacementRequest): Int {
        val candidate = servers[id] ?: return 0
        candidate.requests++
        rateLimits?.sent(id)
        statements?.sent(candidate.run)
        val prompt = request.prompt ?: return 0
        val missingTokens = maxOf(0, prompt.inputTokens - candidate.cachedTokens(prompt))
        isolation(request.pool).record(
            request.eventGapTargetMs,
            promptMs = prompt.inputTokens / rules.prefillTokensPerMs,
            engineMs = missingTokens / rules.prefillTokensPerMs + rules.runningCostMs,
        )
        partLocations.recordSent(prompt, id)
        candidate.pendingPrefillTokens += missingTokens
        return missingTokens
    }

    /** Records that a prefill of [tokens] on [id], as returned by [started], has ended: the response has started. */
    fun prefillEnded(id: BackendServerId, tokens: Int) {
        servers[id]?.let { it.pendingPrefillTokens = maxOf(0, it.pendingPrefillTokens - tokens) }
    }

    /** Records that a request on [id] has ended. */
    fun ended(id: BackendServerId) {
        servers[id]?.let { it.requests = maxOf(0, it.requests - 1) }
    }

    /** Records that [id] failed a request or could not be reached. */
    fun failed(id: BackendServerId) {
        val candidate = servers[id] ?: return
        val durationMs = (rules.avoidMs shl candidate.failures).coerceAtMost(rules.maxAvoidMs)
        candidate.failures = minOf(candidate.failures + 1, MAX_FAILURES)
        candidate.avoidedUntil = clock() + durationMs
    }

    /** Records that [id] served a request. */
    fun succeeded(id: BackendServerId) {
        servers[id]?.failures = 0
    }

    private fun isolation(pool: PoolId) = isolations.getOrPut(pool) { PrefillIsolation(clock) }

    private inner class Candidate(var server: BackendServer) {
        var requests = 0
        var pendingPrefillTokens = 0
        var failures = 0
        var avoidedUntil = TimeMs(Long.MIN_VALUE)

        /** The same for each entry of this server, since another run is another candidate. */
        val run = server.run

        /** Time until the end of the pause that the server has asked for. */
        val waitMs get() = statements?.waitMs(run) ?: 0L

        fun accepts(request: PlacementRequest) = couldAccept(request) && waitMs == 0L

        /** Whether the server accepts [request] now or after its pause. */
        fun couldAccept(request: PlacementRequest) = server.pool == request.pool &&
            server.state == BackendServerState.RUNNING &&
            server.id !in request.exclude &&
            statements?.isLeaving(run) != true &&
            rateLimits?.allows(server.id) != false

        val running get() = requests + (peerLoad[server.id]?.requests ?: 0)

        private fun domainCostMs(request: PlacementRequest) =
            if (server.failureDomain == request.hostDomain) 0.0 else REMOTE_DOMAIN_COST_MS

        /** Returns the estimated time that a request without a prompt waits on this server. */
        fun plainCostMs(request: PlacementRequest) =
            running * rules.plainRequestMs / server.slots + domainCostMs(request)

        /**
         * Returns the estimated time that the request waits and delays other requests on this server, with a surcharge
         * for parts that one of the [preferred] servers has in memory.
         */
        fun costMs(
            request: PlacementRequest,
            prompt: Prompt,
            preferred: Set<BackendServerId>,
            isHome: Boolean,
        ): Double {
            val waitingTokens = pendingPrefillTokens + (peerLoad[server.id]?.pendingPrefillTokens ?: 0)
            val fullCostMs = if (running >= server.slots) FULL_SERVER_COST_MS else 0.0
            val bonusMs = if (isHome) rules.homeBonusMs else 0.0
            return (prefillCostTokens(prompt, preferred) + waitingTokens) / rules.prefillTokensPerMs +
                running * rules.runningCostMs + domainCostMs(request) + fullCostMs - bonusMs
        }

        /** Returns the tokens of [prompt] that this server probably has in memory. */
        fun cachedTokens(prompt: Prompt): Int =
            prompt.sharedParts.takeWhile { partLocations.isCached(it.id, server.id) }.sumOf { it.tokens }

        /** Returns the tokens to prefill, with a larger weight on those recently prefilled on a [preferred] server. */
        private fun prefillCostTokens(prompt: Prompt, preferred: Set<BackendServerId>): Double {
            var cachedTokens = 0
            var duplicateTokens = 0
            var isPrefixCached = true
            for (part in prompt.sharedParts) {
                isPrefixCached = isPrefixCached && partLocations.isCached(part.id, server.id)
                if (isPrefixCached) {
                    cachedTokens += part.tokens
                } else if (partLocations.wasPrefilled(part.id, preferred, rules.duplicatePrefillWindowMs)) {
                    duplicateTokens += part.tokens
                }
            }
            return prompt.inputTokens - cachedTokens + duplicateTokens * rules.duplicatePrefillFactor
        }
    }

    private companion object {
        const val MAX_FAILURES = 4

        // Breaks ties in favour of the local failure domain, whose traffic is free.
        const val REMOTE_DOMAIN_COST_MS = 2.0

        // On a full server a request waits until another one ends.
        const val FULL_SERVER_COST_MS = 1_000.0
    }
}

/** Returns the weight of [server] for [part], equal on every host. The server with the largest weight is the home. */
internal fun rendezvousWeight(part: PromptPartId, server: BackendServerId): Long = rendezvousWeight(part.value, server)

/** Returns the weight of the pair of [key] and [server], equal on every host. */
internal fun rendezvousWeight(key: Long, server: BackendServerId): Long {
    var hash = key xor (server.value.hashCode().toLong() * GOLDEN_RATIO)
    hash = (hash xor (hash ushr FIRST_SHIFT)) * FIRST_FACTOR
    hash = (hash xor (hash ushr SECOND_SHIFT)) * SECOND_FACTOR
    return hash xor (hash ushr LAST_SHIFT)
}

// The finalizer of SplitMix64.
private const val GOLDEN_RATIO = -0x61c8864680b583ebL
private const val FIRST_SHIFT = 30
private const val FIRST_FACTOR = -0x40a7b892e31b1a47L
private const val SECOND_SHIFT = 27
private const val SECOND_FACTOR = -0x6b2fb644ecceee15L
private const val LAST_SHIFT = 31
