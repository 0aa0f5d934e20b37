/**
 * Decides how many servers of which kind a pool needs. Reclaimable servers cost a fraction of the full price, but the
 * platform may reclaim all those of a failure domain at once. They are spread evenly over the domains, with enough
 * servers to lose any one domain. Full-price servers are only used while there are too few reclaimable ones. Servers
 * that state a rate limit are replaced in addition.
 *
 * Does no I/O; the state is the recent demand and the outcomes of earlier orders.
 */
package org.hickorytiller.scaling

import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.Clock
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.TimeMs
import org.hickorytiller.routes.ScalingSpec
import kotlin.math.roundToInt

/**
 * @property requestsPerServer requests in flight that a server can serve within the latency targets
 * @property holdMs time for which servers are kept after a peak of demand; covers the pause between two bursts
 * @property refusalBackoffMs time for which no reclaimable servers are ordered in a failure domain after a refusal
 * @property minShare minimum of reclaimable servers in each failure domain, as a share of the configured maximum:
 *   starting a server takes longer than a burst takes to rise, and a new server has an empty cache
 * @property bootMarginMs time from the boot of a server until it serves requests; until then full-price ones are kept
 */
data class FleetRules(
    val requestsPerServer: Int = 10,
    val holdMs: Long = 12_000,
    val refusalBackoffMs: Long = 3_000,
    val minShare: Double = 0.43,
    val bootMarginMs: Long = 1_000,
)

/** Plans the servers of one pool. Confined to the event loop. */
class FleetPlanner(private val clock: Clock, private val rules: FleetRules = FleetRules()) {
    private val demand = ArrayDeque<Pair<TimeMs, Int>>()
    private val supplies = HashMap<FailureDomain, DomainSupply>()

    private val limitedCounts = ArrayDeque<Pair<TimeMs, Map<FailureDomain, Int>>>()

    /** Number of full-price servers in the latest plan by failure domain. */
    private var fullPriceCounts: Map<FailureDomain, Int> = emptyMap()

    /** Availability of reclaimable servers in one failure domain. */
    private class DomainSupply {
        /** End of the back-off after a refused order; until then no reclaimable servers are ordered. */
        var backoffUntil = LONG_AGO

        /** Time until which reclaimable servers count as scarce. */
        var scarceUntil = LONG_AGO

        /** Number of servers in the last accepted order of this process. */
        var ordered = 0

        /** Time until which servers of that order may still be starting. */
        var startingUntil = LONG_AGO
    }

    /** Records an accepted order of [count] reclaimable servers in [domain], each of which boots in [bootMs]. */
    fun accepted(domain: FailureDomain, count: Int, bootMs: Long) {
        val supply = supply(domain)
        supply.ordered = count
        supply.startingUntil = clock() + bootMs + rules.bootMarginMs
        if (supply.scarceUntil > clock()) supply.scarceUntil = supply.startingUntil
    }

    /** Records that [domain] has no reclaimable servers available at present. */
    fun refused(domain: FailureDomain) {
        val supply = supply(domain)
        supply.backoffUntil = clock() + rules.refusalBackoffMs
        supply.scarceUntil = FAR_FUTURE
    }

    /** Returns the number of servers that each group of the pool should have now. */
    fun plan(status: PoolStatus): List<FleetOrder> {
        val scaling = status.pool.scaling ?: return emptyList()
        val domains = scaling.domainPrices.keys.sortedBy { it.value }
        if (domains.isEmpty()) return emptyList()
        val needed = serversNeeded(status.inFlight)
        val replacements = replacements(status)
        val perDomain = perDomain(needed, domains.size, scaling)
        val wanted = domains.associateWith { minOf(perDomain + (replacements[it] ?: 0), scaling.max) }
        if (scaling.reclaimablePrice == null) return fullPriceOnly(status, wanted)
        val expected = domains.associateWith { expectedCount(status, it, perDomain) }
        val missing = (needed - expected.values.sum()).coerceAtLeast(0)
        val cheapestFirst = domains.sortedBy { scaling.domainPrices[it] }
        fullPriceCounts =
            spread(
                missing,
                cheapestFirst.associateWith {
                    scaling.max -
                        reserved(status, it, wanted.getValue(it), scaling)
                },
            )
        return domains.flatMap { domain ->
            // The full-price order goes first, since both kinds of server in a domain share one limit.
            listOf(
                FleetOrder(ServerGroup(status.pool.id, domain, isReclaimable = false), fullPriceCounts[domain] ?: 0),
                FleetOrder(
                    ServerGroup(status.pool.id, domain, isReclaimable = true),
                    reclaimableCount(domain, wanted.getValue(domain), scaling),
                ),
            ).filterNot { it.group.isReclaimable && supply(domain).backoffUntil > clock() }
        }
    }

    private fun supply(domain: FailureDomain) = supplies.getOrPut(domain) { DomainSupply() }

    private fun isScarce(domain: FailureDomain) = supply(domain).scarceUntil > clock()

    private fun serversNeeded(inFlight: Int): Int {
        val now = clock()
        demand.addLast(now to inFlight)
        while (now - demand.first().first > rules.holdMs) demand.removeFirst()
        val peak = demand.maxOf { it.second }
        return ceilDivide(peak, rules.requestsPerServer).coerceAtLeast(1)
    }

    /** Returns the servers to order in place of limited ones, by failure domain. */
    private fun replacements(status: PoolStatus): Map<FailureDomain, Int> {
        val now = clock()
        val limited = status.servers.filter { it.id in status.limited && it.state == BackendServerState.RUNNING }
        limitedCounts.addLast(now to limited.groupingBy { it.failureDomain }.eachCount())
        while (now - limitedCounts.first().first > rules.holdMs) limitedCounts.removeFirst()
        val peaks = HashMap<FailureDomain, Int>()
        limitedCounts.forEach { (_, counts) ->
            counts.forEach { (domain, count) -> peaks.merge(domain, count, ::maxOf) }
        }
        return peaks
    }

    private fun perDomain(needed: Int, domains: Int, scaling: ScalingSpec): Int {
        val survivors = (domains - 1).coerceAtLeast(1)
        return ceilDivide(needed, survivors).coerceIn(minCount(scaling), scaling.max)
    }

    /** Returns the servers to expect from an order of [count] in [domain]; while they are scarce, the running ones. */
    private fun expectedCount(status: PoolStatus, domain: FailureDomain, count: Int): Int =
        if (isScarce(domain)) minOf(count, running(status, domain)) else count

    /**
     * Returns the part of the limit of [domain] that is reserved for reclaimable servers. While they are scarce, this
     * is the count of those that are running or starting, but at least the minimum, so that they can be ordered again.
     */
    private fun reserved(status: PoolStatus, domain: FailureDomain, wanted: Int, scaling: ScalingSpec): Int {
        if (!isScarce(domain)) return wanted
        val starting = if (supply(domain).startingUntil > clock()) supply(domain).ordered else 0
        return maxOf(running(status, domain), starting, minCount(scaling))
    }

    private fun minCount(scaling: ScalingSpec) =
        (scaling.max * rules.minShare).roundToInt().coerceIn(scaling.min, scaling.max)

    /** Returns the number of reclaimable servers to order in [domain]. */
    private fun reclaimableCount(domain: FailureDomain, wanted: Int, scaling: ScalingSpec): Int =
        if (isScarce(domain)) minOf(wanted, scaling.max - (fullPriceCounts[domain] ?: 0)) else wanted

    private fun running(status: PoolStatus, domain: FailureDomain) = status.servers.count {
        it.reclaimable && it.failureDomain == domain && it.state == BackendServerState.RUNNING
    }

    private fun fullPriceOnly(status: PoolStatus, wanted: Map<FailureDomain, Int>) =
        wanted.map { (domain, count) -> FleetOrder(ServerGroup(status.pool.id, domain, isReclaimable = false), count) }

    /** Spreads [count] servers round-robin over the domains in the order of [room], within the room of each. */
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
        val FAR_FUTURE = TimeMs(Long.MAX_VALUE)
    }
}
