/** The two simulated deployments and their traffic. */
package org.hickorytiller.bench

import org.hickorytiller.core.ClassId
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.RequestClass
import org.hickorytiller.core.Tier

internal val ENGINES = PoolId("engines")
internal val SERVICES = PoolId("services")

/**
 * Traffic of one class.
 *
 * @property share part of the pool's capacity that the class uses at a load of 1
 * @property meanTokens mean length of a response; 0 for a plain service, whose calls take [SERVICE_CALL_MS]
 */
internal class ClassTraffic(val requestClass: RequestClass, val pool: PoolId, val share: Double, val meanTokens: Int) {
    val idempotent: Boolean get() = pool == ENGINES

    /** Mean time that a request of the class occupies a slot. */
    val meanServiceMs: Double
        get() = if (pool == SERVICES) SERVICE_CALL_MS.toDouble() else FIRST_TOKEN_MS + meanTokens * BETWEEN_TOKENS_MS
}

/**
 * Size and traffic of a simulated deployment.
 *
 * @property latencyMs one-way latency between failure domains
 */
internal class DeploymentSpec(
    val name: String,
    val failureDomains: Int,
    val engines: Int,
    val services: Int,
    val latencyMs: Double,
    val traffic: List<ClassTraffic>,
) {
    fun slots(pool: PoolId) = if (pool == ENGINES) engines * ENGINE_SLOTS else services * SERVICE_SLOTS
}

internal const val ROUTER_COUNT = 8
internal const val ENGINE_SLOTS = 8
internal const val SERVICE_SLOTS = 4
internal const val FIRST_TOKEN_MS = 250.0
internal const val BETWEEN_TOKENS_MS = 20.0
internal const val SERVICE_CALL_MS = 150L

private fun traffic(name: String, tier: Int, targetMs: Long, pool: PoolId, share: Double, meanTokens: Int) =
    ClassTraffic(
        RequestClass(ClassId(name), Tier(tier), targetMs, betweenTokensTargetMs = 100, timeoutMs = targetMs * 10),
        pool,
        share,
        meanTokens,
    )

/**
 * In both deployments the top tiers (tier 0 on the services, tier 1 on the engines) use less than a third of the
 * capacity, so they fit in a 3x burst.
 */
internal val ANDAMIO = DeploymentSpec(
    "andamio",
    failureDomains = 4,
    engines = 13,
    services = 4,
    latencyMs = 1.0,
    traffic = listOf(
        traffic("refunds", 0, 1_000, SERVICES, 0.25, 0),
        traffic("reports", 1, 1_500, ENGINES, 0.25, 150),
        traffic("questions", 2, 3_000, ENGINES, 0.40, 80),
        traffic("summaries", 3, 8_000, ENGINES, 0.35, 250),
    ),
)

internal val MAGNOLIA = DeploymentSpec(
    "magnolia",
    failureDomains = 3,
    engines = 8,
    services = 3,
    latencyMs = 0.5,
    traffic = listOf(
        traffic("bookings", 0, 1_000, SERVICES, 0.25, 0),
        traffic("faults", 1, 1_500, ENGINES, 0.25, 120),
        traffic("wiring", 2, 3_000, ENGINES, 0.35, 80),
        traffic("permits", 3, 8_000, ENGINES, 0.40, 300),
    ),
)

internal val DEPLOYMENTS = listOf(ANDAMIO, MAGNOLIA)
