/**
 * Measures time and allocation of single decisions. Run by hand, not in CI. A timed loop after a warm-up replaces
 * JMH, whose generator is an annotation processor that the Kotlin build does not run.
 */
package org.hickorytiller.bench

import com.sun.management.ThreadMXBean
import org.HdrHistogram.Histogram
import org.hickorytiller.admission.AdmissionQueue
import org.hickorytiller.admission.Ticket
import org.hickorytiller.admission.TicketId
import org.hickorytiller.balancing.BackendServerTable
import org.hickorytiller.balancing.SelectionRequest
import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.ClassId
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.RequestClass
import org.hickorytiller.core.Tier
import org.hickorytiller.core.TimeMs
import java.lang.management.ManagementFactory
import java.net.InetSocketAddress

/** Time and allocated bytes of one decision; [bytes] is the mean. */
internal class DecisionCost(val meanUs: Double, val p99Us: Double, val bytes: Double)

/** Numbers of backend servers that are measured. */
internal val SERVER_COUNTS = listOf(10, 100, 400, 940)

/** Numbers of customers that are measured. */
internal val CUSTOMER_COUNTS = listOf(100, 1_000, 6_000, 24_000)

/** Bytes that the calling thread has allocated so far. */
internal fun allocatedBytes(): Long =
    (ManagementFactory.getThreadMXBean() as ThreadMXBean).getThreadAllocatedBytes(Thread.currentThread().id)

/** Returns a decision that chooses one of [servers] backend servers and records the start and end of the request. */
internal fun choiceDecision(servers: Int): () -> Unit {
    var nowMs = 0L
    val table = BackendServerTable({ TimeMs(nowMs) })
    table.replace(
        List(servers) { index ->
            BackendServer(
                BackendServerId("engine-$index"),
                ENGINES,
                InetSocketAddress.createUnresolved("engine-$index", 1),
                FailureDomain("zone-${index % 7}"),
                BackendServerState.RUNNING,
                ENGINE_SLOTS,
                reclaimable = index % 3 == 1,
            )
        },
    )
    val request = SelectionRequest(ENGINES, prefix = longArrayOf(1, 2, 3, 4))
    return {
        nowMs++
        val chosen = checkNotNull(table.choose(request)).id
        table.started(chosen)
        table.recordTimeToFirstToken(chosen, 250)
        table.ended(chosen)
    }
}

/**
 * Returns a decision that passes one request through a queue in which each of [customers] customers has a request
 * waiting: offer, grant, charge and end.
 */
internal fun admissionDecision(customers: Int): () -> Unit {
    val requestClass = RequestClass(ClassId("chat"), Tier(1), 1_000_000_000, 28, 1_000_000_000)
    val queue = AdmissionQueue { 64 }
    val names = List(customers) { CustomerId("customer-$it") }
    var id = 0L
    var nowMs = 0L
    val offer = {
        val now = TimeMs(nowMs)
        val customer = names[(id % customers).toInt()]
        val ticket =
            Ticket(TicketId(id++), customer, requestClass, ENGINES, now, now + 1_000_000_000, idempotent = true)
        queue.offer(ticket, now)
    }
    repeat(customers) { offer() }
    return {
        nowMs++
        offer()
        val granted = checkNotNull(queue.grant(TimeMs(nowMs)))
        queue.charge(granted.id, 1 + (id % 97).toInt(), TimeMs(nowMs))
        queue.ended(granted.id, TimeMs(nowMs))
    }
}

/** Measures [runs] calls of [decision] after [warmUp] calls. */
internal fun measure(decision: () -> Unit, warmUp: Int = 100_000, runs: Int = 100_000): DecisionCost {
    repeat(warmUp) { decision() }
    val durations = Histogram(3)
    val bytesBefore = allocatedBytes()
    repeat(runs) {
        val startNs = System.nanoTime()
        decision()
        durations.recordValue(System.nanoTime() - startNs)
    }
    val bytes = allocatedBytes() - bytesBefore
    return DecisionCost(durations.mean / 1_000, durations.getValueAtPercentile(99.0) / 1_000.0, bytes.toDouble() / runs)
}

internal fun printDecisionTimes() {
    println("%-32s %10s %10s %10s".format("decision", "mean us", "p99 us", "bytes"))
    SERVER_COUNTS.forEach { printCost("choose among $it servers", measure(choiceDecision(it))) }
    CUSTOMER_COUNTS.forEach { printCost("admit among $it customers", measure(admissionDecision(it))) }
}

private fun printCost(name: String, cost: DecisionCost) = println(
    "%-32s %10s %10s %10s".format(
        name,
        formatted("%.2f", cost.meanUs),
        formatted("%.2f", cost.p99Us),
        formatted("%.0f", cost.bytes),
    ),
)
