/** Constants of the admission policy. */
package org.hickorytiller.admission

/**
 * @property starvationBoundMs time without a grant after which a class with waiting requests receives the next free
 *   slot, within the limit of [grantsPerFloorGrant]
 * @property grantsPerFloorGrant at most one in this many grants goes to a starving class by the floor rule
 * @property serviceHalfLifeMs time after which past service of a customer counts half in its fair share
 * @property initialServiceMs service time assumed for a class until its first request completes
 * @property initialTokens response length assumed for a class until its first request completes
 */
data class AdmissionRules(
    val starvationBoundMs: Long = 10_000,
    val grantsPerFloorGrant: Int = 20,
    val serviceHalfLifeMs: Long = 60_000,
    val initialServiceMs: Long = 1_000,
    val initialTokens: Int = 100,
    val mechanisms: Mechanisms = Mechanisms(),
)

/** Mechanisms that tests can switch off to demonstrate the violation that each of them prevents. */
class Mechanisms internal constructor(
    internal val floor: Boolean,
    internal val chargeWhileStreaming: Boolean,
    internal val boundedIdleCredit: Boolean,
) {
    constructor() : this(floor = true, chargeWhileStreaming = true, boundedIdleCredit = true)
}
