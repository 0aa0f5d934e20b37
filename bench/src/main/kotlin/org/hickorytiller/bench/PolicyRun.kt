/** Runs one policy on one scenario and computes its metrics. */
package org.hickorytiller.bench

import org.hickorytiller.core.ClassId
import org.hickorytiller.core.CustomerId

/**
 * Metrics of one run.
 *
 * @property attainment part of the requests that met their targets, by class; without the requests that were over a
 *   limit, refused because of a log outage, or that crash servers
 * @property goodputTokens tokens per second of engine responses that met their targets
 * @property deliveredTokens tokens per second of complete engine responses
 * @property wastedTokenRatio part of the engine tokens that do not belong to a complete response
 * @property minFairShareRatio lowest ratio, over all customers, of delivered tokens to fair share, each summed over the
 *   engine classes and phases
 * @property jainIndex Jain's fairness index of the ratios of all customers
 * @property centsPerMegatoken cost of the engines for a million tokens that met their targets
 * @property reclaimableTokenRatio part of the engine tokens produced on reclaimable servers
 * @property criticalFailures failed requests that are not idempotent or belong to the top tier of the engines
 * @property stragglerResponses see [HickoryRouters.stragglerResponses]
 */
@Suppress("LongParameterList")
internal class RunMetrics(
    val attainment: Map<ClassId, Double>,
    val goodputTokens: Double,
    val deliveredTokens: Double,
    val wastedTokenRatio: Double,
    val minFairShareRatio: Double,
    val jainIndex: Double,
    val centsPerMegatoken: Double,
    val reclaimableTokenRatio: Double,
    val criticalFailures: Int,
    val stragglerResponses: Int,
    val results: List<RequestResult>,
)

internal fun runPolicy(deployment: DeploymentSpec, scenario: Scenario, policy: Policy, seed: Long): RunMetrics {
    val simulation = Simulation(deployment, scenario)
    val hickory = if (policy == Policy.HICKORY || policy == Policy.ONE_ROUTER) {
        HickoryRouters(simulation, if (policy == Policy.HICKORY) ROUTER_COUNT else 1)
    } else {
        null
    }
    val routers: SimulatedRouters = hickory ?: BaselineRouters(simulation, policy)
    simulation.scheduleFaults(routers)
    val results = arrivalTable(deployment, seed, scenario.load) { scenario.extraArrivals(deployment, it) }
        .map { RequestResult(it) }
    results.forEach { result -> simulation.time.at(result.arrival.atMs) { routers.submit(result) } }
    simulation.time.run()
    return computeMetrics(deployment, results, hickory?.stragglerResponses ?: 0)
}

private fun computeMetrics(
    deployment: DeploymentSpec,
    results: List<RequestResult>,
    stragglerResponses: Int,
): RunMetrics {
    val counted = results.filter {
        it.end != RequestEnd.LIMITED &&
            it.end != RequestEnd.LOG_DOWN &&
            !it.arrival.crashesServer
    }
    val engineResults = results.filter { it.arrival.traffic.pool == ENGINES }
    val tokens = engineResults.sumOf { it.tokens }.toDouble()
    val goodTokens = engineResults.filter { it.meetsTargets }.sumOf { it.tokens }.toDouble()
    val lostTokens = engineResults.filter { it.end != RequestEnd.COMPLETE }.sumOf { it.tokens }.toDouble()
    val ratios = fairShareRatios(engineResults)
    val topTier = deployment.traffic.filter { it.pool == ENGINES }.minOf { it.requestClass.tier }
    return RunMetrics(
        attainment = deployment.traffic.associate { traffic ->
            val ofClass = counted.filter { it.arrival.traffic === traffic }
            traffic.requestClass.id to ofClass.count { it.meetsTargets }.toDouble() / maxOf(1, ofClass.size)
        },
        goodputTokens = goodTokens / (RUN_MS / 1_000),
        deliveredTokens = (tokens - lostTokens) / (RUN_MS / 1_000),
        wastedTokenRatio = lostTokens / maxOf(1.0, tokens),
        minFairShareRatio = ratios.minOrNull() ?: 1.0,
        jainIndex = ratios.sum() * ratios.sum() / (ratios.size * ratios.sumOf { it * it }),
        centsPerMegatoken = centsOfRun(deployment) / maxOf(1.0, goodTokens) * 1_000_000,
        reclaimableTokenRatio = engineResults.sumOf { it.tokensOnReclaimable } / maxOf(1.0, tokens),
        criticalFailures = results.count {
            it.end == RequestEnd.FAILED &&
                !it.arrival.crashesServer &&
                (!it.arrival.traffic.idempotent || it.arrival.traffic.requestClass.tier == topTier)
        },
        stragglerResponses = stragglerResponses,
        results = results,
    )
}

private fun centsOfRun(deployment: DeploymentSpec): Double {
    val reclaimable = (0 until deployment.engines).count { it % 3 == 1 }
    val perHour = (deployment.engines - reclaimable) * 400.0 + reclaimable * 150.0
    return perHour * RUN_MS / 3_600_000
}

/**
 * Returns the delivered tokens of each customer relative to its fair share. The fair share is the max-min fair division
 * of the tokens that each class delivered in each phase of the scenario. Each phase is divided separately, so that a
 * customer's use of capacity that no other customer wants does not count against it in another phase.
 */
private fun fairShareRatios(results: List<RequestResult>): List<Double> {
    val delivered = HashMap<CustomerId, Double>()
    val fairShares = HashMap<CustomerId, Double>()
    results.filter { !it.arrival.crashesServer }.groupBy { it.arrival.traffic to it.arrival.atMs / PHASE_MS }.values
        .forEach {
            val byCustomer = it.groupBy { result -> result.arrival.customer }
            val tokens = byCustomer.mapValues { (_, ofCustomer) -> completeTokens(ofCustomer) }
            val wanted = byCustomer.mapValues { (_, ofCustomer) ->
                ofCustomer.sumOf { result -> result.arrival.tokens }.toDouble()
            }
            maxMinFair(wanted, tokens.values.sum()).forEach { (customer, share) ->
                fairShares.merge(customer, share, Double::plus)
            }
            tokens.forEach { (customer, sum) -> delivered.merge(customer, sum, Double::plus) }
        }
    return fairShares.filterValues { it > 0 }.map { (customer, share) -> delivered.getValue(customer) / share }
}

private fun completeTokens(results: List<RequestResult>) =
    results.filter { it.end == RequestEnd.COMPLETE }.sumOf { it.tokens }.toDouble()

/** Divides [total] so that no customer gets more than it wanted and the smallest share is as large as possible. */
internal fun maxMinFair(wanted: Map<CustomerId, Double>, total: Double): Map<CustomerId, Double> {
    var remaining = total
    val shares = HashMap<CustomerId, Double>()
    wanted.entries.sortedBy { it.value }.forEachIndexed { index, (customer, amount) ->
        val share = minOf(amount, remaining / (wanted.size - index))
        shares[customer] = share
        remaining -= share
    }
    return shares
}

private const val PHASE_MS = 40_000L
