/**
 * Limits of customers over all routers: requests per minute, concurrent requests and tokens per minute. A limit applies
 * to the customer as a whole or to one of its classes.
 */
package org.hickorytiller.admission

import org.hickorytiller.core.ClassId
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.TimeMs
import kotlin.math.exp
import kotlin.math.ln

/**
 * Limits of a customer; 0 means no limit.
 *
 * @property requestsPerMinute accepted requests, as a count that decays with a time constant of one minute
 * @property maxConcurrent waiting and running requests
 * @property tokensPerMinute streamed tokens, as a count that decays with a time constant of one minute
 */
data class CustomerLimits(val requestsPerMinute: Int = 0, val maxConcurrent: Int = 0, val tokensPerMinute: Long = 0) {
    companion object {
        val NONE = CustomerLimits()
    }
}

/** Returns the limits of a customer: as a whole if the class is null, otherwise within the class. */
typealias LimitsOf = (CustomerId, ClassId?) -> CustomerLimits

/**
 * Tracks the usage of customers and enforces their limits. Usage at peers is included as of their last reports, so a
 * limit can be exceeded by what all routers together accept within one exchange interval plus propagation.
 */
class CustomerLimiter(private val limitsOf: LimitsOf = { _, _ -> CustomerLimits.NONE }) {
    private val usages = HashMap<CustomerId, CustomerUsage>()

    /** Counts a request of [customer] if it is within the limits and returns null; otherwise returns the refusal. */
    fun accept(customer: CustomerId, requestClass: ClassId, now: TimeMs): AdmissionRefusal? {
        val usage = usages.getOrPut(customer) { CustomerUsage() }
        val forClass = usage.forClass(requestClass)
        val refused =
            usage.overall.check(limitsOf(customer, null), now) ?: forClass.check(limitsOf(customer, requestClass), now)
        if (refused != null) return refused
        usage.overall.accepted(now)
        forClass.accepted(now)
        return null
    }

    /** Counts [tokens] streamed to [customer]. */
    fun spend(customer: CustomerId, requestClass: ClassId, tokens: Long, now: TimeMs) {
        val usage = usages.getOrPut(customer) { CustomerUsage() }
        usage.overall.tokens.add(tokens.toDouble(), now)
        usage.forClass(requestClass).tokens.add(tokens.toDouble(), now)
    }

    /** Records that a counted request ended, was refused later or was cancelled. */
    fun ended(customer: CustomerId, requestClass: ClassId) {
        val usage = usages[customer] ?: return
        usage.overall.concurrent--
        usage.forClass(requestClass).concurrent--
    }

    /** Returns the requests per minute that this router accepted for [customer] in [requestClass]. */
    fun requestsPerMinute(customer: CustomerId, requestClass: ClassId, now: TimeMs): Int =
        usages[customer]?.forClass(requestClass)?.localRequests?.at(now)?.toInt() ?: 0

    /** Returns the number of waiting and running requests of [customer] in [requestClass] in this router. */
    fun concurrent(customer: CustomerId, requestClass: ClassId): Int =
        usages[customer]?.forClass(requestClass)?.concurrent ?: 0

    /** Adds the growth of a peer's usage since its previous report; [concurrentChange] may be negative. */
    fun addRemote(customer: CustomerId, requestClass: ClassId, requests: Double, concurrentChange: Int, now: TimeMs) {
        val usage = usages.getOrPut(customer) { CustomerUsage() }
        usage.overall.addRemote(requests, concurrentChange, now)
        usage.forClass(requestClass).addRemote(requests, concurrentChange, now)
    }

    /** Removes customers without recent usage. */
    fun forgetIdle(now: TimeMs) {
        usages.values.removeIf { it.overall.isIdle(now) }
    }

    private class CustomerUsage {
        val overall = Usage()
        private val classes = HashMap<ClassId, Usage>()

        fun forClass(id: ClassId) = classes.getOrPut(id) { Usage() }
    }

    private class Usage {
        /** Requests accepted by all routers; [localRequests] has those accepted by this one. */
        val requests = DecayingCount()
        val localRequests = DecayingCount()
        val tokens = DecayingCount()
        var concurrent = 0
        private var remoteConcurrent = 0

        fun check(limits: CustomerLimits, now: TimeMs): AdmissionRefusal? {
            val waitMs =
                maxOf(
                    waitMs(limits.requestsPerMinute.toLong(), requests, now),
                    waitMs(limits.tokensPerMinute, tokens, now),
                    if (limits.maxConcurrent in 1..(concurrent + remoteConcurrent)) CONCURRENCY_RETRY_MS else 0,
                )
            return if (waitMs > 0) AdmissionRefusal(RefusalReason.RATE_LIMITED, waitMs) else null
        }

        fun accepted(now: TimeMs) {
            requests.add(1.0, now)
            localRequests.add(1.0, now)
            concurrent++
        }

        fun addRemote(requests: Double, concurrentChange: Int, now: TimeMs) {
            this.requests.add(requests, now)
            remoteConcurrent += concurrentChange
        }

        fun isIdle(now: TimeMs) = concurrent == 0 &&
            remoteConcurrent == 0 &&
            requests.at(now) < NEGLIGIBLE &&
            tokens.at(now) < NEGLIGIBLE

        // Returns the time until the count has decayed to just below the limit; 0 if it is below it already.
        private fun waitMs(limit: Long, count: DecayingCount, now: TimeMs): Long {
            val used = count.at(now)
            if (limit <= 0 || used < limit) return 0
            return maxOf(1L, (MINUTE_MS * ln((used + 1) / limit)).toLong())
        }
    }

    private class DecayingCount {
        private var value = 0.0
        private var asOf = TimeMs(0)

        fun at(now: TimeMs): Double = value * exp(-(now - asOf) / MINUTE_MS)

        fun add(amount: Double, now: TimeMs) {
            value = at(now) + amount
            asOf = now
        }
    }

    private companion object {
        const val MINUTE_MS = 60_000.0
        const val CONCURRENCY_RETRY_MS = 1_000L
        const val NEGLIGIBLE = 0.01
    }
}
