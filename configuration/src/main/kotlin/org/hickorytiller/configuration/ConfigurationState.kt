/**
 * The accepted configuration as a function of the records of the stream. Applying the same records in the same order
 * gives the same state in every process.
 */
package org.hickorytiller.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.KeyHash
import org.hickorytiller.core.LogOffset

/** The TOML text of a section and the offset at which it was accepted. */
data class SectionVersion(val offset: LogOffset, val content: String)

/** Why a proposal was not accepted. */
sealed interface Rejection {
    /** Another proposal for the section came first. */
    data class Conflict(val currentOffset: LogOffset) : Rejection

    /** The merged document would not be valid. */
    data class Invalid(val faults: List<String>) : Rejection
}

/**
 * @property offset offset of the last record applied
 * @property grants keys granted one by one, beside those in the customers section
 */
data class ConfigurationState(
    val offset: LogOffset = LogOffset.NONE,
    val sections: Map<Section, SectionVersion> = emptyMap(),
    val grants: Map<KeyHash, CustomerId> = emptyMap(),
    val withdrawn: Set<KeyHash> = emptySet(),
    val document: ConfigurationDocument = ConfigurationDocument(),
) {
    /** The offset at which [section] was last changed. */
    fun offsetOf(section: Section): LogOffset = sections[section]?.offset ?: LogOffset.NONE

    /** The state after [record] at [at], which must be later than [offset]. A rejected one changes only the offset. */
    fun apply(record: ConfigurationRecord, at: LogOffset): ConfigurationState {
        check(at > offset) { "record $at applied after $offset" }
        val next =
            when (record) {
                is SectionProposed -> evaluate(record, at).fold({ this }, { it })
                is KeyGranted -> copy(grants = grants + (KeyHash(record.keyHash) to CustomerId(record.customer)))
                is KeyWithdrawn -> copy(withdrawn = withdrawn + KeyHash(record.keyHash))
            }
        return next.copy(offset = at)
    }

    /** The state if [proposal] were the record at [at], or why it is rejected. */
    fun evaluate(proposal: SectionProposed, at: LogOffset): Either<Rejection, ConfigurationState> {
        val section = Section.of(proposal.section)
        if (section == null) return Rejection.Invalid(listOf("unknown section ${proposal.section}")).left()
        if (offsetOf(section).value != proposal.baseOffset) return Rejection.Conflict(offsetOf(section)).left()
        val changed = sections + (section to SectionVersion(at, proposal.content))
        return parseDocument(changed.mapValues { it.value.content }).fold(
            { faults -> Rejection.Invalid(faults.map { it.toString() }).left() },
            { copy(sections = changed, document = it).right() },
        )
    }

    /** The customer of each key that is granted and not withdrawn. */
    fun activeKeys(): Map<KeyHash, CustomerId> = (document.grants() + grants) - withdrawn
}
