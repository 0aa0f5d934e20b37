/**
 * Decides how many servers a pool needs and of which kind. Reclaimable servers cost a fraction, and all those of one
 * failure domain may be taken back at once; so they are spread evenly over the domains, with one domain to spare.
 * Servers at the full price stand in only while there are too few reclaimable ones.
 *
 * Pure but for its memory of recent demand.
 */
package org.hickorytiller.scaling

import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.Clock
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.TimeMs
import org.hickorytiller.routes.ScalingSpec

/**
 * @property requestsPerServer requests in flight that a server serves within its targets
 * @property holdMs time for which a peak of demand keeps its servers; it spans the pause between two bursts
 * @property refusedMs time for which a failure domain that had no reclaimable server to give is not asked again
 * @property leastPerDomain reclaimable servers kept in each failure domain
 */
data class FleetRules(
    val requestsPerServer: Int = 10,
    val holdMs: Long = 12_000,
    val refusedMs: Long = 3_000,
    val leastPerDomain: Int = 3,
)

/** Plans one pool. Confined to the event loop. */
class FleetPlanner(private val clock: Clock, private val rules: FleetRules = FleetRules()) {
    private val demand = ArrayDeque<Pair<TimeMs, Int>>()
    private val refusedUntil = HashMap<FailureDomain, TimeMs>()

    /** Records that [domain] has no reclaimable server to give at present. */
    fun refused(domain: FailureDomain) {
        refusedUntil[domain] = clock() + rules.refusedMs
    }

    /** The number of servers that each part of the pool should have now. */
    fun plan(view: FleetView): List<FleetOrder> {
        val scaling = view.pool.scaling ?: return emptyList()
        val domains = scaling.domainPrices.keys.sortedBy { it.value }
        if (domains.isEmpty()) return emptyList()
        val needed = serversNeeded(view.inFlight)
        if (scaling.reclaimablePrice == null) return fullPriceOnly(view, scaling, domains, needed)
        val perDomain = perDomain(needed, domains.size, scaling)
        val reclaimable = domains.associateWith { perDomain }
        val missing = (needed - reclaimable.entries.sumOf { expected(view, it.key, it.value) }).coerceAtLeast(0)
        val fullPrice = spread(missing, domains.sortedBy { scaling.domainPrices[it] }, reclaimable, scaling)
        return domains.flatMap { domain ->
            listOf(
                FleetOrder(FleetPart(view.pool.id, domain, isReclaimable = true), reclaimable.getValue(domain)),
                FleetOrder(FleetPart(view.pool.id, domain, isReclaimable = false), fullPrice[domain] ?: 0),
            ).filterNot { it.part.isReclaimable && isRefused(domain) }
        }
    }

    private fun isRefused(domain: FailureDomain) = (refusedUntil[domain] ?: TimeMs(Long.MIN_VALUE)) > clock()

    private fun serversNeeded(inFlight: Int): Int {
        val now = clock()
        demand.addLast(now to inFlight)
        while (now - demand.first().first > rules.holdMs) demand.removeFirst()
        val peak = demand.maxOf { it.second }
        return ceilDivide(peak, rules.requestsPerServer).coerceAtLeast(1)
    }

    private fun perDomain(needed: Int, domains: Int, scaling: ScalingSpec): Int {
        val survivors = (domains - 1).coerceAtLeast(1)
        return ceilDivide(needed, survivors).coerceIn(maxOf(scaling.min, rules.leastPerDomain), scaling.max)
    }

    /** Servers that an order of [count] in [domain] gives; where none are to be had, those that run. */
    private fun expected(view: FleetView, domain: FailureDomain, count: Int): Int {
        if (!isRefused(domain)) return count
        return view.servers.count {
            it.reclaimable && it.failureDomain == domain && it.state == BackendServerState.RUNNING
        }
    }

    private fun fullPriceOnly(
        view: FleetView,
        scaling: ScalingSpec,
        domains: List<FailureDomain>,
        needed: Int,
    ): List<FleetOrder> {
        val perDomain = perDomain(needed, domains.size, scaling)
        return domains.map { FleetOrder(FleetPart(view.pool.id, it, isReclaimable = false), perDomain) }
    }

    /** Spreads [count] servers over [domains], one at a time, within what the limit leaves beside [reclaimable]. */
    private fun spread(
        count: Int,
        domains: List<FailureDomain>,
        reclaimable: Map<FailureDomain, Int>,
        scaling: ScalingSpec,
    ): Map<FailureDomain, Int> {
        val room = domains.associateWith { scaling.max - (reclaimable[it] ?: 0) }
        val taken = HashMap<FailureDomain, Int>()
        var left = minOf(count, room.values.sumOf { maxOf(0, it) })
        while (left > 0) {
            for (domain in domains) {
                if (left == 0 || (taken[domain] ?: 0) >= room.getValue(domain)) continue
                taken.merge(domain, 1, Int::plus)
                left--
            }
        }
        return taken
    }

    private fun ceilDivide(value: Int, divisor: Int) = (value + divisor - 1) / divisor
}
