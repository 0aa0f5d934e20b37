/** The state of the orders, derived from the records of the stream: open intents and results of settled orders. */
package org.hickorytiller.orders

import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.TimeMs

/** An intent and its [offset] in the stream; [outcome] is null until the intent is settled. */
data class OrderLedgerEntry(val intent: OrderIntent, val offset: LogOffset, val outcome: OrderOutcome? = null)

/** A kind of server, reclaimable or regular, that may be on offer in a failure domain. */
data class Offer(val failureDomain: FailureDomain, val reclaimable: Boolean)

/** State of the `orders` stream. Confined to the event loop. */
class OrderLedger {
    private val open = LinkedHashMap<OrderId, OrderLedgerEntry>()
    private val settled = ArrayDeque<OrderLedgerEntry>()
    private val unavailableSince = HashMap<Offer, TimeMs>()
    private val lastOrderedModels = HashMap<BackendServerId, String>()
    private val lastOrderedRoles = HashMap<BackendServerId, String>()

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

    /** Skips the record at [offset], which cannot be decoded, or dropped records up to [offset]. */
    fun skip(offset: LogOffset) {
        seenThrough = offset
    }

    /** Returns the intents without an outcome in the order of the stream. */
    fun openIntents(): List<OrderLedgerEntry> = open.values.toList()

    /** Returns the intent of order [orderId] if it has no outcome. */
    fun openIntent(orderId: OrderId): OrderLedgerEntry? = open[orderId]

    /** Returns the last settled orders, newest last. */
    fun lastSettled(): List<OrderLedgerEntry> = settled.toList()

    /** Returns the kinds of server that were ordered but not on offer within [holdMs] before [now]. */
    fun unavailableOffers(now: TimeMs, holdMs: Long): Set<Offer> = unavailableSince.filterValues {
        now - it < holdMs
    }.keys.toSet()

    /** Returns the model that [server] was last ordered to load. */
    fun lastOrderedModel(server: BackendServerId): String? = lastOrderedModels[server]

    /** Returns the role that [server] was last ordered to change to. */
    fun lastOrderedRole(server: BackendServerId): String? = lastOrderedRoles[server]

    /** Removes the models and roles of engines that are not among [running]. */
    fun retainEngines(running: Set<BackendServerId>) {
        lastOrderedModels.keys.retainAll(running)
        lastOrderedRoles.keys.retainAll(running)
    }

    private fun settle(outcome: OrderOutcome, now: TimeMs) {
        val entry = open.remove(OrderId(outcome.orderId))?.copy(outcome = outcome) ?: return
        settled.addLast(entry)
        if (settled.size > MAX_SETTLED) settled.removeFirst()
        applyResult(entry.intent, outcome.result, now)
    }

    private fun applyResult(intent: OrderIntent, result: OrderResult, now: TimeMs) {
        val offer = Offer(FailureDomain(intent.failureDomain), intent.reclaimable)
        val server = BackendServerId(intent.backendServer)
        when {
            result == OrderResult.NO_OFFER -> unavailableSince[offer] = now
            result != OrderResult.PLACED -> Unit
            intent.action == OrderAction.START -> unavailableSince.remove(offer)
            intent.action == OrderAction.LOAD_MODEL -> lastOrderedModels[server] = intent.subject
            intent.action == OrderAction.CHANGE_ROLE -> lastOrderedRoles[server] = intent.subject
        }
    }

    private companion object {
        const val MAX_SETTLED = 50
    }
}
