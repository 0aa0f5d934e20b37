/**
 * What hosts tell each other about crashes of servers. Entries have ages in place of times, since clocks of hosts are
 * not comparable.
 */
package org.hickorytiller.quarantine

import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.FailureDomain

/** One run of a server; a restarted server may have the same id. */
data class ServerIncarnation(val id: BackendServerId, val startedMs: Long)

/** A crash of [server] before it had answered a request with [fingerprint], [ageMs] before the message was sent. */
data class FingerprintCrash(
    val fingerprint: Fingerprint,
    val server: ServerIncarnation,
    val domain: FailureDomain,
    val ageMs: Long,
)

/** A request with [fingerprint] that a server began to answer [ageMs] before the message was sent, without a crash. */
data class FingerprintAnswer(val fingerprint: Fingerprint, val ageMs: Long)

/** A quarantine of [fingerprint], whose last crash was [ageMs] before the message was sent. */
data class FingerprintQuarantine(val fingerprint: Fingerprint, val ageMs: Long)

/** The evidence of one host. */
data class CrashEvidence(
    val crashes: List<FingerprintCrash> = emptyList(),
    val answers: List<FingerprintAnswer> = emptyList(),
    val quarantines: List<FingerprintQuarantine> = emptyList(),
) {
    val isEmpty: Boolean get() = crashes.isEmpty() && answers.isEmpty() && quarantines.isEmpty()
}
