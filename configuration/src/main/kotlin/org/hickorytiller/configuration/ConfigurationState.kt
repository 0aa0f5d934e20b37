/**
 * The accepted configuration as a function of the records of the stream. Applying the same records in the same order
 * gives the same state in every process.
 */
package org.hickorytiller.configuration

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.KeyHash
import org.hickorytiller.core.LogOffset

/** A key granted on its own, beside those in the customers section. */
data class KeyGrant(val customer: CustomerId, val label: String)

/** Why a proposal was not accepted. */
sealed interface Rejection {
    /** Another proposal for the section came first. */
    data class Conflict(val currentOffset: LogOffset) : Rejection

    /** The merged document would not be valid. */
    data class Invalid(val faults: List<String>) : Rejection
}

/** What a record did to the state. */
sealed interface Outcome {
    /** The record took effect. */
    data object Accepted : Outcome

    /** The proposal waits for its other parts. */
    data object Incomplete : Outcome

    /** The record changed nothing. */
    data class Rejected(val rejection: Rejection) : Outcome
}

/** The state after a record, and what the record did. */
data class Step(val state: ConfigurationState, val outcome: Outcome)

/**
 * @property offset offset of the last record applied
 * @property sectionOffsets offset at which each section was last changed
 * @property grants keys granted one by one; those of a customer go away with the customer
 * @property withdrawn keys that never work again
 * @property pending parts of proposals that are not complete yet, the oldest proposal first
 */
data class ConfigurationState(
    val offset: LogOffset = LogOffset.NONE,
    val sectionOffsets: Map<Section, LogOffset> = emptyMap(),
    val grants: Map<KeyHash, KeyGrant> = emptyMap(),
    val withdrawn: Set<KeyHash> = emptySet(),
    val pending: List<PendingProposal> = emptyList(),
    val document: ConfigurationDocument = ConfigurationDocument(),
) {
    /** The offset at which [section] was last changed. */
    fun offsetOf(section: Section): LogOffset = sectionOffsets[section] ?: LogOffset.NONE

    /** The state after [record] at [at], which must be later than [offset]. A rejected one changes only the offset. */
    fun apply(record: ConfigurationRecord, at: LogOffset): ConfigurationState = step(record, at).state

    /** As [apply], with what the record did. */
    fun step(record: ConfigurationRecord, at: LogOffset): Step {
        check(at > offset) { "record $at applied after $offset" }
        val step =
            when (record) {
                is SectionProposed -> propose(record, at)
                is KeyGranted -> grant(record)
                is KeyWithdrawn -> withdraw(KeyHash(record.keyHash))
                // A snapshot tells a starting reader what this state holds already.
                is Snapshot -> Step(this, Outcome.Accepted)
            }
        return step.copy(state = step.state.skip(at))
    }

    /** The state after a record at [at] that every reader skips. */
    fun skip(at: LogOffset): ConfigurationState = copy(offset = at)

    /** The state if [proposal] were the record at [at], or why it is rejected. */
    fun evaluate(proposal: SectionProposed, at: LogOffset): Either<Rejection, ConfigurationState> =
        evaluate(listOf(proposal), at)

    /** The customer of each key that is granted and not withdrawn. */
    fun activeKeys(): Map<KeyHash, CustomerId> {
        val active = HashMap(document.keyOwners)
        grants.forEach { (hash, grant) -> active[hash] = grant.customer }
        active.keys.removeAll(withdrawn)
        return active
    }

    private fun propose(record: SectionProposed, at: LogOffset): Step {
        if (record.parts == 1) return evaluated(listOf(record), at)
        val next = copy(pending = pending.withPart(record))
        val proposal = next.pending.firstOrNull { it.proposalId == record.proposalId && it.isComplete }
        if (proposal == null) return Step(next, Outcome.Incomplete)
        return next.copy(pending = next.pending - proposal).evaluated(proposal.parts, at)
    }

    private fun evaluated(parts: List<SectionProposed>, at: LogOffset): Step =
        evaluate(parts, at).fold({ Step(this, Outcome.Rejected(it)) }, { Step(it, Outcome.Accepted) })

    private fun evaluate(parts: List<SectionProposed>, at: LogOffset): Either<Rejection, ConfigurationState> {
        val section =
            Section.of(parts.first().section)
                ?: return Rejection.Invalid(listOf("unknown section ${parts.first().section}")).left()
        val current = offsetOf(section)
        if (parts.any { it.baseOffset != current.value }) return Rejection.Conflict(current).left()
        val contents = parts.map { it.content }
        return document.changed(section, contents, parts.flatMap { it.removed })
            .flatMap { changed ->
                val faults = referenceFaults(changed, section) + grantFaults(changed, section)
                if (faults.isEmpty()) changed.right() else faults.left()
            }
            .mapLeft { faults -> Rejection.Invalid(faults.map { it.toString() }) }
            .map { accept(section, it, at) }
    }

    private fun accept(section: Section, changed: ConfigurationDocument, at: LogOffset) = copy(
        sectionOffsets = sectionOffsets + (section to at),
        document = changed,
        // A customer that is created again under an old name must not inherit keys.
        grants = if (section == Section.CUSTOMERS) grants.filterValues { it.customer in changed.customers } else grants,
    )

    private fun grantFaults(changed: ConfigurationDocument, section: Section) =
        if (section == Section.CUSTOMERS) keyConflicts(changed, grants) else emptyList()

    private fun grant(record: KeyGranted): Step {
        val hash = KeyHash(record.keyHash)
        val customer = CustomerId(record.customer)
        val owner = grants[hash]?.customer ?: document.keyOwners[hash]
        val fault =
            when {
                hash in withdrawn -> "the key was withdrawn"
                customer !in document.customers -> "unknown customer $customer"
                owner == customer -> return Step(this, Outcome.Accepted)
                owner != null -> "the key belongs to customer $owner already"
                else -> return Step(
                    copy(grants = grants + (hash to KeyGrant(customer, record.label))),
                    Outcome.Accepted,
                )
            }
        return Step(this, Outcome.Rejected(Rejection.Invalid(listOf(fault))))
    }

    private fun withdraw(hash: KeyHash): Step {
        if (hash in withdrawn) return Step(this, Outcome.Accepted)
        return Step(copy(withdrawn = withdrawn + hash, grants = grants - hash), Outcome.Accepted)
    }
}
