/**
 * The order of the customers of one class: the customer with the least weighted service goes first.
 *
 * Service decays with a half-life. Instead of shrinking every account as time passes, a new charge is scaled up by the
 * same factor, which leaves the order of the accounts unchanged.
 */
package org.hickorytiller.admission

import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.TimeMs
import kotlin.math.pow

/** The account of one customer within one class. */
internal class Account(val customer: CustomerId) : HeapNode() {
    /** Charged tokens divided by the weight, in scaled units. */
    var service = 0.0

    /** Predicted increase of [service] by the waiting requests. */
    var queued = 0.0

    /** Number of running requests in this router. */
    var running = 0

    /** Tokens charged by this router, not divided by the weight, in scaled units. */
    var charged = 0.0

    /** Whether the account has changed since the last report to peers. */
    var isChanged = false

    val waiting = EntryList()

    val isActive: Boolean get() = running > 0 || waiting.size > 0
}

/** Weighted, decaying service by customer. All operations are logarithmic in the number of customers. */
internal class FairShare(private val rules: AdmissionRules, private val weightOf: (CustomerId) -> Double) {
    private val accounts = HashMap<CustomerId, Account>()
    private val waiting = IndexedHeap<Account>(WAITING) { a, b -> precedes(a, b) }
    private val active = IndexedHeap<Account>(ACTIVE) { a, b -> a.service < b.service }
    private val overShare = IndexedHeap<Account>(OVER_SHARE) { a, b -> a.service + a.queued > b.service + b.queued }
    private val changed = ArrayList<Account>()
    private var epoch: TimeMs? = null

    fun account(customer: CustomerId): Account = accounts.getOrPut(customer) { Account(customer) }

    /** Returns the account of the customer whose request is granted next; null if none waits. */
    fun first(): Account? = waiting.top

    /** Adds a waiting request that is predicted to produce [tokens]. */
    fun enqueue(entry: Entry, tokens: Double, now: TimeMs) {
        val account = entry.account
        if (!account.isActive) limitIdleCredit(account)
        entry.queuedService = scaled(tokens, now) / weightOf(account.customer)
        account.queued += entry.queuedService
        account.waiting.addLast(entry)
        reorder(account)
    }

    /** Removes a request from the waiting ones. */
    fun dequeue(entry: Entry) {
        entry.account.waiting.remove(entry)
        entry.account.queued = if (entry.account.waiting.size == 0) 0.0 else entry.account.queued - entry.queuedService
        reorder(entry.account)
    }

    fun started(account: Account) {
        account.running++
        reorder(account)
    }

    fun ended(account: Account) {
        account.running--
        reorder(account)
    }

    /** Charges [tokens] that were streamed by this router. */
    fun charge(account: Account, tokens: Int, now: TimeMs) {
        val amount = scaled(tokens.toDouble(), now)
        account.charged += amount
        markChanged(account)
        addService(account, amount)
    }

    /** Adds [tokens] that another router charged to [customer]. */
    fun chargeRemote(customer: CustomerId, tokens: Double, now: TimeMs) =
        addService(account(customer), scaled(tokens, now))

    /**
     * Returns the newest waiting request of the customer with the most weighted service, including that predicted for
     * its waiting requests, if [customer] with one more request of [tokens] would have less; otherwise null.
     */
    fun displacedBy(customer: CustomerId, tokens: Double, now: TimeMs): Entry? {
        val requester = account(customer)
        val most = overShare.top ?: return null
        val startService = if (requester.isActive) requester.service else maxOf(requester.service, leastActive())
        val wanted = startService + requester.queued + scaled(tokens, now) / weightOf(customer)
        return if (most !== requester && wanted < most.service + most.queued) most.waiting.last else null
    }

    /**
     * Passes each account that has changed since the previous call to [report], with the tokens that this router
     * charged to it, decayed to [now].
     */
    fun reportChanged(now: TimeMs, report: (Account, Double) -> Unit) {
        val unit = scaled(1.0, now)
        changed.forEach {
            it.isChanged = false
            report(it, it.charged / unit)
        }
        changed.clear()
    }

    private fun markChanged(account: Account) {
        if (account.isChanged) return
        account.isChanged = true
        changed += account
    }

    private fun addService(account: Account, amount: Double) {
        account.service += amount / weightOf(account.customer)
        waiting.update(account)
        active.update(account)
        overShare.update(account)
    }

    // A customer that becomes active again starts no lower than the least served active customer, so that it cannot
    // accumulate credit while it is idle.
    private fun limitIdleCredit(account: Account) {
        if (rules.mechanisms.boundedIdleCredit) account.service = maxOf(account.service, leastActive())
    }

    private fun leastActive() = active.top?.service ?: 0.0

    private fun reorder(account: Account) {
        markChanged(account)
        if (account.isActive) active.put(account) else active.remove(account)
        if (account.waiting.size > 0) {
            waiting.put(account)
            overShare.put(account)
        } else {
            waiting.remove(account)
            overShare.remove(account)
        }
    }

    private fun scaled(tokens: Double, now: TimeMs): Double {
        val since = epoch ?: now.also { epoch = it }
        if (now - since > MAX_HALF_LIVES * rules.serviceHalfLifeMs) rebase(since, now)
        val halfLives = (now - (epoch ?: now)).toDouble() / rules.serviceHalfLifeMs
        return tokens * 2.0.pow(halfLives)
    }

    // Moves the origin of the scale and removes idle customers whose service has decayed. All values are multiplied by
    // the same factor, so the heaps stay in order.
    private fun rebase(from: TimeMs, to: TimeMs) {
        val factor = 2.0.pow(-(to - from).toDouble() / rules.serviceHalfLifeMs)
        epoch = to
        accounts.values.removeIf { !it.isActive && !it.isChanged && it.service * factor < NEGLIGIBLE_TOKENS }
        accounts.values.forEach { account ->
            account.service *= factor
            account.charged *= factor
            account.queued *= factor
            account.waiting.forEach { it.queuedService *= factor }
        }
    }

    private companion object {
        const val WAITING = 0
        const val ACTIVE = 1
        const val OVER_SHARE = 2
        const val MAX_HALF_LIVES = 40L
        const val NEGLIGIBLE_TOKENS = 1.0

        fun precedes(a: Account, b: Account): Boolean = if (a.service != b.service) {
            a.service < b.service
        } else {
            val first = a.waiting.first ?: return false
            val second = b.waiting.first ?: return true
            first.ticket.id.value < second.ticket.id.value
        }
    }
}
