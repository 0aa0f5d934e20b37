/** Runs every policy on every scenario, checks the bounds that the design page states, and prints both. */
package org.hickorytiller.bench

import java.util.Locale

/** A bound from the design page, and whether a run keeps it. */
internal class Check(val name: String, val value: Double, val bound: String, val holds: Boolean)

/** The figures of all policies on one scenario. */
internal class Comparison(val shape: Shape, val scenario: Scenario, val figures: Map<Policy, Figures>) {
    val ours: Figures get() = figures.getValue(Policy.HICKORY)

    /** The bounds that apply to the scenario. */
    fun checks(): List<Check> {
        val baselines = figures.filterKeys { it != Policy.HICKORY && it != Policy.ONE_ROUTER }.values
        val goodput = ours.goodputTokens / baselines.maxOf { it.goodputTokens }
        val worst = ours.worstServed
        val common = listOf(
            Check("goodput / best baseline", goodput, ">= 0.95", goodput >= 0.95),
            Check("worst-served customer", worst, ">= 0.80", worst >= 0.80),
            Check("wasted work", ours.wasted, "< 0.05", ours.wasted < 0.05),
            slotLoss(),
        )
        return common + attainmentChecks() + stragglerChecks()
    }

    private fun slotLoss(): Check {
        val loss = 1 - ours.deliveredTokens / figures.getValue(Policy.ONE_ROUTER).deliveredTokens
        return Check("slot loss from sharing", loss, "< 0.05", loss < 0.05)
    }

    // The log outage refuses bookings and refunds by design, so there the attainment is that of what may run.
    private fun attainmentChecks(): List<Check> = shape.traffic.filter { it.requestClass.tier.value <= 1 }.map {
        val attained = ours.attainment.getValue(it.requestClass.id)
        Check("top tier ${it.requestClass.id}", attained, ">= 0.99", attained >= 0.99)
    }

    private fun stragglerChecks(): List<Check> {
        if (scenario.slowFactor <= 1) return emptyList()
        val answers = ours.stragglerAnswers
        return listOf(Check("straggler seen after", answers.toDouble(), "1..5", answers in 1..5))
    }
}

internal fun compare(shape: Shape, scenario: Scenario, seed: Long = SEED): Comparison =
    Comparison(shape, scenario, Policy.entries.associateWith { runPolicy(shape, scenario, it, seed) })

/** Prints the tables; true if every bound holds. */
internal fun printPolicyBenchmark(names: List<String>): Boolean {
    println("policy benchmark, seed $SEED, ${RUN_MS / 1_000} s of virtual time, $ROUTERS routers")
    val chosen = SCENARIOS.filter { names.isEmpty() || it.name in names }
    var missed = 0
    SHAPES.forEach { shape ->
        chosen.forEach { scenario ->
            val comparison = compare(shape, scenario)
            printComparison(comparison)
            missed += comparison.checks().count { !it.holds }
        }
    }
    println(if (missed == 0) "all bounds hold" else "$missed bounds missed")
    return missed == 0
}

private fun printComparison(comparison: Comparison) {
    val classes = comparison.shape.traffic.map { it.requestClass.id }
    println()
    println("${comparison.shape.name} / ${comparison.scenario.name}")
    val head = classes.joinToString(" ") { "%9s".format(it.value) }
    println("%-16s %s  goodput  wasted  worst   jain  c/Mtok  reclaim  harmed".format("policy", head))
    comparison.figures.forEach { (policy, figures) ->
        val attained = classes.joinToString(" ") { "%9s".format(number("%.4f", figures.attainment.getValue(it))) }
        println(
            "%-16s %s %8s %7s %6s %6s %7s %8s %7d".format(
                policy.label,
                attained,
                number("%.0f", figures.goodputTokens),
                number("%.3f", figures.wasted),
                number("%.3f", figures.worstServed),
                number("%.3f", figures.jain),
                number("%.0f", figures.centsPerMegatoken),
                number("%.3f", figures.onReclaimable),
                figures.harmed,
            ),
        )
    }
    listOf(Policy.HICKORY, Policy.ONE_ROUTER).forEach { printMisses(it, comparison.figures.getValue(it)) }
    comparison.checks().forEach {
        println("  ${if (it.holds) "ok    " else "MISSED"} ${it.name}: ${number("%.4f", it.value)} (${it.bound})")
    }
}

/** Why requests missed their targets, by class. */
private fun printMisses(policy: Policy, figures: Figures) {
    val missed = figures.outcomes.filter { !it.attained }.groupBy { it.arrival.traffic.requestClass.id }
    val text = missed.entries.joinToString { (id, of) ->
        val ends = of.groupingBy { if (it.end == End.COMPLETE) "late" else it.end.name.lowercase() }.eachCount()
        "$id ${ends.toSortedMap()}"
    }
    println("  ${policy.label} missed: $text")
}

internal fun number(format: String, value: Double): String = String.format(Locale.ROOT, format, value)

internal const val SEED = 20_261L
