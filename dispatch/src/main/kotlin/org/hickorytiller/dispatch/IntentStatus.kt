/** The state of a non-idempotent request, and the reasons to reject one. */
package org.hickorytiller.dispatch

import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.HostId

/** State of an intent as reported by the router that wrote it. */
sealed interface IntentStatus {
    /** The router does not know the intent, for example because it was restarted. */
    data object Unknown : IntentStatus

    /** The request waits for a slot or is running. */
    data object Running : IntentStatus

    /** The request ran and its response was [outcome]. */
    class Ran(val outcome: RecordedOutcome) : IntentStatus

    /** The router permanently released the intent before it sent anything. */
    data object NotDispatched : IntentStatus

    /** The request was sent and its response was lost. */
    data object MayHaveRun : IntentStatus
}

/** Queries the router on a host for the state of an intent. Returns [IntentStatus.Unknown] if it cannot be reached. */
typealias QueryIntent = suspend (HostId, CustomerId, IdempotencyKey) -> IntentStatus

/** Why a request did not get the right to run. */
sealed interface IntentRefusal {
    /** It could not be decided whether the request ran before; this attempt did not run it. */
    enum class Undecided(val code: String) : IntentRefusal {
        /** The stream has not been read to its end since process start. */
        NOT_CAUGHT_UP("intents_not_read"),

        /** The log did not accept the intent, the intent was not read back in time, or too many intents are waiting. */
        LOG_UNAVAILABLE("log_unavailable"),

        /** The stream has records that this version cannot decode. */
        UNREADABLE("intents_unreadable"),

        /** Keys were evicted within their window, so a new key cannot be distinguished from an evicted one. */
        TABLE_FULL("intents_full"),

        /** The router that held the right released its intent without sending anything. */
        RELEASED("intent_given_up"),
    }

    /** The key was used for a different request. */
    data object KeyReused : IntentRefusal

    /** The request ran before and its response was [outcome]. */
    class Ran(val outcome: RecordedOutcome) : IntentRefusal

    /** Another attempt of the request is waiting or running. */
    data object InProgress : IntentRefusal

    /** Another attempt sent or may have sent the request, and its response is unknown. */
    data object MayHaveRun : IntentRefusal
}
