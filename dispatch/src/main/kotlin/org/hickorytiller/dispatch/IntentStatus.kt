/** What a router knows of a non-idempotent request for which it wrote an intent. */
package org.hickorytiller.dispatch

import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.HostId

/** State of an intent as its first router answers it. */
sealed interface IntentStatus {
    /** The router does not know the intent, for example because it was restarted. */
    data object Unknown : IntentStatus

    /** The request waits for a slot or runs. */
    data object Running : IntentStatus

    /** The request ran with this answer. */
    class Ran(val outcome: RecordedOutcome) : IntentStatus

    /** The router gave the intent up for good before it sent anything. */
    data object NotDispatched : IntentStatus

    /** The request was sent, and its answer was lost. */
    data object MayHaveRun : IntentStatus
}

/** Asks the router on a host for the state of an intent. Answers [IntentStatus.Unknown] if it cannot be reached. */
typealias QueryIntent = suspend (HostId, CustomerId, IdempotencyKey) -> IntentStatus

/** Why a router did not give a request the right to run. */
sealed interface IntentRefusal {
    /** Nothing could be decided; the request did not run through this attempt. */
    enum class Undecided(val code: String) : IntentRefusal {
        /** The stream was not read to its end since the process started. */
        NOT_READ("intents_not_read"),

        /** The log did not take the intent, or the intent was not read back in time. */
        LOG_UNAVAILABLE("log_unavailable"),

        /** The stream holds records that this version does not understand. */
        UNREADABLE("intents_unreadable"),

        /** Keys had to be forgotten within their window, so a new key cannot be told from a forgotten one. */
        TABLE_FULL("intents_full"),

        /** The first router gave its intent up without sending anything. */
        GIVEN_UP("intent_given_up"),
    }

    /** The key was used for a different request. */
    data object KeyReused : IntentRefusal

    /** The request ran before with this answer. */
    class Ran(val outcome: RecordedOutcome) : IntentRefusal

    /** The request is waiting or running through another attempt. */
    data object InProgress : IntentRefusal

    /** The request was or may have been sent by another attempt, and its answer is not known. */
    data object MayHaveRun : IntentRefusal
}
