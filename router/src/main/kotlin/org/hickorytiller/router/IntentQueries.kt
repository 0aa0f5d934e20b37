/** Queries between peers for the status of a request that must not run twice. */
package org.hickorytiller.router

import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.HostId
import org.hickorytiller.dispatch.IdempotencyKey
import org.hickorytiller.dispatch.IntentKey
import org.hickorytiller.dispatch.IntentStatus
import org.hickorytiller.dispatch.RecordedOutcome
import org.hickorytiller.peering.IntentOutcome
import org.hickorytiller.peering.IntentQuery
import org.hickorytiller.peering.IntentQueryResult

/** Sends a query to the router on a host; null if it does not respond. */
internal typealias SendIntentQuery = suspend (HostId, IntentQuery) -> IntentQueryResult?

/** Returns the status of an intent according to the router on [host]. */
internal suspend fun queryIntent(
    send: SendIntentQuery,
    host: HostId,
    customer: CustomerId,
    key: IdempotencyKey,
): IntentStatus {
    val result = send(host, IntentQuery(customer, key.value)) ?: return IntentStatus.Unknown
    return when (result.outcome) {
        IntentOutcome.UNKNOWN -> IntentStatus.Unknown
        IntentOutcome.RUNNING -> IntentStatus.Running
        IntentOutcome.RAN -> IntentStatus.Ran(RecordedOutcome.of(result.status, null, result.body))
        IntentOutcome.NOT_DISPATCHED -> IntentStatus.NotDispatched
        IntentOutcome.MAY_HAVE_RUN -> IntentStatus.MayHaveRun
    }
}

/** Returns the result of a peer's query. */
internal fun IntentTask.handleQuery(query: IntentQuery): IntentQueryResult =
    when (val status = intentStatus(IntentKey(query.customer, IdempotencyKey(query.idempotencyKey)))) {
        IntentStatus.Unknown -> IntentQueryResult(IntentOutcome.UNKNOWN)
        IntentStatus.Running -> IntentQueryResult(IntentOutcome.RUNNING)
        is IntentStatus.Ran -> IntentQueryResult(IntentOutcome.RAN, status.outcome.status, status.outcome.body)
        IntentStatus.NotDispatched -> IntentQueryResult(IntentOutcome.NOT_DISPATCHED)
        IntentStatus.MayHaveRun -> IntentQueryResult(IntentOutcome.MAY_HAVE_RUN)
    }
