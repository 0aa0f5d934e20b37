/**
 * Measures the time that a router spends on one change of the configuration, and the size of the state that a starting
 * router receives from a peer, by the number of customers. Run by hand, not in CI.
 */
package org.hickorytiller.bench

import org.hickorytiller.configuration.ConfigurationRecord
import org.hickorytiller.configuration.ConfigurationState
import org.hickorytiller.configuration.KeyWithdrawn
import org.hickorytiller.configuration.Section
import org.hickorytiller.configuration.SectionProposed
import org.hickorytiller.configuration.encodeState
import org.hickorytiller.core.LogOffset
import org.hickorytiller.keys.hashKey

/** Prints one line of measurements for each number of customers. */
internal fun printConfigurationCost() {
    println("customers  change of a customer ms  withdrawal ms  encode ms  state KB")
    CUSTOMER_COUNTS.forEach { customers ->
        var state = configurationWith(customers)
        var nextOffset = state.offset
        fun applyNext(record: ConfigurationRecord) {
            nextOffset = nextOffset.next()
            state = state.apply(record, nextOffset)
        }
        val changeMs = medianMs { applyNext(customerChange(state, nextOffset.value.toInt() % customers)) }
        val withdrawalMs = medianMs { applyNext(KeyWithdrawn(hashKey("unused-${nextOffset.value}").value)) }
        val encodeMs = medianMs { encodeState(state) }
        println(
            "%9d  %23.2f  %13.2f  %9.1f  %8d".format(
                customers,
                changeMs,
                withdrawalMs,
                encodeMs,
                encodeState(state).size / BYTES_PER_KB,
            ),
        )
    }
}

private fun configurationWith(customers: Int): ConfigurationState {
    val content = (0 until customers).joinToString("") { customerToml(it, weight = 1) }
    val proposal = SectionProposed("initial", Section.CUSTOMERS.key, LogOffset.NONE.value, "bench", content)
    val state = ConfigurationState().apply(proposal, LogOffset(0))
    check(state.document.customers.size == customers) { "the configuration was not accepted" }
    return state
}

private fun customerChange(state: ConfigurationState, index: Int): SectionProposed {
    val weight = 1 + (state.offset.value % WEIGHTS).toInt()
    val base = state.offsetOf(Section.CUSTOMERS).value
    return SectionProposed("p-${state.offset}", Section.CUSTOMERS.key, base, "bench", customerToml(index, weight))
}

private fun customerToml(index: Int, weight: Int) =
    "[customers.customer-$index]\nweight = $weight\nkeyHashes = [\"${hashKey("key-$index").value}\"]\n"

private fun medianMs(action: () -> Unit): Double {
    repeat(WARM_UP) { action() }
    val durationsNs = LongArray(ROUNDS) {
        val startNs = System.nanoTime()
        action()
        System.nanoTime() - startNs
    }
    return durationsNs.sorted()[ROUNDS / 2] / NANOS_PER_MS
}

private const val WARM_UP = 30
private const val ROUNDS = 31
private const val WEIGHTS = 100
private const val NANOS_PER_MS = 1_000_000.0
private const val BYTES_PER_KB = 1_000
