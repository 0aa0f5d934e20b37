/**
 * Proposals of which some parts are on the stream. They are part of the state, because a reader that starts from a
 * snapshot between two parts has to evaluate the last part as every other reader does.
 */
package org.hickorytiller.configuration

/** @property parts the parts read so far, in the order of their numbers */
data class PendingProposal(val parts: List<SectionProposed>) {
    val proposalId: String get() = parts.first().proposalId

    /** Whether no part is missing. */
    val isComplete: Boolean get() = parts.size == parts.first().parts

    /** Whether [part] is a further part of this proposal; a repeated part, after a lost answer, is not. */
    fun accepts(part: SectionProposed): Boolean = parts.first().let {
        it.section == part.section && it.baseOffset == part.baseOffset && it.parts == part.parts
    } &&
        parts.none { it.part == part.part }

    /** Size of the contents in characters, without the names of removed entries. */
    val size: Int get() = parts.sumOf { it.content.length }
}

/**
 * The pending proposals after [part]. The oldest are given up while there are too many or too much of them, so that
 * abandoned proposals hold bounded memory in every process.
 */
internal fun List<PendingProposal>.withPart(part: SectionProposed): List<PendingProposal> {
    val known = firstOrNull { it.proposalId == part.proposalId }
    val next =
        when {
            known == null -> this + PendingProposal(listOf(part))
            known.accepts(part) -> this - known + PendingProposal((known.parts + part).sortedBy { it.part })
            else -> this
        }
    var kept = next
    while (kept.size > MAX_PENDING || (kept.size > 1 && kept.sumOf { it.size } > MAX_PENDING_CHARACTERS)) {
        kept = kept.drop(1)
    }
    return kept
}

/** Operators race by twos and threes; a part reaches the stream within seconds of the one before it. */
private const val MAX_PENDING = 8

/** Three times the customers section of 24,000 customers. */
private const val MAX_PENDING_CHARACTERS = 12_000_000
