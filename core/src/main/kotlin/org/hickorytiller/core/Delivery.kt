/**
 * What came of an order or a report that was sent to the platform or to an engine. It keeps apart what certainly did
 * not take effect from what may have.
 */
package org.hickorytiller.core

/** Outcome of one order or report. */
sealed interface Delivery {
    /** Whether the receiver may have acted on it. */
    val verdict: Verdict

    /** The receiver has taken it. */
    data object Taken : Delivery {
        override val verdict = Verdict.RAN
    }

    /** The receiver has refused it with HTTP status [status]. */
    data class Refused(val status: Int, val reason: String) : Delivery {
        override val verdict = Verdict.NOT_RUN
    }

    /** The body was never written. */
    data class NotSent(val reason: String) : Delivery {
        override val verdict = Verdict.NOT_RUN
    }

    /** The body was written and no usable answer came. */
    data class Unknown(val reason: String) : Delivery {
        override val verdict = Verdict.MAY_HAVE_RUN
    }
}

/** Whether the sender is still in charge for at least the given milliseconds. */
typealias HoldsFor = (Long) -> Boolean

/**
 * Sends one order or report. The body is written only if the first function returns true right before the write; the
 * second one is called right after it.
 */
typealias SendChecked = suspend (mayWrite: () -> Boolean, afterWrite: () -> Unit) -> Delivery

/**
 * Sends with [send] if [holds] says that the lease lasts [requiredMs], which is the receiver's limit for incomplete
 * requests and a margin. The check is made again when the receiver has asked for the body. If the process is paused
 * after that check, the receiver closes the connection before the lease ends. [onLateWrite] is told when the body was
 * written although the lease is over by then, which a receiver without such a limit would accept.
 */
suspend fun sendWhileLeaseHeld(
    holds: HoldsFor,
    requiredMs: Long,
    send: SendChecked,
    onLateWrite: () -> Unit,
): Delivery {
    if (!holds(requiredMs)) return Delivery.NotSent("the lease is about to end")
    return send({ holds(requiredMs) }, { if (!holds(0)) onLateWrite() })
}
