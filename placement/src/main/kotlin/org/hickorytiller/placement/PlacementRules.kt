/** Parameters of the cost function that chooses a backend server. */
package org.hickorytiller.placement

/**
 * @property prefillTokensPerMs prompt tokens that an engine processes per millisecond, from the engines' data sheet
 * @property runningCostMs delay that each running request causes for another one: 0.121 ms per step, for about a
 *   hundred steps
 * @property avoidMs time for which a server is avoided after a failure; doubled with each further failure
 * @property maxAvoidMs upper limit of that time
 * @property plainRequestMs typical duration of a request to a plain service
 * @property partCacheMs time for which an engine probably keeps an unused part in memory
 * @property duplicatePrefillWindowMs time after its last use within which a part that another server prefills counts as
 *   prefilled twice
 * @property duplicatePrefillFactor additional weight of tokens prefilled twice, which cost money as well as time
 * @property homeBonusMs advantage of the home of a part, on which hosts agree before they exchange locations
 * @property isolationCostMs waiting time up to which a request stays within its group of servers, see PrefillIsolation
 */
data class PlacementRules(
    val prefillTokensPerMs: Double = 54.6,
    val runningCostMs: Double = 12.0,
    val avoidMs: Long = 500,
    val maxAvoidMs: Long = 4_000,
    val plainRequestMs: Double = 40.0,
    val partCacheMs: Long = 60_000,
    val duplicatePrefillWindowMs: Long = 12_000,
    val duplicatePrefillFactor: Double = 3.0,
    val homeBonusMs: Double = 200.0,
    val isolationCostMs: Double = 300.0,
)
