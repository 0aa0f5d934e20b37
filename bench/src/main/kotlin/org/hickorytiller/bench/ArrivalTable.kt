/** Fixed, seeded tables of arrivals. Every policy runs on the same table. */
package org.hickorytiller.bench

import org.hickorytiller.core.CustomerId
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random

/**
 * One request.
 *
 * @property router the router whose address the caller holds
 * @property noise factor on the time to first token
 * @property prefix number of the prompt prefix, shared by requests of the customer
 * @property poison whether it crashes each server that runs it
 */
internal class Arrival(
    val atMs: Long,
    val customer: CustomerId,
    val traffic: ClassTraffic,
    val router: Int,
    val tokens: Int,
    val noise: Double,
    val prefix: Int,
    val poison: Boolean = false,
)

/** Load of a class at a time, relative to its share of the capacity. */
internal typealias LoadAt = (ClassTraffic, Long) -> Double

/** The part of the traffic by customer: three large customers and seven small ones. */
internal val CUSTOMERS = List(10) { CustomerId("customer-$it") }
private val CUSTOMER_PARTS = listOf(0.24, 0.20, 0.16) + List(7) { 0.40 / 7 }

/** Poisson arrivals over [RUN_MS]. Callers hold an address for a while: each customer uses three routers at a time. */
internal fun arrivalTable(shape: Shape, seed: Long, load: LoadAt, extra: (Random) -> List<Arrival>): List<Arrival> {
    val arrivals = mutableListOf<Arrival>()
    shape.traffic.forEachIndexed { index, traffic ->
        val random = Random(seed * 100 + index)
        val perMs = traffic.share * shape.slots(traffic.pool) / traffic.meanServiceMs
        var atMs = 0.0
        // Thinning: candidates at the highest rate, kept with the probability of the present one.
        while (true) {
            atMs += -ln(1 - random.nextDouble()) / (perMs * HIGHEST_LOAD)
            if (atMs >= RUN_MS) break
            if (random.nextDouble() * HIGHEST_LOAD > load(traffic, atMs.toLong())) continue
            arrivals += arrival(atMs.toLong(), traffic, customerIndex(random), random)
        }
    }
    arrivals += extra(Random(seed))
    return arrivals.sortedBy { it.atMs }
}

internal fun arrival(atMs: Long, traffic: ClassTraffic, customer: Int, random: Random): Arrival {
    val period = (atMs / ADDRESS_LIFETIME_MS).toInt()
    return Arrival(
        atMs,
        CUSTOMERS[customer],
        traffic,
        router = (customer * 3 + period + random.nextInt(3)) % ROUTERS,
        tokens = answerTokens(traffic.meanTokens, random),
        noise = exp(0.25 * gaussian(random)),
        prefix = customer * 4 + random.nextInt(4),
    )
}

private fun customerIndex(random: Random): Int {
    var left = random.nextDouble()
    CUSTOMER_PARTS.forEachIndexed { index, part ->
        left -= part
        if (left < 0) return index
    }
    return CUSTOMER_PARTS.size - 1
}

// Log-normal lengths with the given mean, at most eight times as long.
private fun answerTokens(mean: Int, random: Random): Int {
    if (mean == 0) return 0
    val length = mean * exp(0.6 * gaussian(random) - 0.18)
    return length.toInt().coerceIn(4, mean * 8)
}

private fun gaussian(random: Random): Double = List(12) { random.nextDouble() }.sum() - 6

internal const val RUN_MS = 120_000L
private const val HIGHEST_LOAD = 8.0
private const val ADDRESS_LIFETIME_MS = 10_000L
