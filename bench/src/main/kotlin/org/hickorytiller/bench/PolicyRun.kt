/** Runs one policy on one scenario and computes the figures of the design page. */
package org.hickorytiller.bench

import org.hickorytiller.core.ClassId
import org.hickorytiller.core.CustomerId

/**
 * Figures of one run.
 *
 * @property attainment by class: requests that met their targets, of those that were not over a limit
 * @property goodputTokens tokens per second of engine answers that met their targets
 * @property wasted part of the tokens that no caller received in a complete answer
 * @property worstServed least part of its fair share that a customer got, over all engine classes and phases
 * @property jain Jain's index of the same parts
 * @property centsPerMegatoken cost of the engines for a million tokens that met their targets
 * @property onReclaimable part of the tokens produced on reclaimable servers
 * @property harmed non-repeatable or top-tier requests lost with their server
 * @property stragglerAnswers see [HickoryRouters.stragglerAnswers]
 */
@Suppress("LongParameterList")
internal class Figures(
    val attainment: Map<ClassId, Double>,
    val goodputTokens: Double,
    val deliveredTokens: Double,
    val wasted: Double,
    val worstServed: Double,
    val jain: Double,
    val centsPerMegatoken: Double,
    val onReclaimable: Double,
    val harmed: Int,
    val stragglerAnswers: Int,
    val outcomes: List<Outcome>,
)

internal fun runPolicy(shape: Shape, scenario: Scenario, policy: Policy, seed: Long): Figures {
    val cell = Cell(shape, scenario)
    val ours = if (policy == Policy.HICKORY || policy == Policy.ONE_ROUTER) {
        HickoryRouters(cell, if (policy == Policy.HICKORY) ROUTERS else 1)
    } else {
        null
    }
    val routers: Routers = ours ?: BaselineRouters(cell, policy)
    cell.plan(routers)
    val outcomes = arrivalTable(shape, seed, scenario.load) { scenario.extra(shape, it) }.map { Outcome(it) }
    outcomes.forEach { outcome -> cell.time.at(outcome.arrival.atMs) { routers.arrive(outcome) } }
    cell.time.run()
    return figures(shape, outcomes, ours?.stragglerAnswers ?: 0)
}

private fun figures(shape: Shape, outcomes: List<Outcome>, stragglerAnswers: Int): Figures {
    val judged = outcomes.filter { it.end != End.LIMITED && it.end != End.LOG_DOWN && !it.arrival.poison }
    val engine = outcomes.filter { it.arrival.traffic.pool == ENGINES }
    val tokens = engine.sumOf { it.tokens }.toDouble()
    val good = engine.filter { it.attained }.sumOf { it.tokens }.toDouble()
    val lost = engine.filter { it.end != End.COMPLETE }.sumOf { it.tokens }.toDouble()
    val parts = fairShareParts(engine)
    val topTier = shape.traffic.filter { it.pool == ENGINES }.minOf { it.requestClass.tier }
    return Figures(
        attainment = shape.traffic.associate { traffic ->
            val ofClass = judged.filter { it.arrival.traffic === traffic }
            traffic.requestClass.id to ofClass.count { it.attained }.toDouble() / maxOf(1, ofClass.size)
        },
        goodputTokens = good / (RUN_MS / 1_000),
        deliveredTokens = (tokens - lost) / (RUN_MS / 1_000),
        wasted = lost / maxOf(1.0, tokens),
        worstServed = parts.minOrNull() ?: 1.0,
        jain = parts.sum() * parts.sum() / (parts.size * parts.sumOf { it * it }),
        centsPerMegatoken = centsOfRun(shape) / maxOf(1.0, good) * 1_000_000,
        onReclaimable = engine.sumOf { it.tokensOnReclaimable } / maxOf(1.0, tokens),
        harmed = outcomes.count {
            it.end == End.FAILED &&
                !it.arrival.poison &&
                (!it.arrival.traffic.idempotent || it.arrival.traffic.requestClass.tier == topTier)
        },
        stragglerAnswers = stragglerAnswers,
        outcomes = outcomes,
    )
}

private fun centsOfRun(shape: Shape): Double {
    val reclaimable = (0 until shape.engines).count { it % 3 == 1 }
    val perHour = (shape.engines - reclaimable) * 400.0 + reclaimable * 150.0
    return perHour * RUN_MS / 3_600_000
}

/**
 * Tokens of each customer relative to its fair share: the max-min fair division of what each class got in each phase of
 * the scenario. Phases are divided one by one, because a customer owes nothing for capacity that nobody else wanted.
 */
private fun fairShareParts(outcomes: List<Outcome>): List<Double> {
    val got = HashMap<CustomerId, Double>()
    val fair = HashMap<CustomerId, Double>()
    outcomes.filter { !it.arrival.poison }.groupBy { it.arrival.traffic to it.arrival.atMs / PHASE_MS }.values.forEach {
        val byCustomer = it.groupBy { outcome -> outcome.arrival.customer }
        val tokens = byCustomer.mapValues { (_, of) -> completeTokens(of) }
        val wanted = byCustomer.mapValues { (_, of) -> of.sumOf { one -> one.arrival.tokens }.toDouble() }
        maxMinFair(wanted, tokens.values.sum()).forEach { (customer, share) ->
            fair.merge(customer, share, Double::plus)
        }
        tokens.forEach { (customer, sum) -> got.merge(customer, sum, Double::plus) }
    }
    return fair.filterValues { it > 0 }.map { (customer, share) -> got.getValue(customer) / share }
}

private fun completeTokens(outcomes: List<Outcome>) =
    outcomes.filter { it.end == End.COMPLETE }.sumOf { it.tokens }.toDouble()

/** Divides [total] so that nobody gets more than wanted and the smallest share is as large as possible. */
internal fun maxMinFair(wanted: Map<CustomerId, Double>, total: Double): Map<CustomerId, Double> {
    var left = total
    val shares = HashMap<CustomerId, Double>()
    wanted.entries.sortedBy { it.value }.forEachIndexed { index, (customer, amount) ->
        val share = minOf(amount, left / (wanted.size - index))
        shares[customer] = share
        left -= share
    }
    return shares
}

private const val PHASE_MS = 40_000L
