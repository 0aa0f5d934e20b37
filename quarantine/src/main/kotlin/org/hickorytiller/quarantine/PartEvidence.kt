/** What hosts tell each other about parts of prompts. Ages replace times, since clocks of hosts are not comparable. */
package org.hickorytiller.quarantine

import org.hickorytiller.core.FailureDomain

/** Identifies a part of a prompt; parts with equal fingerprints have equal text. */
@JvmInline
value class PartFingerprint(val value: String) {
    override fun toString() = value
}

/** A crash of [server] before it had answered a request with [part], [ageMs] before the message was sent. */
data class PartCrash(
    val part: PartFingerprint,
    val server: ServerIncarnation,
    val domain: FailureDomain,
    val ageMs: Long,
)

/** A request with [part] that a server began to answer [ageMs] before the message was sent, without a crash. */
data class PartAnswer(val part: PartFingerprint, val ageMs: Long)

/** A quarantine of [part], whose last crash was [ageMs] before the message was sent. */
data class PartQuarantine(val part: PartFingerprint, val ageMs: Long)

/** The evidence of one host. */
data class PartEvidence(
    val crashes: List<PartCrash> = emptyList(),
    val answers: List<PartAnswer> = emptyList(),
    val quarantines: List<PartQuarantine> = emptyList(),
) {
    val isEmpty: Boolean get() = crashes.isEmpty() && answers.isEmpty() && quarantines.isEmpty()
}
