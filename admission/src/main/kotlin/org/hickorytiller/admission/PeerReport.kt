/** What the routers of a cell tell each other every exchange interval. Decisions only; the encoding is elsewhere. */
package org.hickorytiller.admission

import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.ClassId
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.Tier
import kotlin.math.sqrt

/**
 * Demand of one router for one class in one pool.
 *
 * @property waiting requests that wait for a slot
 * @property running requests that hold a slot
 * @property offeredSlots slots that the recent arrivals would keep busy, refused ones included
 */
data class ClassDemand(
    val pool: PoolId,
    val requestClass: ClassId,
    val tier: Tier,
    val waiting: Int,
    val running: Int,
    val offeredSlots: Int = 0,
) {
    // Waiting and running requests alone are a noisy sample, and leave out what was refused for want of a quota. The
    // square root is the usual variation of random arrivals.
    internal val wantedSlots: Double
        get() = maxOf((waiting + running).toDouble(), offeredSlots + sqrt(offeredSlots.toDouble()))
}

/**
 * Service of one router to one customer in one class.
 *
 * All figures are present values, not increments, so a report may be lost and a router that joins learns the recent
 * past from the first one.
 *
 * @property chargedTokens tokens that this router charged, decayed with the half-life of [AdmissionRules]
 * @property running requests that wait or run
 * @property requestsPerMinute accepted requests, decayed with one minute
 */
data class CustomerReport(
    val pool: PoolId,
    val requestClass: ClassId,
    val customer: CustomerId,
    val chargedTokens: Long,
    val running: Int,
    val requestsPerMinute: Int,
)

/**
 * Report of one router.
 *
 * @property sequence grows with each report of the process, so that a late report does not replace a newer one
 * @property customers the customers with any change since the previous report; the others keep their figures
 * @property inFlight requests in flight by backend server
 */
data class PeerReport(
    val sequence: Long,
    val demand: List<ClassDemand> = emptyList(),
    val customers: List<CustomerReport> = emptyList(),
    val inFlight: Map<BackendServerId, Int> = emptyMap(),
)
