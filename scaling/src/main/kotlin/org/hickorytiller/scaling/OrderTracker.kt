/**
 * Remembers which orders are in force, so that an order is sent once and repeated only if what is seen does not follow
 * it. An order without an answer may still be carried out, so what is seen decides, not what was sent.
 */
package org.hickorytiller.scaling

import org.hickorytiller.core.Clock
import org.hickorytiller.core.TimeMs

/**
 * @property repeatMs time that an order has to show before it is sent again; longer than a server's start
 */
data class OrderRules(val repeatMs: Long = 8_000)

/** Orders of one holder of the duty. Confined to the event loop. */
class OrderTracker(private val clock: Clock, private val rules: OrderRules = OrderRules()) {
    private val sent = HashMap<ServerGroup, Sent>()

    /** Of [wanted], the orders that have to be sent, given what [count] says is there. */
    fun toSend(wanted: List<FleetOrder>, count: (ServerGroup) -> Int): List<FleetOrder> = wanted.filter { order ->
        val last = sent[order.group]
        when {
            last == null -> true
            last.count != order.count -> true
            else -> count(order.group) != order.count && clock() - last.at >= rules.repeatMs
        }
    }

    /** Records that [order] was taken by the platform. */
    fun taken(order: FleetOrder) {
        sent[order.group] = Sent(order.count, clock())
    }

    /** Forgets all orders: another host may have placed others meanwhile. */
    fun clear() = sent.clear()

    private class Sent(val count: Int, val at: TimeMs)
}
