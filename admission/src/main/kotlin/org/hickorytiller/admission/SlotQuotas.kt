/**
 * Division of the slots of a pool's backend servers among the routers of a cell, without a central counter. It is a
 * pure function of the reports, so routers with the same reports compute the same quotas.
 *
 * Error bound: the quotas of routers with the same reports never add up to more slots than exist. Quotas computed from
 * different reports may. Let a router's error be the number of slots by which its computed quota exceeds its quota in a
 * common view; the excess is at most the sum of these errors. A view is out of date for at most one exchange interval
 * plus propagation, and for at most the time until a peer is declared dead. The quotas of routers that a network
 * partition splits into k groups add up to at most k times the slots.
 */
package org.hickorytiller.admission

import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.ProcessId
import org.hickorytiller.core.Tier
import java.util.TreeMap

/** Slots of one backend server. */
data class ServerSlots(val id: BackendServerId, val slots: Int)

/**
 * Divides the slots of [servers] among the routers in [demands]: the demand of the highest tier of all routers first,
 * in proportion if it exceeds the slots, then the next tier; slots without demand are divided equally. Returns the
 * quota of [self] for each server. Each slot of each server is assigned to exactly one router.
 */
fun divideSlots(
    servers: List<ServerSlots>,
    demands: Map<ProcessId, List<ClassDemand>>,
    self: ProcessId,
): Map<BackendServerId, Int> {
    val routers = demands.keys.sortedBy { it.value }
    val selfIndex = routers.indexOf(self)
    if (selfIndex < 0) return emptyMap()
    val total = servers.sumOf { it.slots }
    val shares = poolShares(total.toDouble(), routers.map { demands.getValue(it) })
    val carried = DoubleArray(routers.size)
    val quotas = HashMap<BackendServerId, Int>(servers.size * 2)
    for (server in servers.sortedBy { it.id.value }) {
        quotas[server.id] = divideServer(server, shares, total, carried, routers)[selfIndex]
    }
    return quotas
}

/** Returns the share of each router in the slots of the whole pool, which need not be whole slots. */
private fun poolShares(total: Double, demands: List<List<ClassDemand>>): DoubleArray {
    val byTier = TreeMap<Tier, DoubleArray>()
    demands.forEachIndexed { router, classes ->
        classes.forEach { demand ->
            val tierDemand = byTier.getOrPut(demand.tier) { DoubleArray(demands.size) }
            tierDemand[router] += demand.wantedSlots
        }
    }
    val shares = DoubleArray(demands.size)
    var left = total
    for (wanted in byTier.values) {
        val sum = wanted.sum()
        if (sum <= 0) continue
        val fraction = minOf(1.0, left / sum)
        wanted.forEachIndexed { router, amount -> shares[router] += amount * fraction }
        left -= sum * fraction
    }
    for (router in shares.indices) shares[router] += left / shares.size
    return shares
}

// Assigns whole slots by the largest remainder. The rounding error at one server is carried over to the next, so a
// router's sum over the pool is within one slot of its share. Ties are broken in rendezvous hashing order.
private fun divideServer(
    server: ServerSlots,
    shares: DoubleArray,
    total: Int,
    carried: DoubleArray,
    routers: List<ProcessId>,
): IntArray {
    val quota = IntArray(shares.size)
    for (router in shares.indices) carried[router] += shares[router] * server.slots / total
    val order = routers.indices.sortedBy { rendezvousRank(server.id, routers[it]) }
    repeat(server.slots) {
        val next = order.maxByOrNull { carried[it] } ?: return quota
        quota[next]++
        carried[next] -= 1.0
    }
    return quota
}

private fun rendezvousRank(server: BackendServerId, router: ProcessId): Int {
    val mixed = (server.value.hashCode() * HASH_FACTOR) xor router.value.hashCode()
    return (mixed xor (mixed ushr HASH_SHIFT)) * HASH_FACTOR
}

private const val HASH_FACTOR = -0x61c88647
private const val HASH_SHIFT = 15
