/**
 * Chooses the backend server for a request from what this host knows: its own requests in flight, those of its peers,
 * recent failures, and where the shared parts of the prompt probably are in memory.
 *
 * The home of a shared part is computed alike by every host, by rendezvous hashing over the servers of the pool, so
 * that hosts agree on it without messages. Load moves a request elsewhere once waiting costs more than reading the
 * part again.
 */
package org.hickorytiller.placement

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.Clock
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.TimeMs

/** What a request needs of a server. [hostDomain] is the failure domain of this host; a near server saves traffic. */
data class PlacementRequest(
    val pool: PoolId,
    val prompt: Prompt?,
    val hostDomain: FailureDomain,
    val exclude: Set<BackendServerId> = emptySet(),
)

/** Requests in flight on one server, and the tokens of their prompts that are not read yet. */
data class ServerLoad(val requests: Int, val pendingPrefillTokens: Int)

/** The backend servers as one host sees them. Confined to the event loop. */
class Placement(private val clock: Clock, private val rules: PlacementRules = PlacementRules()) {
    private val servers = HashMap<BackendServerId, Candidate>()
    private val parts = PartLocations(clock, rules)
    private var peers: Map<BackendServerId, ServerLoad> = emptyMap()

    /** Replaces the known servers. What is known of a server that stays is kept, unless it has started anew. */
    fun replace(current: Collection<BackendServer>) {
        val byId = current.associateBy { it.id }
        servers.keys.retainAll(byId.keys)
        byId.forEach { (id, server) ->
            val known = servers[id]
            if (known == null || known.server.startedMs != server.startedMs) {
                if (known != null) parts.forget(id)
                servers[id] = Candidate(server)
            } else {
                known.server = server
            }
        }
    }

    /** All known servers of [pool], those that leave included. */
    fun servers(pool: PoolId): List<BackendServer> = servers.values.map { it.server }.filter { it.pool == pool }

    /** Takes the load that peers have put on the servers. */
    fun replacePeerLoad(load: Map<BackendServerId, ServerLoad>) {
        peers = load
    }

    /** Takes where a peer has sent parts of prompts. */
    fun applyPeerPartLocations(locations: List<PromptPartLocation>) = parts.applyPeerLocations(locations)

    /** Where this host has sent parts of prompts within the last moments. */
    fun recentPartLocations(): List<PromptPartLocation> = parts.recentLocations()

    /** This host's load by server, without the idle ones. */
    fun ownLoad(): Map<BackendServerId, ServerLoad> = servers.filterValues { it.requests > 0 }
        .mapValues { ServerLoad(it.value.requests, it.value.pendingPrefillTokens) }

    /** Requests in flight in [pool] as far as this host knows, its own and its peers'. */
    fun inFlight(pool: PoolId): Int =
        servers.values.filter { it.server.pool == pool }.sumOf { it.requests + (peers[it.server.id]?.requests ?: 0) }

    /** The cheapest server for [request]; null if none may take it. */
    fun choose(request: PlacementRequest): BackendServer? {
        val usable = servers.values.filter { it.takes(request) }
        if (usable.isEmpty()) return null
        val now = clock()
        val trusted = usable.filter { it.suspectUntil <= now }.ifEmpty { usable }
        val home = request.prompt?.sharedPart?.let { part -> trusted.maxBy { rendezvousWeight(part, it.server.id) } }
        return trusted.minBy { it.cost(request, isHome = it === home) }.server
    }

    /** Records that a request with [prompt] was sent to [id]. */
    fun started(id: BackendServerId, prompt: Prompt?) {
        val candidate = servers[id] ?: return
        candidate.requests++
        if (prompt != null) parts.sent(prompt, id)
        candidate.pendingPrefillTokens += prefillTokens(prompt)
    }

    /** Records that a request with [prompt] on [id] has begun to answer, so that its prompt is read. */
    fun prefillEnded(id: BackendServerId, prompt: Prompt?) {
        servers[id]?.let { it.pendingPrefillTokens = maxOf(0, it.pendingPrefillTokens - prefillTokens(prompt)) }
    }

    /** Records that a request on [id] has ended. */
    fun ended(id: BackendServerId) {
        servers[id]?.let { it.requests = maxOf(0, it.requests - 1) }
    }

    /** Records that [id] failed a request or could not be reached. */
    fun failed(id: BackendServerId) {
        val candidate = servers[id] ?: return
        val durationMs = (rules.suspectMs shl candidate.failures).coerceAtMost(rules.longestSuspectMs)
        candidate.failures = minOf(candidate.failures + 1, MAX_FAILURES)
        candidate.suspectUntil = clock() + durationMs
    }

    /** Records that [id] answered. */
    fun succeeded(id: BackendServerId) {
        servers[id]?.failures = 0
    }

    private fun prefillTokens(prompt: Prompt?) = prompt?.inputTokens ?: 0

    private inner class Candidate(var server: BackendServer) {
        var requests = 0
        var pendingPrefillTokens = 0
        var failures = 0
        var suspectUntil = TimeMs(Long.MIN_VALUE)

        fun takes(request: PlacementRequest) = server.pool == request.pool &&
            server.state == BackendServerState.RUNNING &&
            server.id !in request.exclude

        /** Estimated time in milliseconds that the request waits and makes others wait on this server. */
        fun cost(request: PlacementRequest, isHome: Boolean): Double {
            val peer = peers[server.id]
            val running = requests + (peer?.requests ?: 0)
            val far = if (server.failureDomain == request.hostDomain) 0.0 else FAR_COST_MS
            val prompt = request.prompt
            if (prompt == null) return running * rules.plainRequestMs / server.slots + far
            val waitingTokens = pendingPrefillTokens + (peer?.pendingPrefillTokens ?: 0)
            val full = if (running >= server.slots) FULL_COST_MS else 0.0
            val bonus = if (isHome) rules.homeBonusMs else 0.0
            return (readCost(prompt) + waitingTokens) / rules.prefillTokensPerMs +
                running * rules.runningCostMs + far + full - bonus
        }

        /** Tokens that the server has to read, those that another server has read lately weighted. */
        private fun readCost(prompt: Prompt): Double {
            var kept = 0
            var readAgain = 0
            var isPrefixKept = true
            for (part in prompt.sharedParts) {
                isPrefixKept = isPrefixKept && parts.isKept(part.id, server.id)
                if (isPrefixKept) {
                    kept += part.tokens
                } else if (parts.wasRead(part.id, rules.rereadWindowMs)) {
                    readAgain += part.tokens
                }
            }
            return prompt.inputTokens - kept + readAgain * rules.rereadFactor
        }
    }

    private companion object {
        const val MAX_FAILURES = 4

        // Breaks ties in favour of the own failure domain, whose traffic is free.
        const val FAR_COST_MS = 2.0

        // A full server makes a request wait for another one to end.
        const val FULL_COST_MS = 1_000.0
    }
}

/** Weight of [server] for [part]. Every host computes the same weights; the server with the largest one is the home. */
internal fun rendezvousWeight(part: PromptPartId, server: BackendServerId): Long {
    var hash = part.value xor (server.value.hashCode().toLong() * GOLDEN_RATIO)
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
