/** A request to relay, independent of the front end that received it. */
package org.hickorytiller.relay

import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.TimeMs
import org.hickorytiller.http.RequestHead
import org.hickorytiller.placement.Prompt
import org.hickorytiller.quarantine.Fingerprint
import org.hickorytiller.quarantine.promptPartFingerprint
import org.hickorytiller.routes.Route

/** Id that the caller gives each attempt; the response echoes it so that the two can be matched. */
@JvmInline
value class RequestId(val value: String) {
    override fun toString() = value
}

/** Id of an event of a stream; ids increase within a stream. */
@JvmInline
value class EventId(val value: String) {
    override fun toString() = value
}

/** The parts of a request that are forwarded unchanged; [head] is without the fields that the system sets itself. */
class ForwardedCall(val head: RequestHead, val body: ByteArray)

/**
 * @property customer null on a public route or if the configuration needs no keys
 * @property priority a lower number is more urgent
 * @property resumeAfter last event that the caller received of an earlier stream; null to start at the beginning
 * @property fingerprint identifies the work of the request
 */
data class RelayRequest(
    val id: RequestId,
    val route: Route,
    val pool: PoolId,
    val customer: CustomerId?,
    val priority: Int,
    val call: ForwardedCall,
    val prompt: Prompt?,
    val resumeAfter: EventId?,
    val receivedAt: TimeMs,
    val deadline: TimeMs,
    val fingerprint: Fingerprint,
) {
    /** Identify the request if it crashes servers: itself, and the parts of its prompt that others share. */
    val fingerprints: List<Fingerprint> =
        listOf(fingerprint) + prompt?.sharedParts.orEmpty().map { promptPartFingerprint(it.id.toString()) }
}
