/** Types of the calls about intents of non-idempotent requests, and their conversion to and from protobuf. */
package org.hickorytiller.peering

import com.google.protobuf.ByteString
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.HostId
import org.hickorytiller.core.LogOffset
import org.hickorytiller.peering.generated.IntentRecord
import org.hickorytiller.peering.generated.IntentState
import org.hickorytiller.peering.generated.QueryIntentReply
import org.hickorytiller.peering.generated.QueryIntentRequest
import org.hickorytiller.peering.generated.RecordIntentsReply

/** Query for the status of a request. */
data class IntentQuery(val customer: CustomerId, val idempotencyKey: String)

/** Status of a request according to the router that recorded its intent. */
enum class IntentOutcome { UNKNOWN, RUNNING, RAN, NOT_DISPATCHED, MAY_HAVE_RUN }

/** The response to an [IntentQuery]; [status] and [body] are those of the recorded outcome. */
class IntentQueryResult(val outcome: IntentOutcome, val status: Int = 0, val body: ByteArray = ByteArray(0))

/** An intent that another router is asked to append. */
data class PeerIntent(val customer: CustomerId, val idempotencyKey: String, val digest: String, val router: HostId)

/** Returns the status of a request. */
typealias HandleIntentQuery = suspend (IntentQuery) -> IntentQueryResult

/** Appends intents of a partition; returns null if it is unknown whether they were appended. */
typealias RecordIntents = suspend (partition: Int, List<PeerIntent>) -> LogOffset?

internal fun QueryIntentRequest.toQuery() = IntentQuery(CustomerId(customer), idempotencyKey)

internal fun IntentQuery.toRequest(): QueryIntentRequest =
    QueryIntentRequest.newBuilder().setCustomer(customer.value).setIdempotencyKey(idempotencyKey).build()

internal fun IntentQueryResult.toReply(): QueryIntentReply = QueryIntentReply
    .newBuilder()
    .setState(STATES.getValue(outcome))
    .setStatus(status)
    .setBody(ByteString.copyFrom(body))
    .build()

internal fun QueryIntentReply.toResult(): IntentQueryResult {
    val outcome = STATES.entries.firstOrNull { it.value == state }?.key ?: IntentOutcome.UNKNOWN
    return IntentQueryResult(outcome, status, body.toByteArray())
}

internal fun IntentRecord.toIntent() = PeerIntent(CustomerId(customer), idempotencyKey, digest, HostId(router))

internal fun PeerIntent.toRecord(): IntentRecord = IntentRecord
    .newBuilder()
    .setCustomer(customer.value)
    .setIdempotencyKey(idempotencyKey)
    .setDigest(digest)
    .setRouter(router.value)
    .build()

internal fun recordedReply(offset: LogOffset?): RecordIntentsReply =
    RecordIntentsReply.newBuilder().setRecorded(offset != null).setOffset(offset?.value ?: 0).build()

private val STATES =
    mapOf(
        IntentOutcome.UNKNOWN to IntentState.INTENT_STATE_UNKNOWN,
        IntentOutcome.RUNNING to IntentState.INTENT_STATE_RUNNING,
        IntentOutcome.RAN to IntentState.INTENT_STATE_RAN,
        IntentOutcome.NOT_DISPATCHED to IntentState.INTENT_STATE_NOT_DISPATCHED,
        IntentOutcome.MAY_HAVE_RUN to IntentState.INTENT_STATE_MAY_HAVE_RUN,
    )
