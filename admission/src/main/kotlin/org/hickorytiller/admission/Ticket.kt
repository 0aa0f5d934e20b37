/** Requests for admission and the reasons for which they are refused. */
package org.hickorytiller.admission

import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.RequestClass
import org.hickorytiller.core.TimeMs

/** Identifier of a request within one router. */
@JvmInline
value class TicketId(val value: Long)

/**
 * A request for a slot of a pool.
 *
 * @property arrivedAt when the request was completely received
 * @property startBy latest time of a grant with which the request can still meet the target of its class
 * @property idempotent whether the request may be preempted while it runs
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
    /** When a request that still waits is refused, whatever delayed it. */
    val expiresAt: TimeMs get() = arrivedAt + requestClass.timeoutMs
}

/** Why a request was refused before it ran. */
enum class RefusalReason(val code: String) {
    /** The request could not be started in time. */
    OVERLOADED("overloaded"),

    /** The customer exceeds one of its limits. */
    RATE_LIMITED("rate_limited"),

    /** No backend server of the pool is available. */
    NO_BACKEND_SERVER("no_backend_server"),

    /** The key of the request was withdrawn while the request waited. */
    KEY_WITHDRAWN("key_withdrawn"),
}

/**
 * A refusal. The request has not run.
 *
 * @property retryAfterMs time after which a retry would probably be accepted
 */
data class AdmissionRefusal(val reason: RefusalReason, val retryAfterMs: Long)
