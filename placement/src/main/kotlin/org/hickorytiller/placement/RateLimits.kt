/**
 * Keeps requests to a server within the rate that it states for all hosts together, for as long as it states it.
 *
 * A few hosts share the rate of a server equally; every host computes them alike by rendezvous hashing over the hosts
 * that are alive, without messages. A low rate is shared by few, since each of them may send one request at once. The
 * other hosts use other servers.
 */
package org.hickorytiller.placement

import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.Clock
import org.hickorytiller.core.HostId
import org.hickorytiller.core.TimeMs
import kotlin.math.max
import kotlin.math.min

/**
 * What [server] stated in its latest answer, [ageMs] before the message was sent.
 *
 * @property ratePerS requests per second from all hosts together; null if the server has no limit any more
 */
data class RateLimitNotice(val server: BackendServerId, val ratePerS: Double?, val ageMs: Long)

/** Called when a server states its first rate limit, in requests per second, or none any more. */
typealias OnRateLimitChange = (BackendServerId, Double?) -> Unit

/** Returns the hosts that serve callers, including the local one. */
typealias ReadHosts = () -> Collection<HostId>

/**
 * @property usedShare part of a stated rate that is used; the rest is for hosts that do not know it yet
 * @property minRatePerS rate at which a server is used that states a lower one, so that its next answer can end it
 * @property burstMs time whose requests a host may send at once, but at least one request
 * @property shareMs time for which the computed share of a host is used
 * @property forgetMs time after its latest statement for which a limit is kept
 * @property sharingMs time for which a notice is sent to peers; it spans several messages
 * @property maxShared maximum number of notices in a message; the oldest are omitted
 */
data class RateLimitRules(
    val usedShare: Double = 0.9,
    val minRatePerS: Double = 0.1,
    val burstMs: Long = 250,
    val shareMs: Long = 250,
    val forgetMs: Long = 120_000,
    val sharingMs: Long = 3_000,
    val maxShared: Int = 200,
)

/** The rates that servers have stated, as known to [localHost]. Confined to the event loop. */
class RateLimits(
    private val clock: Clock,
    private val localHost: HostId,
    private val rules: RateLimitRules = RateLimitRules(),
    private val onChange: OnRateLimitChange = { _, _ -> },
    private val readHosts: ReadHosts,
) {
    private val limits = HashMap<BackendServerId, Limit>()

    /** Records that [server] stated [ratePerS] in an answer, or null if it stated none. */
    fun stated(server: BackendServerId, ratePerS: Double?) = apply(server, ratePerS, clock(), isOwn = true)

    /** Applies what servers stated to a peer. */
    fun applyPeerNotices(notices: List<RateLimitNotice>) =
        notices.forEach { apply(it.server, it.ratePerS, clock() - it.ageMs, isOwn = false) }

    /** Returns what servers recently stated to this host, to be sent to peers. */
    fun recentNotices(): List<RateLimitNotice> {
        val now = clock()
        limits.values.removeIf { now - it.statedAt > rules.forgetMs }
        return limits.entries.filter { it.value.isOwn && now - it.value.statedAt <= rules.sharingMs }
            .sortedByDescending { it.value.statedAt }
            .take(rules.maxShared)
            .map { (server, limit) -> RateLimitNotice(server, limit.ratePerS, now - limit.statedAt) }
    }

    /** Whether this host may send a request to [server] now. */
    fun allows(server: BackendServerId): Boolean {
        val limit = limits[server] ?: return true
        val ratePerS = limit.ratePerS ?: return true
        limit.refill(server, ratePerS)
        return limit.requests >= 1
    }

    /** Returns the servers that state a limit. */
    fun limited(): Set<BackendServerId> = limits.filterValues { it.ratePerS != null }.keys

    /** Records that this host sends a request to [server]. */
    fun sent(server: BackendServerId) {
        limits[server]?.let { it.requests -= 1 }
    }

    /** Forgets what [server] stated, since it was restarted or is gone. */
    fun remove(server: BackendServerId) {
        limits -= server
    }

    private fun apply(server: BackendServerId, ratePerS: Double?, at: TimeMs, isOwn: Boolean) {
        val known = limits[server]
        if (known != null && at < known.statedAt) return
        if ((known?.ratePerS == null) != (ratePerS == null)) onChange(server, ratePerS)
        when {
            known != null -> known.state(ratePerS, at, isOwn)
            ratePerS != null -> limits[server] = Limit(ratePerS, at, isOwn)
        }
    }

    /** The share of this host in [ratePerS] as a rate; 0 if other hosts share it. */
    private fun shareOf(server: BackendServerId, ratePerS: Double): Double {
        val hosts = readHosts()
        val sharers = min(ratePerS + 1, hosts.size.toDouble()).toInt()
        val own = rendezvousWeight(localHost.value.hashCode().toLong(), server)
        val ahead = hosts.count { it != localHost && rendezvousWeight(it.value.hashCode().toLong(), server) > own }
        return if (ahead < sharers) max(ratePerS * rules.usedShare, rules.minRatePerS) / max(sharers, 1) else 0.0
    }

    /** A limit with a token bucket, which is empty at first: what was sent before also counts. */
    private inner class Limit(ratePerS: Double, statedAt: TimeMs, isOwn: Boolean) {
        var ratePerS: Double? = ratePerS
            private set
        var statedAt = statedAt
            private set

        /** Whether the latest statement was made to this host and not to a peer. */
        var isOwn = isOwn
            private set
        var requests = 0.0
        private var refilledAt = clock()
        private var sharePerS = 0.0
        private var sharedAt: TimeMs? = null

        fun state(newRatePerS: Double?, at: TimeMs, isOwnStatement: Boolean) {
            // What was sent while there was no limit counts as well.
            if (ratePerS == null) {
                requests = 0.0
                refilledAt = clock()
            }
            ratePerS = newRatePerS
            statedAt = at
            isOwn = isOwnStatement
        }

        fun refill(server: BackendServerId, ratePerS: Double) {
            val now = clock()
            if (sharedAt?.let { now - it >= rules.shareMs } != false) {
                sharePerS = shareOf(server, ratePerS)
                sharedAt = now
            }
            val burst = max(1.0, sharePerS * rules.burstMs / MS_PER_S)
            requests = min(burst, requests + (now - refilledAt) * sharePerS / MS_PER_S)
            refilledAt = now
        }
    }

    private companion object {
        const val MS_PER_S = 1_000.0
    }
}
