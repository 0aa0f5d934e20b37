/** What this router knows of one backend server. */
package org.hickorytiller.balancing

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.TimeMs

internal class ServerState(var server: BackendServer, private val rules: BalancingRules) {
    var inFlight = 0
    var peersInFlight = 0

    /** Slots that this router may use; all of them while there is no peer. */
    var quota = server.slots
    var report: LoadReport? = null
    var reportAsOf = TimeMs(0)
    val limit = ConcurrencyLimit(server.slots)

    /** Slow answers among the recent ones, newest first, as bits. */
    private var slowBits = 0
    private var probing = false
    private var goodProbes = 0
    private var probeAt = TimeMs(0)
    private var probeIntervalMs = 0L
    private var ratio = 1.0
    private var observedAt = TimeMs(0)

    /** Whether the server is much slower than the median of its model. */
    var straggler = false
        private set

    /** Service time relative to the median of the model. Without new answers it goes back to 1. */
    private fun relativeServiceTime(now: TimeMs): Double {
        val weight = 1 / (1 + (now - observedAt).toDouble() / RATIO_HALF_LIFE_MS)
        return maxOf(LEAST_RATIO, 1 + (ratio - 1) * weight)
    }

    val cap: Int get() = minOf(quota, limit.value)

    /** Requests beyond [cap] that the most urgent tier may send; the server queues them in front of other work. */
    val spare: Int get() = maxOf(1, server.slots / SPARE_PART)

    private fun mayProbe(now: TimeMs) = now >= probeAt && inFlight == 0

    /** Notes that a probe was sent to a straggler, so that no other follows before it is answered or overdue. */
    fun probed(now: TimeMs) {
        probing = true
        probeAt = now + probeIntervalMs
    }

    /** Queue that the server reported, discounted by the age of the report. */
    fun reportedQueue(now: TimeMs): Double {
        val latest = report ?: return 0.0
        val ageMs = maxOf(0L, now - reportAsOf)
        if (latest.waiting == 0 || ageMs > rules.reportLifetimeMs) return 0.0
        return latest.waiting / (1.0 + ageMs.toDouble() / rules.reportHalfLifeMs)
    }

    /** How well the server fits [request]; the lowest score is best. [matched] is the part of the prefix it holds. */
    fun score(request: SelectionRequest, matched: Double, now: TimeMs): Double {
        if (straggler && !request.lossSensitive && mayProbe(now)) return PROBE_SCORE
        val load = (inFlight + peersInFlight + reportedQueue(now)) / maxOf(1, server.slots)
        var score = (IDLE_LOAD + load) * relativeServiceTime(now) * (1 - rules.prefixBonus * matched)
        if (straggler) score *= rules.stragglerFactor
        if (server.reclaimable) score *= if (request.lossSensitive) rules.reclaimableFactor else RECLAIMABLE_PREFERENCE
        val loaded = report?.models
        if (request.model != null && loaded != null && request.model !in loaded) score *= rules.notLoadedFactor
        return score
    }

    /** Takes the figures of one answer relative to the median. A failed answer has an infinite ratio. */
    fun observe(answerRatio: Double, now: TimeMs) {
        val slow = answerRatio >= rules.stragglerRatio
        slowBits = ((slowBits shl 1) or (if (slow) 1 else 0)) and ((1 shl rules.recentAnswers) - 1)
        // A server that is gone refuses at once, so it looks idle. One failure has to be enough.
        if (answerRatio.isInfinite()) slowBits = (1 shl rules.recentAnswers) - 1
        observedAt = now
        ratio += RATIO_PART * (minOf(answerRatio, HIGHEST_RATIO) - ratio)
        // Answers to requests that were sent before the verdict say nothing new.
        if (!straggler) {
            detect(now)
        } else if (probing) {
            afterProbe(slow, now)
        }
    }

    private fun detect(now: TimeMs) {
        if (!rules.detectStragglers || Integer.bitCount(slowBits) < rules.slowAnswers) return
        straggler = true
        probing = false
        goodProbes = 0
        probeIntervalMs = rules.firstProbeMs
        probeAt = now + probeIntervalMs
    }

    private fun afterProbe(slow: Boolean, now: TimeMs) {
        if (slow) {
            probing = false
            goodProbes = 0
            probeIntervalMs = minOf(rules.longestProbeMs, probeIntervalMs * 2)
            probeAt = now + probeIntervalMs
            return
        }
        if (++goodProbes < PROBES_TO_CLEAR) {
            probeAt = now
            return
        }
        straggler = false
        slowBits = 0
        ratio = 1.0
    }

    private companion object {
        // A probe comes before any other server, or a straggler would never be looked at again under light load.
        const val PROBE_SCORE = 0.0
        const val RATIO_HALF_LIFE_MS = 5_000.0

        // Keeps the factors effective for an idle server.
        const val IDLE_LOAD = 0.1

        // Work that may be repeated goes to reclaimable servers first, so that the others stay free for careful work.
        const val RECLAIMABLE_PREFERENCE = 0.8
        const val LEAST_RATIO = 0.25
        const val SPARE_PART = 8
        const val HIGHEST_RATIO = 20.0
        const val RATIO_PART = 0.1

        // Requests that were in flight when the server recovered may be fast by chance, so one is not enough.
        const val PROBES_TO_CLEAR = 2
    }
}
