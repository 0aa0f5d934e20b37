/** Constants of the selection of backend servers. */
package org.hickorytiller.balancing

/**
 * @property reportHalfLifeMs age at which a load report has half its weight
 * @property reportLifetimeMs age above which a load report is ignored
 * @property prefixBonus fraction by which a complete prefix match reduces the score
 * @property stragglerRatio ratio of the time to first token or between tokens to the median of the pool, from which a
 *   response counts as slow
 * @property slowResponses number of slow responses among the last [recentResponses] that make a server a straggler
 * @property stragglerFactor factor by which the score of a straggler is increased
 * @property firstProbeMs time after which a straggler gets a probe request; doubles after each slow probe up to
 *   [longestProbeMs]
 * @property reclaimableFactor factor on the score of a reclaimable server for loss-sensitive requests
 * @property notLoadedFactor factor on the score of a server that does not have the requested model or adapter loaded
 * @property prefixBlocks number of blocks in the prefix table, which has a fixed size
 */
data class BalancingRules(
    val reportHalfLifeMs: Long = 1_000,
    val reportLifetimeMs: Long = 10_000,
    val prefixBonus: Double = 0.4,
    val stragglerRatio: Double = 2.0,
    val recentResponses: Int = 5,
    val slowResponses: Int = 3,
    val stragglerFactor: Double = 20.0,
    val firstProbeMs: Long = 5_000,
    val longestProbeMs: Long = 60_000,
    val reclaimableFactor: Double = 10.0,
    val notLoadedFactor: Double = 4.0,
    val prefixBlocks: Int = 65_536,
    val detectStragglers: Boolean = true,
)
