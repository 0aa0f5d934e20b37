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

/** A key granted by a [KeyGranted] record, in addition to the keys in the customers section. */
data class KeyGrant(val customer: CustomerId, val label: String)

/** Reason why a record was rejected. */
sealed interface Rejection {
    /** The section has changed since the base of the proposal; its last change is at [currentOffset]. */
    data class Conflict(val currentOffset: LogOffset) : Rejection

    /** The record is malformed, or the resulting configuration would be invalid. */
    data class Invalid(val faults: List<String>) : Rejection
}

/** Effect of a record on the state. */
sealed interface ApplyOutcome {
    /** The record was applied. */
    data object Accepted : ApplyOutcome

    /** The record is a part of a proposal of which other parts are missing. */
    data object Incomplete : ApplyOutcome

    /** The record was rejected and changed neither the document nor the keys. */
    data class Rejected(val rejection: Rejection) : ApplyOutcome
}

/**
 * The state after a record, and the effect of the record.
 *
 * @property keyChanges the customer of each key that the record may have changed; null if the key is not active
 */
data class StateTransition(
    val state: ConfigurationState,
    val outcome: ApplyOutcome,
    val keyChanges: Map<KeyHash, CustomerId?> = emptyMap(),
)

/**
 * @property offset offset of the last record applied
 * @property sectionOffsets offset at which each section was last changed
 * @property grants keys granted by [KeyGranted] records; removed together with their customer
 * @property withdrawn permanently withdrawn keys
 * @property pending proposals of which parts are missing, the oldest first
 * @property owners the customer of each key in the customers section, derived from [document]
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
    /** Returns the offset at which [section] was last changed. */
    fun offsetOf(section: Section): LogOffset = sectionOffsets[section] ?: LogOffset.NONE

    /** Returns the customer that [hash] belongs to, or null if the key is not granted or was withdrawn. */
    fun customerOf(hash: KeyHash): CustomerId? = if (hash in withdrawn) null else grants[hash]?.customer ?: owners[hash]

    /**
     * Returns the state after [record] at [at], which must be later than [offset]. A rejected record changes only the
     * offset and the pending proposals.
     */
    fun apply(record: ConfigurationRecord, at: LogOffset): ConfigurationState = transition(record, at).state

    /** Same as [apply], and also returns the effect of the record. */
    fun transition(record: ConfigurationRecord, at: LogOffset): StateTransition {
        check(at > offset) { "record $at applied after offset $offset" }
        val transition =
            when (record) {
                is SectionProposed -> applyProposal(record, at)
                is KeyGranted -> applyGrant(record)
                is KeyWithdrawn -> applyWithdrawal(KeyHash(record.keyHash))
                // A snapshot is needed only by a starting reader; this state already contains its contents.
                is Snapshot -> StateTransition(this, ApplyOutcome.Accepted)
            }
        return transition.copy(state = transition.state.withOffset(at))
    }

    /** Returns this state with the offset [at]. */
    fun withOffset(at: LogOffset): ConfigurationState = copy(offset = at)

    /** Returns the state that [proposal] would lead to as the record at [at], or the reason for its rejection. */
    fun evaluate(proposal: SectionProposed, at: LogOffset): Either<Rejection, ConfigurationState> =
        evaluate(listOf(proposal), at).map { it.state }

    /** Returns the customer of each key that is granted and not withdrawn. */
    fun activeKeys(): Map<KeyHash, CustomerId> {
        val active = HashMap(owners)
        grants.forEach { (hash, grant) -> active[hash] = grant.customer }
        active.keys.removeAll(withdrawn)
        return active
    }

    private fun applyProposal(record: SectionProposed, at: LogOffset): StateTransition {
        if (record.parts == 1) return applyParts(listOf(record), at)
        val next = copy(pending = pending.withPart(record))
        val proposal = next.pending.firstOrNull { it.proposalId == record.proposalId && it.isComplete }
        if (proposal == null) return StateTransition(next, ApplyOutcome.Incomplete)
        return next.copy(pending = next.pending - proposal).applyParts(proposal.parts, at)
    }

    private fun applyParts(parts: List<SectionProposed>, at: LogOffset): StateTransition =
        evaluate(parts, at).fold({ StateTransition(this, ApplyOutcome.Rejected(it)) }, { it })

    private fun evaluate(parts: List<SectionProposed>, at: LogOffset): Either<Rejection, StateTransition> {
        val section =
            Section.of(parts.first().section)
                ?: return Rejection.Invalid(listOf("unknown section ${parts.first().section}")).left()
        val current = offsetOf(section)
        if (parts.any { it.baseOffset != current.value }) return Rejection.Conflict(current).left()
        return document.applyChange(section, parts.map { it.content }, parts.flatMap { it.removed })
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
        // A customer that is recreated under the name of a removed one must not inherit its keys.
        val removedCustomers = changed.filterTo(HashSet()) { it !in after }
        val removedGrants =
            if (removedCustomers.isEmpty()) emptySet() else grants.filterValues { it.customer in removedCustomers }.keys
        val next =
            copy(
                sectionOffsets = sectionOffsets + (Section.CUSTOMERS to at),
                document = edited.document,
                owners = update.owners,
                grants = if (removedGrants.isEmpty()) grants else grants - removedGrants,
            )
        val keys = changed.flatMapTo(HashSet(removedGrants)) { before[it]?.keys.orEmpty() + after[it]?.keys.orEmpty() }
        return StateTransition(next, ApplyOutcome.Accepted, keys.associateWith(next::customerOf)).right()
    }

    private fun applyGrant(record: KeyGranted): StateTransition {
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

    private fun applyWithdrawal(hash: KeyHash): StateTransition {
        if (hash in withdrawn) return StateTransition(this, ApplyOutcome.Accepted)
        val next = copy(withdrawn = withdrawn + hash, grants = grants - hash)
        return StateTransition(next, ApplyOutcome.Accepted, mapOf(hash to null))
    }
}
