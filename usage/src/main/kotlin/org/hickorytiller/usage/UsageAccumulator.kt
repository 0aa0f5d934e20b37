/**
 * Counts in a router what was served, and cuts the counts into flushes. A flush whose answer was lost is kept as it is
 * until it is acknowledged; what is served meanwhile is added up, so a long outage of the log takes no more memory than
 * the number of distinct customers, classes and pools.
 */
package org.hickorytiller.usage

import org.hickorytiller.core.ClassId
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.TimeMs

/**
 * What a request was served, counted as it is served, so that a killed router loses no more than its last interval. A
 * request that was refused or not run has none.
 *
 * @property requests 1 once for each request
 * @property busyMs time for which the request used a slot
 */
data class RequestUsage(val promptTokens: Long, val generatedTokens: Long, val busyMs: Long, val requests: Long = 1)

/**
 * Usage of one run of a router. At most [maxKeys] combinations of customer, class and pool are kept between two
 * acknowledged flushes; usage of further ones is lost and counted in [uncountedRequests]. Confined to the event loop.
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
    private var cutAt = startedAt

    /** Requests that were served and are not in any flush, since there was no room for their key. */
    var uncountedRequests = 0L
        private set

    /** Whether there is anything that was not acknowledged. */
    val isEmpty: Boolean get() = counts.isEmpty() && unacknowledged == null

    /** Counts a request of [customer] in [requestClass] that [pool] has served, completely or in part. */
    fun add(customer: CustomerId, requestClass: ClassId, pool: PoolId, usage: RequestUsage) {
        val key = Key(customer, requestClass, pool)
        val entry = counts[key]
        if (entry == null && counts.size >= maxKeys) {
            uncountedRequests++
            return
        }
        val before = entry ?: UsageEntry(customer.value, requestClass.value, pool.value, 0, 0, 0)
        counts[key] =
            before + UsageEntry("", "", "", usage.requests, usage.promptTokens, usage.generatedTokens, usage.busyMs)
    }

    /** The flush to append at [now]: the one not acknowledged yet, or the next; null if nothing was served. */
    fun nextFlush(now: TimeMs): UsageFlush? {
        unacknowledged?.let { return it }
        if (counts.isEmpty()) {
            cutAt = now
            return null
        }
        val keys = counts.keys.take(MAX_ENTRIES_PER_RECORD)
        val entries = keys.map { counts.getValue(it) }
        counts.keys.removeAll(keys.toSet())
        val spanMs = (now - cutAt).coerceAtLeast(1)
        if (counts.isEmpty()) cutAt = now
        return UsageFlush(router, run, ++sequence, spanMs, entries).also { unacknowledged = it }
    }

    /** Whether more than one flush is needed to empty the counter. */
    val hasMore: Boolean get() = counts.isNotEmpty()

    /** Takes note that [flush] is on the log. */
    fun acknowledged(flush: UsageFlush) {
        if (unacknowledged?.sequence == flush.sequence) unacknowledged = null
    }
}

/** The sum of two entries, with the names of the first. */
operator fun UsageEntry.plus(other: UsageEntry) = copy(
    requests = requests + other.requests,
    promptTokens = promptTokens + other.promptTokens,
    generatedTokens = generatedTokens + other.generatedTokens,
    busyMs = busyMs + other.busyMs,
)
