/**
 * Accumulates the usage of a router and divides it into flushes. A flush is kept unchanged until it is acknowledged;
 * usage in the meantime is summed, so the memory used in a long outage of the log is bounded by the number of distinct
 * combinations of customer, class and pool.
 */
package org.hickorytiller.usage

import org.hickorytiller.core.ClassId
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.TimeMs

/**
 * Increment of the usage of a request. Usage is counted while the response is streamed, so that a killed router loses
 * at most the usage of its last flush interval. A request that was refused or not run has no usage.
 *
 * @property requests 1 in one increment of each request, otherwise 0
 * @property busyMs time for which the request used a slot
 */
data class RequestUsage(val promptTokens: Long, val generatedTokens: Long, val busyMs: Long, val requests: Long = 1)

/**
 * Usage in one process run of a router. At most [maxKeys] combinations of customer, class and pool are kept besides the
 * unacknowledged flush; increments of further ones are lost, and counted in [lostIncrements]. Confined to the event
 * loop.
 */
class UsageAccumulator(
    private val router: String,
    private val run: String,
    startedAt: TimeMs,
    private val maxKeys: Int = 200_000,
) {
    private data class Key(val customer: CustomerId, val requestClass: ClassId, val pool: PoolId)

    private val counts = LinkedHashMap<Key, UsageEntry>()
    private var unacknowledged: UsageFlush? = null
    private var sequence = 0L
    private var spanStart = startedAt

    /** Number of calls of [add] whose usage was lost, since there were [maxKeys] other combinations already. */
    var lostIncrements = 0L
        private set

    /** Whether all usage has been acknowledged. */
    val isEmpty: Boolean get() = counts.isEmpty() && unacknowledged == null

    /** Adds usage of a request of [customer] in [requestClass] that [pool] serves. */
    fun add(customer: CustomerId, requestClass: ClassId, pool: PoolId, usage: RequestUsage) {
        val key = Key(customer, requestClass, pool)
        val entry = counts[key]
        if (entry == null && counts.size >= maxKeys) {
            lostIncrements++
            return
        }
        val previous = entry ?: UsageEntry(customer.value, requestClass.value, pool.value, 0, 0, 0)
        counts[key] =
            previous + UsageEntry("", "", "", usage.requests, usage.promptTokens, usage.generatedTokens, usage.busyMs)
    }

    /** Returns the flush to append at [now]: the unacknowledged one, or else the next; null if there is no usage. */
    fun nextFlush(now: TimeMs): UsageFlush? {
        unacknowledged?.let { return it }
        if (counts.isEmpty()) {
            spanStart = now
            return null
        }
        val keys = counts.keys.take(MAX_ENTRIES_PER_RECORD)
        val entries = keys.map { counts.getValue(it) }
        counts.keys.removeAll(keys.toSet())
        val spanMs = (now - spanStart).coerceAtLeast(1)
        // The entries left over for the next flush date from the same span, so its start stays.
        if (counts.isEmpty()) spanStart = now
        return UsageFlush(router, run, ++sequence, spanMs, entries).also { unacknowledged = it }
    }

    /** Whether there is usage that is not in a flush yet. */
    val hasMore: Boolean get() = counts.isNotEmpty()

    /** Records that [flush] is on the log. */
    fun acknowledged(flush: UsageFlush) {
        if (unacknowledged?.sequence == flush.sequence) unacknowledged = null
    }
}

/** Returns the sum of two entries, with the customer, class and pool of the first. */
operator fun UsageEntry.plus(other: UsageEntry) = copy(
    requests = requests + other.requests,
    promptTokens = promptTokens + other.promptTokens,
    generatedTokens = generatedTokens + other.generatedTokens,
    busyMs = busyMs + other.busyMs,
)
