/** Constants of the admission policy. */
package org.hickorytiller.admission

/**
 * @property starvationBoundMs time without a grant after which a class with waiting work receives the next free slot
 * @property floorEvery at most one in this many grants goes to a class by [starvationBoundMs]
 * @property serviceHalfLifeMs time in which the service that a customer has had loses half of its effect
 * @property initialServiceMs service time that is assumed for a class until the first of its requests has ended
 * @property initialTokens length that is assumed for the answers of a class until the first of them has ended
 */
data class AdmissionRules(
    val starvationBoundMs: Long = 10_000,
    val floorEvery: Int = 20,
    val serviceHalfLifeMs: Long = 60_000,
    val initialServiceMs: Long = 1_000,
    val initialTokens: Int = 100,
    val mechanisms: Mechanisms = Mechanisms(),
)

/** Mechanisms that a test can switch off to show the violation that each of them prevents. */
class Mechanisms internal constructor(
    internal val floor: Boolean,
    internal val chargeWhileStreaming: Boolean,
    internal val boundedIdleCredit: Boolean,
) {
    constructor() : this(floor = true, chargeWhileStreaming = true, boundedIdleCredit = true)
}
