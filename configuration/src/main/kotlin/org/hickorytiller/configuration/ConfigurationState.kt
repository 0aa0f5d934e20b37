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
import org.hickorytiller.core.SettingsFault

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
sealed interface ApplyOutcome {
    /** The record took effect. */
    data object Accepted : ApplyOutcome

    /** The proposal waits for its other parts. */
    data object Incomplete : ApplyOutcome

    /** The record changed nothing. */
    data class Rejected(val rejection: Rejection) : ApplyOutcome
}

/**
 * The state after a record, and what the record did.
 *
 * @property keyChanges the customer of each key that the record may have changed; null if the key does not work
 */
data class StateTransition(
    val state: ConfigurationState,
    val outcome: ApplyOutcome,
    val keyChanges: Map<KeyHash, CustomerId?> = emptyMap(),
)

/**
 * @property offset offset of the last record applied
 * @property sectionOffsets offset at which each section was last changed
 * @property grants keys granted one by one; those of a customer go away with the customer
 * @property withdrawn keys that never work again
 * @property pending parts of proposals that are not complete yet, the oldest proposal first
 * @property owners the customer of each key in the customers section; a function of [document]
 */
data class ConfigurationState(
    val offset: LogOffset = LogOffset.NONE,
    val sectionOffsets: Map<Section, LogOffset> = emptyMap(),
    val grants: Map<KeyHash, KeyGrant> = emptyMap(),
    val withdrawn: Set<KeyHash> = emptySet(),
    val pending: List<PendingProposal> = emptyList(),
    val document: ConfigurationDocument = ConfigurationDocument(),
    val owners: Map<KeyHash, CustomerId> = ownersOf(document).owners,
) {
    /** The offset at which [section] was last changed. */
    fun offsetOf(section: Section): LogOffset = sectionOffsets[section] ?: LogOffset.NONE

    /** The customer that [hash] belongs to; null if the key is not granted or was withdrawn. */
    fun customerOf(hash: KeyHash): CustomerId? = if (hash in withdrawn) null else grants[hash]?.customer ?: owners[hash]

    /** The state after [record] at [at], which must be later than [offset]. A rejected one changes only the offset. */
    fun apply(record: ConfigurationRecord, at: LogOffset): ConfigurationState = transition(record, at).state

    /** As [apply], with what the record did. */
    fun transition(record: ConfigurationRecord, at: LogOffset): StateTransition {
        check(at > offset) { "record $at applied after $offset" }
        val transition =
            when (record) {
                is SectionProposed -> propose(record, at)
                is KeyGranted -> grant(record)
                is KeyWithdrawn -> withdraw(KeyHash(record.keyHash))
                // A snapshot tells a starting reader what this state holds already.
                is Snapshot -> StateTransition(this, ApplyOutcome.Accepted)
            }
        return transition.copy(state = transition.state.skip(at))
    }

    /** The state after a record at [at] that every reader skips. */
    fun skip(at: LogOffset): ConfigurationState = copy(offset = at)

    /** The state if [proposal] were the record at [at], or why it is rejected. */
    fun evaluate(proposal: SectionProposed, at: LogOffset): Either<Rejection, ConfigurationState> =
        evaluate(listOf(proposal), at).map { it.state }

    /** The customer of each key that is granted and not withdrawn. */
    fun activeKeys(): Map<KeyHash, CustomerId> {
        val active = HashMap(owners)
        grants.forEach { (hash, grant) -> active[hash] = grant.customer }
        active.keys.removeAll(withdrawn)
        return active
    }

    private fun propose(record: SectionProposed, at: LogOffset): StateTransition {
        if (record.parts == 1) return evaluated(listOf(record), at)
        val next = copy(pending = pending.withPart(record))
        val proposal = next.pending.firstOrNull { it.proposalId == record.proposalId && it.isComplete }
        if (proposal == null) return StateTransition(next, ApplyOutcome.Incomplete)
        return next.copy(pending = next.pending - proposal).evaluated(proposal.parts, at)
    }

    private fun evaluated(parts: List<SectionProposed>, at: LogOffset): StateTransition =
        evaluate(parts, at).fold({ StateTransition(this, ApplyOutcome.Rejected(it)) }, { it })

    private fun evaluate(parts: List<SectionProposed>, at: LogOffset): Either<Rejection, StateTransition> {
        val section =
            Section.of(parts.first().section)
                ?: return Rejection.Invalid(listOf("unknown section ${parts.first().section}")).left()
        val current = offsetOf(section)
        if (parts.any { it.baseOffset != current.value }) return Rejection.Conflict(current).left()
        return document.changed(section, parts.map { it.content }, parts.flatMap { it.removed })
            .flatMap { if (section == Section.CUSTOMERS) acceptCustomers(it, at) else accept(section, it, at) }
            .mapLeft { faults -> Rejection.Invalid(faults.map { it.toString() }) }
    }

    private fun accept(
        section: Section,
        edited: EditedDocument,
        at: LogOffset,
    ): Either<List<SettingsFault>, StateTransition> {
        val faults = referenceFaults(edited.document)
        if (faults.isNotEmpty()) return faults.left()
        val next = copy(sectionOffsets = sectionOffsets + (section to at), document = edited.document)
        return StateTransition(next, ApplyOutcome.Accepted).right()
    }

    private fun acceptCustomers(edited: EditedDocument, at: LogOffset): Either<List<SettingsFault>, StateTransition> {
        val before = document.customers
        val after = edited.document.customers
        val changed = edited.names.map(::CustomerId)
        val update = updateOwners(owners, before, after, changed, grants)
        if (update.faults.isNotEmpty()) return update.faults.left()
        // A customer that is created again under an old name must not inherit keys.
        val gone = changed.filterTo(HashSet()) { it !in after }
        val lost = if (gone.isEmpty()) emptySet() else grants.filterValues { it.customer in gone }.keys
        val next =
            copy(
                sectionOffsets = sectionOffsets + (Section.CUSTOMERS to at),
                document = edited.document,
                owners = update.owners,
                grants = if (lost.isEmpty()) grants else grants - lost,
            )
        val keys = changed.flatMapTo(HashSet(lost)) { before[it]?.keys.orEmpty() + after[it]?.keys.orEmpty() }
        return StateTransition(next, ApplyOutcome.Accepted, keys.associateWith(next::customerOf)).right()
    }

    private fun grant(record: KeyGranted): StateTransition {
        val hash = KeyHash(record.keyHash)
        val customer = CustomerId(record.customer)
        val owner = grants[hash]?.customer ?: owners[hash]
        val fault =
            when {
                hash in withdrawn -> "the key was withdrawn"
                customer !in document.customers -> "unknown customer $customer"
                owner == customer -> return StateTransition(this, ApplyOutcome.Accepted)
                owner != null -> "the key belongs to customer $owner already"
                else -> null
            }
        if (fault != null) return StateTransition(this, ApplyOutcome.Rejected(Rejection.Invalid(listOf(fault))))
        val next = copy(grants = grants + (hash to KeyGrant(customer, record.label)))
        return StateTransition(next, ApplyOutcome.Accepted, mapOf(hash to customer))
    }

    private fun withdraw(hash: KeyHash): StateTransition {
        if (hash in withdrawn) return StateTransition(this, ApplyOutcome.Accepted)
        val next = copy(withdrawn = withdrawn + hash, grants = grants - hash)
        return StateTransition(next, ApplyOutcome.Accepted, mapOf(hash to null))
    }
}
