/**
 * The result of sending an order or a report to the platform or to an engine. It distinguishes what certainly did not
 * take effect from what may have.
 */
package org.hickorytiller.core

/** Result of sending one order or report. */
sealed interface Delivery {
    /** Whether the receiver may have acted on it. */
    val verdict: Verdict

    /** The receiver accepted it. */
    data object Taken : Delivery {
        override val verdict = Verdict.RAN
    }

    /** The receiver rejected it with HTTP status [status]. */
    data class Refused(val status: Int, val reason: String) : Delivery {
        override val verdict = Verdict.NOT_RUN
    }

    /** The body was never written. */
    data class NotSent(val reason: String) : Delivery {
        override val verdict = Verdict.NOT_RUN
    }

    /** The body was written, but no usable response was received. */
    data class Unknown(val reason: String) : Delivery {
        override val verdict = Verdict.MAY_HAVE_RUN
    }
}

/** Returns whether the sender holds its lease for at least the given number of milliseconds. */
typealias HoldsLeaseFor = (Long) -> Boolean

/**
 * Sends one order or report. The body is written only if `mayWrite` returns true immediately before the write;
 * `afterWrite` is called immediately after it.
 */
typealias SendChecked = suspend (mayWrite: () -> Boolean, afterWrite: () -> Unit) -> Delivery

/**
 * Calls [send] if the lease is held for at least [requiredMs] more according to [holds]: the receiver's time limit for
 * incomplete requests and a margin. The check is repeated when the receiver has asked for the body. If the process is
 * paused after that check, the receiver closes the connection before the lease ends. [onLateWrite] is called if the
 * lease had ended when the body was written; a receiver without such a limit would accept that body.
 */
suspend fun sendWhileLeaseHeld(
    holds: HoldsLeaseFor,
    requiredMs: Long,
    send: SendChecked,
    onLateWrite: () -> Unit,
): Delivery {
    if (!holds(requiredMs)) return Delivery.NotSent("the lease is about to end")
    return send({ holds(requiredMs) }, { if (!holds(0)) onLateWrite() })
}
