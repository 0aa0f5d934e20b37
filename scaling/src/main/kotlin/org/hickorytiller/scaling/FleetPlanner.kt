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
import kotlin.math.roundToInt

/**
 * @property requestsPerServer requests in flight that a server serves within its targets
 * @property holdMs time for which a peak of demand keeps its servers; it spans the pause between two bursts
 * @property refusedMs time for which a failure domain that had no reclaimable server to give is not asked again
 * @property leastShare reclaimable servers kept in each failure domain, as a share of the most that the operators allow
 *   there: a server needs longer to start than a burst needs to rise, and comes with an empty memory
 * @property bootMarginMs time beyond its start until a server takes load; the ones at the full price stay until then
 */
data class FleetRules(
    val requestsPerServer: Int = 10,
    val holdMs: Long = 12_000,
    val refusedMs: Long = 3_000,
    val leastShare: Double = 0.43,
    val bootMarginMs: Long = 1_000,
)

/** Plans one pool. Confined to the event loop. */
class FleetPlanner(private val clock: Clock, private val rules: FleetRules = FleetRules()) {
    private val demand = ArrayDeque<Pair<TimeMs, Int>>()
    private val supplies = HashMap<FailureDomain, Supply>()
    private var fullPrice: Map<FailureDomain, Int> = emptyMap()

    /** What this planner knows of the reclaimable servers of one failure domain. */
    private class Supply {
        var refusedUntil = LONG_AGO
        var scarceUntil = LONG_AGO

        /** The order in force; null if this process has placed none. */
        var ordered: Int? = null
    }

    /** Records that the platform took an order of [count] reclaimable servers in [domain], which start in [bootMs]. */
    fun accepted(domain: FailureDomain, count: Int, bootMs: Long) {
        val supply = supply(domain)
        supply.ordered = count
        if (supply.scarceUntil > clock()) supply.scarceUntil = clock() + bootMs + rules.bootMarginMs
    }

    /** Records that [domain] has no reclaimable server to give at present. */
    fun refused(domain: FailureDomain) {
        val supply = supply(domain)
        supply.refusedUntil = clock() + rules.refusedMs
        supply.scarceUntil = NEVER
    }

    /** The number of servers that each part of the pool should have now. */
    fun plan(status: PoolStatus): List<FleetOrder> {
        val scaling = status.pool.scaling ?: return emptyList()
        val domains = scaling.domainPrices.keys.sortedBy { it.value }
        if (domains.isEmpty()) return emptyList()
        val needed = serversNeeded(status.inFlight)
        if (scaling.reclaimablePrice == null) return fullPriceOnly(status, scaling, domains, needed)
        val perDomain = perDomain(needed, domains.size, scaling)
        val expected = domains.associateWith { expected(status, it, perDomain) }
        val missing = (needed - expected.values.sum()).coerceAtLeast(0)
        val cheapestFirst = domains.sortedBy { scaling.domainPrices[it] }
        fullPrice =
            spread(missing, cheapestFirst.associateWith { scaling.max - standing(status, it, perDomain, scaling) })
        return domains.flatMap { domain ->
            // Orders at the full price go first: both kinds of a domain share one limit.
            listOf(
                FleetOrder(ServerGroup(status.pool.id, domain, isReclaimable = false), fullPrice[domain] ?: 0),
                FleetOrder(
                    ServerGroup(status.pool.id, domain, isReclaimable = true),
                    reclaimable(domain, perDomain, scaling),
                ),
            ).filterNot { it.group.isReclaimable && supply(domain).refusedUntil > clock() }
        }
    }

    private fun supply(domain: FailureDomain) = supplies.getOrPut(domain) { Supply() }

    private fun isScarce(domain: FailureDomain) = supply(domain).scarceUntil > clock()

    private fun serversNeeded(inFlight: Int): Int {
        val now = clock()
        demand.addLast(now to inFlight)
        while (now - demand.first().first > rules.holdMs) demand.removeFirst()
        val peak = demand.maxOf { it.second }
        return ceilDivide(peak, rules.requestsPerServer).coerceAtLeast(1)
    }

    private fun perDomain(needed: Int, domains: Int, scaling: ScalingSpec): Int {
        val survivors = (domains - 1).coerceAtLeast(1)
        return ceilDivide(needed, survivors).coerceIn(least(scaling), scaling.max)
    }

    /** Servers that an order of [count] in [domain] gives; where none are to be had, those that run. */
    private fun expected(status: PoolStatus, domain: FailureDomain, count: Int): Int =
        if (isScarce(domain)) minOf(count, running(status, domain)) else count

    /**
     * Part of the limit of [domain] that is left to reclaimable servers. An order that was refused is not in force.
     * Room for the least number stays free, so that they can be asked for again.
     */
    private fun standing(status: PoolStatus, domain: FailureDomain, wanted: Int, scaling: ScalingSpec): Int =
        if (isScarce(domain)) maxOf(supply(domain).ordered ?: running(status, domain), least(scaling)) else wanted

    private fun least(scaling: ScalingSpec) =
        (scaling.max * rules.leastShare).roundToInt().coerceIn(scaling.min, scaling.max)

    private fun reclaimable(domain: FailureDomain, wanted: Int, scaling: ScalingSpec): Int =
        if (isScarce(domain)) minOf(wanted, scaling.max - (fullPrice[domain] ?: 0)) else wanted

    private fun running(status: PoolStatus, domain: FailureDomain) = status.servers.count {
        it.reclaimable && it.failureDomain == domain && it.state == BackendServerState.RUNNING
    }

    private fun fullPriceOnly(
        status: PoolStatus,
        scaling: ScalingSpec,
        domains: List<FailureDomain>,
        needed: Int,
    ): List<FleetOrder> {
        val perDomain = perDomain(needed, domains.size, scaling)
        return domains.map { FleetOrder(ServerGroup(status.pool.id, it, isReclaimable = false), perDomain) }
    }

    /** Spreads [count] servers over the domains in the order of [room], one at a time, within the room of each. */
    private fun spread(count: Int, room: Map<FailureDomain, Int>): Map<FailureDomain, Int> {
        val taken = HashMap<FailureDomain, Int>()
        var left = minOf(count, room.values.sumOf { maxOf(0, it) })
        while (left > 0) {
            for ((domain, limit) in room) {
                if (left == 0 || (taken[domain] ?: 0) >= limit) continue
                taken.merge(domain, 1, Int::plus)
                left--
            }
        }
        return taken
    }

    private fun ceilDivide(value: Int, divisor: Int) = (value + divisor - 1) / divisor

    private companion object {
        val LONG_AGO = TimeMs(Long.MIN_VALUE)
        val NEVER = TimeMs(Long.MAX_VALUE)
    }
}
