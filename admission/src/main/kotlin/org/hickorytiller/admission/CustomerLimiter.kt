/**
 * Limits of customers over all routers: requests per minute, concurrent requests, and spending in tokens per minute.
 * A limit holds for the customer as a whole or for one of its classes.
 */
package org.hickorytiller.admission

import org.hickorytiller.core.ClassId
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.TimeMs
import kotlin.math.exp
import kotlin.math.ln

/**
 * Limits of a customer; 0 means none.
 *
 * @property requestsPerMinute accepted requests, measured with a decay of one minute
 * @property maxConcurrent requests that wait or run
 * @property tokensPerMinute streamed tokens, measured with a decay of one minute
 */
data class CustomerLimits(val requestsPerMinute: Int = 0, val maxConcurrent: Int = 0, val tokensPerMinute: Long = 0) {
    companion object {
        val NONE = CustomerLimits()
    }
}

/** The limits of a customer: as a whole if the class is null, otherwise within the class. */
typealias LimitsOf = (CustomerId, ClassId?) -> CustomerLimits

/**
 * Use of the limits. Peers' use is added as they reported it last, so the limit can be exceeded by what all routers
 * together accept within one exchange interval plus propagation.
 */
class CustomerLimiter(private val limitsOf: LimitsOf = { _, _ -> CustomerLimits.NONE }) {
    private val uses = HashMap<CustomerId, CustomerUse>()

    /** Checks the limits of [customer] and counts the request if it is within them; otherwise says why not. */
    fun accept(customer: CustomerId, requestClass: ClassId, now: TimeMs): AdmissionRefusal? {
        val use = uses.getOrPut(customer) { CustomerUse() }
        val ofClass = use.ofClass(requestClass)
        val refused =
            use.whole.check(limitsOf(customer, null), now) ?: ofClass.check(limitsOf(customer, requestClass), now)
        if (refused != null) return refused
        use.whole.accepted(now)
        ofClass.accepted(now)
        return null
    }

    /** Counts [tokens] streamed to [customer]. */
    fun spend(customer: CustomerId, requestClass: ClassId, tokens: Long, now: TimeMs) {
        val use = uses.getOrPut(customer) { CustomerUse() }
        use.whole.tokens.add(tokens.toDouble(), now)
        use.ofClass(requestClass).tokens.add(tokens.toDouble(), now)
    }

    /** Records that an accepted request ended, was refused later or was cancelled. */
    fun ended(customer: CustomerId, requestClass: ClassId) {
        val use = uses[customer] ?: return
        use.whole.concurrent--
        use.ofClass(requestClass).concurrent--
    }

    /** Requests per minute that this router accepted for [customer] in [requestClass]. */
    fun requestsPerMinute(customer: CustomerId, requestClass: ClassId, now: TimeMs): Int =
        uses[customer]?.ofClass(requestClass)?.ownRequests?.at(now)?.toInt() ?: 0

    /** Requests of [customer] in [requestClass] that wait or run in this router. */
    fun concurrent(customer: CustomerId, requestClass: ClassId): Int =
        uses[customer]?.ofClass(requestClass)?.concurrent ?: 0

    /** Adds what a peer's use has grown by since its previous report; [concurrent] may be negative. */
    fun addRemote(customer: CustomerId, requestClass: ClassId, requests: Double, concurrent: Int, now: TimeMs) {
        val use = uses.getOrPut(customer) { CustomerUse() }
        use.whole.addRemote(requests, concurrent, now)
        use.ofClass(requestClass).addRemote(requests, concurrent, now)
    }

    /** Forgets customers without any recent use. */
    fun forgetIdle(now: TimeMs) {
        uses.values.removeIf { it.whole.idle(now) }
    }

    private class CustomerUse {
        val whole = Use()
        private val classes = HashMap<ClassId, Use>()

        fun ofClass(id: ClassId) = classes.getOrPut(id) { Use() }
    }

    private class Use {
        /** Accepted by all routers, and by this one. */
        val requests = DecayingCount()
        val ownRequests = DecayingCount()
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
            ownRequests.add(1.0, now)
            concurrent++
        }

        fun addRemote(requests: Double, concurrent: Int, now: TimeMs) {
            this.requests.add(requests, now)
            remoteConcurrent += concurrent
        }

        fun idle(now: TimeMs) = concurrent == 0 &&
            remoteConcurrent == 0 &&
            requests.at(now) < NEGLIGIBLE &&
            tokens.at(now) < NEGLIGIBLE

        // The time in which the count decays to just below the limit.
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
