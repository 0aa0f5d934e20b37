/** A request as admission sees it, and the answers that admission gives. */
package org.hickorytiller.admission

import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.RequestClass
import org.hickorytiller.core.TimeMs

/** Identifier of a request within one router. */
@JvmInline
value class TicketId(val value: Long)

/**
 * @property arrivedAt when the request was complete
 * @property startBy when it has to get a slot at the latest to reach the target of its class
 * @property idempotent whether the request may be cancelled while it runs, in favour of a more urgent tier
 */
data class Ticket(
    val id: TicketId,
    val customer: CustomerId,
    val requestClass: RequestClass,
    val pool: PoolId,
    val arrivedAt: TimeMs,
    val startBy: TimeMs,
    val idempotent: Boolean = false,
) {
    /** When the request is given up even if lower tiers delayed it. */
    val giveUpAt: TimeMs get() = arrivedAt + requestClass.timeoutMs
}

/** Why a request was refused before it ran. */
enum class RefusalReason(val code: String) {
    /** It could not be started in time. */
    OVERLOADED("overloaded"),

    /** Its customer is over its limit. */
    RATE_LIMITED("rate_limited"),

    /** No backend server of the pool runs. */
    NO_BACKEND_SERVER("no_backend_server"),

    /** Its key was withdrawn while it waited. */
    KEY_WITHDRAWN("key_withdrawn"),
}

/**
 * A refusal. The request has not run.
 *
 * @property retryAfterMs time after which the same request would probably be accepted
 */
data class AdmissionRefusal(val reason: RefusalReason, val retryAfterMs: Long)
