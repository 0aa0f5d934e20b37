/** The fault and load shapes of the policy benchmark. */
package org.hickorytiller.bench

import kotlin.random.Random

/**
 * One scenario.
 *
 * @property reportLagMs age of the load reports; every third is lost if [gappedReports]
 * @property slowFactor how much slower the first engine is from [FAULT_AT_MS] to [FAULT_END_MS]
 * @property evicts whether failure domain 1 is evicted at [FAULT_AT_MS], with five seconds' notice
 * @property logOutage whether non-repeatable requests are refused as not run between [FAULT_AT_MS] and [FAULT_END_MS]
 */
internal class Scenario(
    val name: String,
    val load: LoadAt,
    val reportLagMs: Long = 500,
    val gappedReports: Boolean = false,
    val slowFactor: Double = 1.0,
    val evicts: Boolean = false,
    val logOutage: Boolean = false,
    val extra: (Shape, Random) -> List<Arrival> = { _, _ -> emptyList() },
)

internal const val FAULT_AT_MS = 40_000L
internal const val FAULT_END_MS = 80_000L
internal const val NOTICE_MS = 5_000L

private fun inFault(atMs: Long) = atMs in FAULT_AT_MS until FAULT_END_MS

private fun steady(load: Double): LoadAt = { _, _ -> load }

private val burst: LoadAt = { _, atMs -> if (inFault(atMs)) 3.0 else 0.7 }

private fun abuse(shape: Shape, random: Random) =
    (0 until RUN_MS step 20L).map { arrival(it, shape.traffic[2], customer = 9, random) }

private fun poison(shape: Shape, random: Random) = listOf(30_000L, 50_000L, 70_000L).map {
    val one = arrival(it, shape.traffic[1], customer = 8, random)
    Arrival(one.atMs, one.customer, one.traffic, one.router, one.tokens, one.noise, one.prefix, poison = true)
}

internal val SCENARIOS = listOf(
    Scenario("steady", steady(0.7)),
    Scenario("burst-3x", burst),
    Scenario(
        "one-class-bursts",
        { traffic, atMs ->
            when {
                !inFault(atMs) -> 0.5
                traffic.requestClass.tier.value == 2 -> 6.0
                else -> 0.2
            }
        },
    ),
    Scenario("straggler", steady(0.7), slowFactor = 6.0),
    Scenario("stale-reports", burst, reportLagMs = 5_000, gappedReports = true),
    Scenario("domain-evicted", steady(0.7), evicts = true),
    Scenario("log-outage", steady(0.7), logOutage = true),
    Scenario("crashing-request", steady(0.7), extra = ::poison),
    Scenario("abusive-customer", steady(0.9), extra = ::abuse),
)
