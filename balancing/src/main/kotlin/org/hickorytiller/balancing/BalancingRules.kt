/** Constants of the choice among backend servers. */
package org.hickorytiller.balancing

/**
 * @property reportHalfLifeMs age at which a load report counts half
 * @property reportLifetimeMs age above which a load report counts nothing
 * @property prefixBonus part of the score that a complete prefix match takes away
 * @property stragglerRatio time to first token or between tokens, relative to the median of the model, that makes an
 *   answer slow
 * @property slowAnswers slow answers among the last [recentAnswers] that make a server a straggler
 * @property stragglerFactor factor on the score of a straggler
 * @property firstProbeMs time after which a straggler gets one request again; doubles up to [longestProbeMs]
 * @property reclaimableFactor factor on the score of a reclaimable server for work that should not be lost
 * @property notLoadedFactor factor on the score of a server that has to load the model or adapter first
 * @property prefixBlocks blocks in the prefix table; it never grows
 */
data class BalancingRules(
    val reportHalfLifeMs: Long = 1_000,
    val reportLifetimeMs: Long = 10_000,
    val prefixBonus: Double = 0.4,
    val stragglerRatio: Double = 2.0,
    val recentAnswers: Int = 5,
    val slowAnswers: Int = 3,
    val stragglerFactor: Double = 20.0,
    val firstProbeMs: Long = 5_000,
    val longestProbeMs: Long = 60_000,
    val reclaimableFactor: Double = 10.0,
    val notLoadedFactor: Double = 4.0,
    val prefixBlocks: Int = 65_536,
    val detectStragglers: Boolean = true,
)
