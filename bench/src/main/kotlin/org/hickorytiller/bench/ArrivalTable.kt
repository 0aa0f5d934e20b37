/** Seeded tables of request arrivals. All policies run on the same table. */
package org.hickorytiller.bench

import org.hickorytiller.core.CustomerId
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random

/**
 * A request and when it arrives.
 *
 * @property router index of the router whose address the caller uses
 * @property noise random factor on the time to first token of an engine, or on the call time of a plain service
 * @property prefix id of the prompt prefix; the requests of a customer share a few prefixes
 * @property crashesServer whether the request crashes every server that runs it
 */
internal class Arrival(
    val atMs: Long,
    val customer: CustomerId,
    val traffic: ClassTraffic,
    val router: Int,
    val tokens: Int,
    val noise: Double,
    val prefix: Int,
    val crashesServer: Boolean = false,
)

/** Load of a class at a time in milliseconds; at 1 the class uses all of its share of the capacity. */
internal typealias LoadProfile = (ClassTraffic, Long) -> Double

/** Three large customers and seven small ones; [CUSTOMER_SHARES] are their parts of the traffic. */
internal val CUSTOMERS = List(10) { CustomerId("customer-$it") }
private val CUSTOMER_SHARES = listOf(0.24, 0.20, 0.16) + List(7) { 0.40 / 7 }

/**
 * Poisson arrivals over [RUN_MS]. Callers keep a router's address for [ADDRESS_LIFETIME_MS]; in that time each customer
 * uses three routers.
 */
internal fun arrivalTable(
    deployment: DeploymentSpec,
    seed: Long,
    load: LoadProfile,
    extraArrivals: (Random) -> List<Arrival>,
): List<Arrival> {
    val arrivals = mutableListOf<Arrival>()
    deployment.traffic.forEachIndexed { index, traffic ->
        val random = Random(seed * 100 + index)
        val arrivalsPerMs = traffic.share * deployment.slots(traffic.pool) / traffic.meanServiceMs
        var atMs = 0.0
        // Thinning: draws candidates at the maximum rate and keeps each with the ratio of the current rate to it.
        while (true) {
            atMs += -ln(1 - random.nextDouble()) / (arrivalsPerMs * MAX_LOAD)
            if (atMs >= RUN_MS) break
            if (random.nextDouble() * MAX_LOAD > load(traffic, atMs.toLong())) continue
            arrivals += arrival(atMs.toLong(), traffic, customerIndex(random), random)
        }
    }
    arrivals += extraArrivals(Random(seed))
    return arrivals.sortedBy { it.atMs }
}

internal fun arrival(atMs: Long, traffic: ClassTraffic, customer: Int, random: Random): Arrival {
    val period = (atMs / ADDRESS_LIFETIME_MS).toInt()
    return Arrival(
        atMs,
        CUSTOMERS[customer],
        traffic,
        router = (customer * 3 + period + random.nextInt(3)) % ROUTER_COUNT,
        tokens = responseTokens(traffic.meanTokens, random),
        noise = exp(0.25 * gaussian(random)),
        prefix = customer * 4 + random.nextInt(4),
    )
}

private fun customerIndex(random: Random): Int {
    var remaining = random.nextDouble()
    CUSTOMER_SHARES.forEachIndexed { index, share ->
        remaining -= share
        if (remaining < 0) return index
    }
    return CUSTOMER_SHARES.size - 1
}

// Log-normal with the given mean; at least 4 tokens and at most eight times the mean.
private fun responseTokens(mean: Int, random: Random): Int {
    if (mean == 0) return 0
    val length = mean * exp(0.6 * gaussian(random) - 0.18)
    return length.toInt().coerceIn(4, mean * 8)
}

private fun gaussian(random: Random): Double = List(12) { random.nextDouble() }.sum() - 6

internal const val RUN_MS = 120_000L
private const val MAX_LOAD = 8.0
private const val ADDRESS_LIFETIME_MS = 10_000L
