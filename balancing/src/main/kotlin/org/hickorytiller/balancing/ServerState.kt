/** This router's view of one backend server: its load, its latency and whether it is a straggler. */
package org.hickorytiller.balancing

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.TimeMs

internal class ServerState(var server: BackendServer, private val rules: BalancingRules) {
    var inFlight = 0
    var peersInFlight = 0

    /** Slots that this router may use; all of them while there are no peers. */
    var quota = server.slots
    var report: LoadReport? = null
    var reportAsOf = TimeMs(0)
    val limit = ConcurrencyLimit(server.slots)

    /** Bit set of the recent responses, with 1 for a slow one; the lowest bit is the newest. */
    private var slowBits = 0
    private var isProbing = false
    private var successfulProbes = 0
    private var probeAt = TimeMs(0)
    private var probeIntervalMs = 0L
    private var latencyRatio = 1.0
    private var observedAt = TimeMs(0)

    /** Whether the server is much slower than the median of its pool. */
    var isStraggler = false
        private set

    /** Returns the latency relative to the median of the pool. Without new responses it approaches 1 again. */
    private fun decayedLatencyRatio(now: TimeMs): Double {
        val weight = 1 / (1 + (now - observedAt).toDouble() / RATIO_HALF_LIFE_MS)
        return maxOf(MIN_RATIO, 1 + (latencyRatio - 1) * weight)
    }

    /** Requests that this router may have in flight on the server within its quota and concurrency limit. */
    val capacity: Int get() = minOf(quota, limit.value)

    /** Requests of the most urgent tier beyond [capacity], which the server queues ahead of other requests. */
    val extraSlots: Int get() = maxOf(1, server.slots / SLOTS_PER_EXTRA_SLOT)

    private fun mayProbe(now: TimeMs) = now >= probeAt && inFlight == 0

    /**
     * Records that a probe was sent to a straggler. The next one may follow immediately after a fast response,
     * otherwise after the probe interval, which a slow response doubles up to the longest one.
     */
    fun recordProbe(now: TimeMs) {
        isProbing = true
        probeAt = now + probeIntervalMs
    }

    /** Returns the queue length that the server reported, discounted by the age of the report. */
    fun reportedQueue(now: TimeMs): Double {
        val latest = report ?: return 0.0
        val ageMs = maxOf(0L, now - reportAsOf)
        if (latest.waiting == 0 || ageMs > rules.reportLifetimeMs) return 0.0
        return latest.waiting / (1.0 + ageMs.toDouble() / rules.reportHalfLifeMs)
    }

    /** Returns the score for [request]; the lowest is best. [matched] is the fraction of the prefix in its cache. */
    fun score(request: SelectionRequest, matched: Double, now: TimeMs): Double {
        if (isStraggler && !request.isLossCostly && mayProbe(now)) return PROBE_SCORE
        val load = (inFlight + peersInFlight + reportedQueue(now)) / maxOf(1, server.slots)
        var score = (IDLE_LOAD + load) * decayedLatencyRatio(now) * (1 - rules.prefixBonus * matched)
        if (isStraggler) score *= rules.stragglerFactor
        if (server.reclaimable) score *= if (request.isLossCostly) rules.reclaimableFactor else RECLAIMABLE_PREFERENCE
        val loaded = report?.models
        if (request.model != null && loaded != null && request.model !in loaded) score *= rules.notLoadedFactor
        return score
    }

    /** Records the latency of one response relative to the median. A failed response has an infinite ratio. */
    fun observe(responseRatio: Double, now: TimeMs) {
        val slow = responseRatio >= rules.stragglerRatio
        slowBits = ((slowBits shl 1) or (if (slow) 1 else 0)) and ((1 shl rules.recentResponses) - 1)
        // A stopped server refuses connections immediately and thus looks idle, so one failure has to suffice.
        if (responseRatio.isInfinite()) slowBits = (1 shl rules.recentResponses) - 1
        observedAt = now
        latencyRatio += RATIO_WEIGHT * (minOf(responseRatio, MAX_RATIO) - latencyRatio)
        // While the server is a straggler, responses to requests sent before the verdict are ignored, since they do not
        // show whether it has recovered.
        if (!isStraggler) {
            detect(now)
        } else if (isProbing) {
            afterProbe(slow, now)
        }
    }

    private fun detect(now: TimeMs) {
        if (!rules.detectStragglers || Integer.bitCount(slowBits) < rules.slowResponses) return
        isStraggler = true
        isProbing = false
        successfulProbes = 0
        probeIntervalMs = rules.firstProbeMs
        probeAt = now + probeIntervalMs
    }

    private fun afterProbe(slow: Boolean, now: TimeMs) {
        if (slow) {
            isProbing = false
            successfulProbes = 0
            probeIntervalMs = minOf(rules.longestProbeMs, probeIntervalMs * 2)
            probeAt = now + probeIntervalMs
            return
        }
        if (++successfulProbes < PROBES_TO_CLEAR) {
            probeAt = now
            return
        }
        isStraggler = false
        slowBits = 0
        latencyRatio = 1.0
    }

    private companion object {
        // A probe takes precedence over other servers; otherwise a straggler would never be probed under light load.
        const val PROBE_SCORE = 0.0
        const val RATIO_HALF_LIFE_MS = 5_000.0

        // Keeps the factors effective for an idle server, whose load is 0.
        const val IDLE_LOAD = 0.1

        // Requests that are not loss-sensitive prefer reclaimable servers, so that the other servers stay free for
        // loss-sensitive ones.
        const val RECLAIMABLE_PREFERENCE = 0.8
        const val MIN_RATIO = 0.25
        const val SLOTS_PER_EXTRA_SLOT = 8
        const val MAX_RATIO = 20.0
        const val RATIO_WEIGHT = 0.1

        // A single response, for example of a request in flight while the server recovered, may be fast by chance.
        const val PROBES_TO_CLEAR = 2
    }
}
