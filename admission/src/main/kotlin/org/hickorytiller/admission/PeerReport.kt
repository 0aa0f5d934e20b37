/** Reports that the routers of a cell exchange every exchange interval, independent of their encoding. */
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
 * @property waiting number of requests that wait for a slot
 * @property running number of requests that hold a slot
 * @property offeredSlots slots that the recent arrivals, including refused ones, would occupy on average
 */
data class ClassDemand(
    val pool: PoolId,
    val requestClass: ClassId,
    val tier: Tier,
    val waiting: Int,
    val running: Int,
    val offeredSlots: Int = 0,
) {
    // Waiting and running requests alone are a noisy sample and leave out requests refused because the quota was too
    // small. The square root is the standard deviation of Poisson arrivals.
    internal val wantedSlots: Double
        get() = maxOf((waiting + running).toDouble(), offeredSlots + sqrt(offeredSlots.toDouble()))
}

/**
 * Service of one router to one customer in one class.
 *
 * All figures are current values, not increments, so lost reports do no harm and a router that joins gets the recent
 * history with the first report.
 *
 * @property chargedTokens tokens that this router charged, decayed with [AdmissionRules.serviceHalfLifeMs]
 * @property running number of waiting and running requests
 * @property requestsPerMinute accepted requests, as a count that decays with a time constant of one minute
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
 * @property sequence increases with each report of the process, so that a late report does not replace a newer one
 * @property customers customers whose figures changed since the previous report; the figures of others still apply
 * @property inFlight requests in flight by backend server
 */
data class PeerReport(
    val sequence: Long,
    val demand: List<ClassDemand> = emptyList(),
    val customers: List<CustomerReport> = emptyList(),
    val inFlight: Map<BackendServerId, Int> = emptyMap(),
)
