/**
 * Tracks the orders that are in effect, so that an order is sent once and retried only if the listed servers do not
 * match it. An order without a response may still be carried out, so retries depend on the listed servers.
 */
package org.hickorytiller.scaling

import org.hickorytiller.core.Clock
import org.hickorytiller.core.TimeMs

/**
 * @property retryMs time after which an order that has not taken effect is retried; longer than the start of a server
 */
data class OrderRules(val retryMs: Long = 8_000)

/** Orders of the process that holds the duty. Confined to the event loop. */
class OrderTracker(private val clock: Clock, private val rules: OrderRules = OrderRules()) {
    private val sent = HashMap<ServerGroup, Sent>()

    /** Returns the orders of [wanted] to send. [count] returns the present number of servers of a group. */
    fun toSend(wanted: List<FleetOrder>, count: (ServerGroup) -> Int): List<FleetOrder> = wanted.filter { order ->
        val last = sent[order.group]
        when {
            last == null -> true
            last.count != order.count -> true
            else -> count(order.group) != order.count && clock() - last.at >= rules.retryMs
        }
    }

    /** Records that the platform accepted [order]. */
    fun markAccepted(order: FleetOrder) {
        sent[order.group] = Sent(order.count, clock())
    }

    /** Removes all orders, since another host may have placed different ones in the meantime. */
    fun clear() = sent.clear()

    private class Sent(val count: Int, val at: TimeMs)
}
