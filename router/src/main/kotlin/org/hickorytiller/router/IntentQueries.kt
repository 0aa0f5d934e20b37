/** Asks peers, and answers them, what became of a request that must not run twice. */
package org.hickorytiller.router

import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.HostId
import org.hickorytiller.dispatch.IdempotencyKey
import org.hickorytiller.dispatch.IntentAnswer
import org.hickorytiller.dispatch.IntentKey
import org.hickorytiller.dispatch.RecordedOutcome
import org.hickorytiller.peering.IntentOutcome
import org.hickorytiller.peering.IntentQuery
import org.hickorytiller.peering.IntentAnswer as PeerAnswer

/** Sends a query to the router on a host; null if it does not answer. */
internal typealias SendIntentQuery = suspend (HostId, IntentQuery) -> PeerAnswer?

/** The state of an intent according to the router on [host]. */
internal suspend fun queryIntent(
    send: SendIntentQuery,
    host: HostId,
    customer: CustomerId,
    key: IdempotencyKey,
): IntentAnswer {
    val answer = send(host, IntentQuery(customer, key.value)) ?: return IntentAnswer.Unknown
    return when (answer.outcome) {
        IntentOutcome.UNKNOWN -> IntentAnswer.Unknown
        IntentOutcome.RUNNING -> IntentAnswer.Running
        IntentOutcome.RAN -> IntentAnswer.Ran(RecordedOutcome.of(answer.status, null, answer.body))
        IntentOutcome.NOT_DISPATCHED -> IntentAnswer.NotDispatched
        IntentOutcome.MAY_HAVE_RUN -> IntentAnswer.MayHaveRun
    }
}

/** Answers a peer's query. */
internal fun IntentTask.answer(query: IntentQuery): PeerAnswer =
    when (val state = stateOf(IntentKey(query.customer, IdempotencyKey(query.idempotencyKey)))) {
        IntentAnswer.Unknown -> PeerAnswer(IntentOutcome.UNKNOWN)
        IntentAnswer.Running -> PeerAnswer(IntentOutcome.RUNNING)
        is IntentAnswer.Ran -> PeerAnswer(IntentOutcome.RAN, state.outcome.status, state.outcome.body)
        IntentAnswer.NotDispatched -> PeerAnswer(IntentOutcome.NOT_DISPATCHED)
        IntentAnswer.MayHaveRun -> PeerAnswer(IntentOutcome.MAY_HAVE_RUN)
    }
