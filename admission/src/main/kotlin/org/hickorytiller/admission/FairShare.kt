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
    /** Tokens charged divided by the weight, in scaled units. */
    var service = 0.0

    /** What the waiting requests will probably add to [service]. */
    var queued = 0.0

    /** Requests of this router that run. */
    var running = 0

    /** Tokens that this router charged, without the weight, in scaled units. */
    var charged = 0.0

    /** Whether the account has changed since the last report to peers. */
    var changed = false

    val waiting = EntryList()

    val active: Boolean get() = running > 0 || waiting.size > 0
}

/** Weighted, decaying service by customer. All operations are logarithmic in the number of customers. */
internal class FairShare(private val rules: AdmissionRules, private val weightOf: (CustomerId) -> Double) {
    private val accounts = HashMap<CustomerId, Account>()
    private val waiting = IndexedHeap<Account>(WAITING) { a, b -> goesFirst(a, b) }
    private val active = IndexedHeap<Account>(ACTIVE) { a, b -> a.service < b.service }
    private val overShare = IndexedHeap<Account>(OVER_SHARE) { a, b -> a.service + a.queued > b.service + b.queued }
    private val changed = ArrayList<Account>()
    private var epoch: TimeMs? = null

    fun account(customer: CustomerId): Account = accounts.getOrPut(customer) { Account(customer) }

    /** The customer whose request is next. */
    fun first(): Account? = waiting.top

    /** Adds a waiting request that will probably produce [tokens]. */
    fun enqueue(entry: Entry, tokens: Double, now: TimeMs) {
        val account = entry.account
        if (!account.active) raise(account)
        entry.queuedService = scaled(tokens, now) / weightOf(account.customer)
        account.queued += entry.queuedService
        account.waiting.addLast(entry)
        reorder(account)
    }

    /** Removes a request that no longer waits. */
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

    /** Charges [tokens] of this router's answers. */
    fun charge(account: Account, tokens: Int, now: TimeMs) {
        val amount = scaled(tokens.toDouble(), now)
        account.charged += amount
        markChanged(account)
        addService(account, amount)
    }

    /** Adds [tokens] that another router charged. */
    fun chargeRemote(customer: CustomerId, tokens: Double, now: TimeMs) =
        addService(account(customer), scaled(tokens, now))

    /**
     * The newest waiting request of the customer that is furthest over its share, if that customer would still be
     * further over it than [customer] with one request of [tokens] more.
     */
    fun displacedBy(customer: CustomerId, tokens: Double, now: TimeMs): Entry? {
        val newcomer = account(customer)
        val most = overShare.top ?: return null
        val floor = if (newcomer.active) newcomer.service else maxOf(newcomer.service, leastActive())
        val wanted = floor + newcomer.queued + scaled(tokens, now) / weightOf(customer)
        return if (most !== newcomer && wanted < most.service + most.queued) most.waiting.last else null
    }

    /**
     * Passes each account that has changed since the previous call to [report], with the tokens that this router
     * charged to it, decayed to [now].
     */
    fun reportChanged(now: TimeMs, report: (Account, Double) -> Unit) {
        val unit = scaled(1.0, now)
        changed.forEach {
            it.changed = false
            report(it, it.charged / unit)
        }
        changed.clear()
    }

    private fun markChanged(account: Account) {
        if (account.changed) return
        account.changed = true
        changed += account
    }

    private fun addService(account: Account, amount: Double) {
        account.service += amount / weightOf(account.customer)
        waiting.update(account)
        active.update(account)
        overShare.update(account)
    }

    // A customer that returns from idle starts no lower than the least served active customer, so that it cannot
    // collect credit while it is idle.
    private fun raise(account: Account) {
        if (rules.mechanisms.boundedIdleCredit) account.service = maxOf(account.service, leastActive())
    }

    private fun leastActive() = active.top?.service ?: 0.0

    private fun reorder(account: Account) {
        markChanged(account)
        if (account.active) active.put(account) else active.remove(account)
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

    // Moves the origin of the scale, and forgets idle customers whose service has decayed. All values are multiplied by
    // the same factor, so the heaps stay in order.
    private fun rebase(from: TimeMs, to: TimeMs) {
        val factor = 2.0.pow(-(to - from).toDouble() / rules.serviceHalfLifeMs)
        epoch = to
        accounts.values.removeIf { !it.active && !it.changed && it.service * factor < NEGLIGIBLE_TOKENS }
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

        fun goesFirst(a: Account, b: Account): Boolean = if (a.service != b.service) {
            a.service < b.service
        } else {
            val first = a.waiting.first ?: return false
            val second = b.waiting.first ?: return true
            first.ticket.id.value < second.ticket.id.value
        }
    }
}
