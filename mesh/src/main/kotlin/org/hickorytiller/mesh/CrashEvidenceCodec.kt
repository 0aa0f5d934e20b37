/**
 * Encodes and decodes evidence on crashes as JSON. It has a message of its own, since the status of a host fills most
 * of a datagram in a large system. An invalid entry is skipped: one that is read as a default value could quarantine or
 * release a fingerprint.
 */
package org.hickorytiller.mesh

import arrow.core.raise.nullable
import com.fasterxml.jackson.databind.JsonNode
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.jsonTreeMapper
import org.hickorytiller.quarantine.CrashEvidence
import org.hickorytiller.quarantine.Fingerprint
import org.hickorytiller.quarantine.FingerprintAnswer
import org.hickorytiller.quarantine.FingerprintCrash
import org.hickorytiller.quarantine.FingerprintQuarantine
import org.hickorytiller.quarantine.ServerIncarnation

/** Encodes [evidence] as JSON. */
internal fun encodeCrashEvidence(evidence: CrashEvidence): ByteArray {
    val message = jsonTreeMapper.createObjectNode()
    val root = message.putObject(EVIDENCE)
    val crashes = root.putArray("crashes")
    evidence.crashes.forEach {
        val entry = crashes.addArray().add(it.fingerprint.value).add(it.ageMs)
        entry.add(it.server.id.value).add(it.server.startedMs).add(it.domain.value)
    }
    val answers = root.putArray("answers")
    evidence.answers.forEach { answers.addArray().add(it.fingerprint.value).add(it.ageMs) }
    val quarantines = root.putArray("quarantines")
    evidence.quarantines.forEach { quarantines.addArray().add(it.fingerprint.value).add(it.ageMs) }
    return jsonTreeMapper.writeValueAsBytes(message)
}

/** Decodes the evidence in [message]; null if it is another kind of message. */
internal fun decodeCrashEvidence(message: JsonNode): CrashEvidence? {
    val root = message.path(EVIDENCE).takeIf { it.isObject } ?: return null
    return CrashEvidence(
        crashes = root.path("crashes").mapNotNull(::decodeFingerprintCrash),
        answers = root.path("answers").mapNotNull { node -> decodeAged(node, ::FingerprintAnswer) },
        quarantines = root.path("quarantines").mapNotNull { node -> decodeAged(node, ::FingerprintQuarantine) },
    )
}

private fun decodeFingerprintCrash(node: JsonNode): FingerprintCrash? = nullable {
    val server = BackendServerId(node.path(SERVER_INDEX).textValue().bind())
    val startedMs = node.path(STARTED_INDEX).takeIf { it.isIntegralNumber }?.asLong().bind()
    val domain = FailureDomain(node.path(DOMAIN_INDEX).textValue().bind())
    decodeAged(node) { fingerprint, ageMs ->
        FingerprintCrash(fingerprint, ServerIncarnation(server, startedMs), domain, ageMs)
    }.bind()
}

/** Decodes an entry that begins with the fingerprint and the age of what is known of it. */
private fun <T> decodeAged(node: JsonNode, create: (Fingerprint, Long) -> T): T? = nullable {
    val ageMs = node.path(1).takeIf { it.isIntegralNumber }?.asLong()?.takeIf { it >= 0 }.bind()
    create(Fingerprint(node.path(0).textValue().bind()), ageMs)
}

private const val EVIDENCE = "crashEvidence"
private const val SERVER_INDEX = 2
private const val STARTED_INDEX = 3
private const val DOMAIN_INDEX = 4
