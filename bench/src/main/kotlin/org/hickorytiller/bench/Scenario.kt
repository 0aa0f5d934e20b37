/** The load profiles and faults of the policy benchmark. */
package org.hickorytiller.bench

import kotlin.random.Random

/**
 * Load and faults of one run.
 *
 * @property reportLagMs age of the load reports on arrival
 * @property dropsReports whether every third load report is lost
 * @property slowFactor how much slower the first engine is from [FAULT_AT_MS] to [FAULT_END_MS]
 * @property evictsDomain whether the reclaimable servers of failure domain `zone-1` are evicted; the notice comes at
 *   [FAULT_AT_MS], five seconds before the servers stop
 * @property hasLogOutage whether the log is down from [FAULT_AT_MS] to [FAULT_END_MS], so that [HickoryRouters] refuse
 *   requests that are not idempotent
 * @property extraArrivals arrivals on top of those of [load]
 */
internal class Scenario(
    val name: String,
    val load: LoadProfile,
    val reportLagMs: Long = 500,
    val dropsReports: Boolean = false,
    val slowFactor: Double = 1.0,
    val evictsDomain: Boolean = false,
    val hasLogOutage: Boolean = false,
    val extraArrivals: (DeploymentSpec, Random) -> List<Arrival> = { _, _ -> emptyList() },
)

internal const val FAULT_AT_MS = 40_000L
internal const val FAULT_END_MS = 80_000L
internal const val NOTICE_MS = 5_000L

private fun inFault(atMs: Long) = atMs in FAULT_AT_MS until FAULT_END_MS

private fun steady(load: Double): LoadProfile = { _, _ -> load }

private val burst: LoadProfile = { _, atMs -> if (inFault(atMs)) 3.0 else 0.7 }

private fun abusiveRequests(deployment: DeploymentSpec, random: Random) =
    (0 until RUN_MS step 20L).map { arrival(it, deployment.traffic[2], customer = 9, random) }

private fun crashingRequests(deployment: DeploymentSpec, random: Random) = listOf(30_000L, 50_000L, 70_000L).map {
    val request = arrival(it, deployment.traffic[1], customer = 8, random)
    Arrival(
        request.atMs,
        request.customer,
        request.traffic,
        request.router,
        request.tokens,
        request.noise,
        request.prefix,
        crashesServer = true,
    )
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
    Scenario("stale-reports", burst, reportLagMs = 5_000, dropsReports = true),
    Scenario("domain-evicted", steady(0.7), evictsDomain = true),
    Scenario("log-outage", steady(0.7), hasLogOutage = true),
    Scenario("crashing-request", steady(0.7), extraArrivals = ::crashingRequests),
    Scenario("abusive-customer", steady(0.9), extraArrivals = ::abusiveRequests),
)
