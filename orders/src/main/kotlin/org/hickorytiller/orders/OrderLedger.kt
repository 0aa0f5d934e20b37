/** The orders as a function of the records of the stream: which are open, and what is known from the settled ones. */
package org.hickorytiller.orders

import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.TimeMs

/** An intent at its [offset], with its outcome once there is one. */
data class OrderLedgerEntry(val intent: OrderIntent, val offset: LogOffset, val outcome: OrderOutcome? = null)

/** A kind of server on offer in a failure domain. */
data class Offer(val failureDomain: FailureDomain, val reclaimable: Boolean)

/** State of the stream `orders`. Confined to the event loop. */
class OrderLedger {
    private val open = LinkedHashMap<OrderId, OrderLedgerEntry>()
    private val settled = ArrayDeque<OrderLedgerEntry>()
    private val refusedOffers = HashMap<Offer, TimeMs>()
    private val loaded = HashMap<BackendServerId, String>()
    private val roles = HashMap<BackendServerId, String>()

    /** Offset of the last record read. */
    var seenThrough = LogOffset.NONE
        private set

    /** Applies the record at [offset], read at [now]. */
    fun apply(record: OrderRecord, offset: LogOffset, now: TimeMs) {
        seenThrough = offset
        when (record) {
            is OrderIntent -> open.putIfAbsent(OrderId(record.orderId), OrderLedgerEntry(record, offset))
            is OrderOutcome -> settle(record, now)
        }
    }

    /** Passes over a record that cannot be decoded, or over dropped records up to [offset]. */
    fun skip(offset: LogOffset) {
        seenThrough = offset
    }

    /** Intents without outcome in the order of the stream. */
    fun openIntents(): List<OrderLedgerEntry> = open.values.toList()

    /** The intent [orderId] if it has no outcome. */
    fun openIntent(orderId: OrderId): OrderLedgerEntry? = open[orderId]

    /** The last settled orders, the newest last. */
    fun lastSettled(): List<OrderLedgerEntry> = settled.toList()

    /** Offers that the platform refused within [holdMs] before [now]. */
    fun unavailableOffers(now: TimeMs, holdMs: Long): Set<Offer> = refusedOffers.filterValues {
        now - it < holdMs
    }.keys.toSet()

    /** The model that [server] was last ordered to load. */
    fun loadedModel(server: BackendServerId): String? = loaded[server]

    /** The role that [server] was last ordered to take. */
    fun role(server: BackendServerId): String? = roles[server]

    /** Forgets engines that are no longer among [running]. */
    fun retainEngines(running: Set<BackendServerId>) {
        loaded.keys.retainAll(running)
        roles.keys.retainAll(running)
    }

    private fun settle(outcome: OrderOutcome, now: TimeMs) {
        val entry = open.remove(OrderId(outcome.orderId))?.copy(outcome = outcome) ?: return
        settled.addLast(entry)
        if (settled.size > MAX_SETTLED) settled.removeFirst()
        learn(entry.intent, outcome.result, now)
    }

    private fun learn(intent: OrderIntent, result: OrderResult, now: TimeMs) {
        val offer = Offer(FailureDomain(intent.failureDomain), intent.reclaimable)
        val server = BackendServerId(intent.backendServer)
        when {
            result == OrderResult.NO_OFFER -> refusedOffers[offer] = now
            result != OrderResult.PLACED -> Unit
            intent.action == OrderAction.START -> refusedOffers.remove(offer)
            intent.action == OrderAction.LOAD_MODEL -> loaded[server] = intent.subject
            intent.action == OrderAction.CHANGE_ROLE -> roles[server] = intent.subject
        }
    }

    private companion object {
        const val MAX_SETTLED = 50
    }
}
