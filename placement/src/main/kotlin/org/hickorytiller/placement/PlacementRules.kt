/** Figures that weigh the choice of a backend server. */
package org.hickorytiller.placement

/**
 * @property prefillTokensPerMs tokens of a prompt that an engine reads in a millisecond, from the engines' data sheet
 * @property runningCostMs what each running request adds to the time of another one: 0.121 ms a step, for about a
 *   hundred steps
 * @property suspectMs time for which a server is avoided after a failure; doubled with each further one
 * @property longestSuspectMs longest such time
 * @property plainRequestMs typical work of a request at a plain service
 * @property partKeptMs time for which an engine probably keeps a part that is not used
 * @property rereadWindowMs time after its last use in which a part that is read on another server counts as read again
 * @property rereadFactor weight of tokens that are read again beyond the time that it takes: they are paid for
 * @property homeBonusMs advantage of a new part's home, on which hosts agree before they have told each other
 */
data class PlacementRules(
    val prefillTokensPerMs: Double = 54.6,
    val runningCostMs: Double = 12.0,
    val suspectMs: Long = 500,
    val longestSuspectMs: Long = 4_000,
    val plainRequestMs: Double = 40.0,
    val partKeptMs: Long = 60_000,
    val rereadWindowMs: Long = 12_000,
    val rereadFactor: Double = 3.0,
    val homeBonusMs: Double = 200.0,
)
