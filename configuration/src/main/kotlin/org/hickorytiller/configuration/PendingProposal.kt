/**
 * Proposals of which some parts are on the stream. They belong to the state, because a reader that starts from a
 * snapshot between two parts has to evaluate the last part in the same way as every other reader.
 */
package org.hickorytiller.configuration

/** @property parts the parts read so far, ordered by part number */
data class PendingProposal(val parts: List<SectionProposed>) {
    val proposalId: String get() = parts.first().proposalId

    /** Whether no part is missing. */
    val isComplete: Boolean get() = parts.size == parts.first().parts

    /** Whether [part] is a missing part of this proposal. A duplicate, as after a lost response, is not missing. */
    fun accepts(part: SectionProposed): Boolean = parts.first().let {
        it.section == part.section && it.baseOffset == part.baseOffset && it.parts == part.parts
    } &&
        parts.none { it.part == part.part }

    /** Total length of the contents in characters, without the names of removed entries. */
    val contentCharacters: Int get() = parts.sumOf { it.content.length }
}

/**
 * Returns the pending proposals after [part]. The oldest are dropped while the number or the total size of the
 * proposals exceeds its limit, so that proposals which are never completed use bounded memory in every process.
 */
internal fun List<PendingProposal>.withPart(part: SectionProposed): List<PendingProposal> {
    val known = firstOrNull { it.proposalId == part.proposalId }
    val next =
        when {
            known == null -> this + PendingProposal(listOf(part))
            known.accepts(part) -> this - known + PendingProposal((known.parts + part).sortedBy { it.part })
            else -> this
        }
    var remaining = next
    while (
        remaining.size > MAX_PENDING ||
        (remaining.size > 1 && remaining.sumOf { it.contentCharacters } > MAX_PENDING_CHARACTERS)
    ) {
        remaining = remaining.drop(1)
    }
    return remaining
}

/** Usually two or three operators propose concurrently; a part is appended within seconds of the one before it. */
private const val MAX_PENDING = 8

/** Three times the size of the customers section at 24,000 customers. */
private const val MAX_PENDING_CHARACTERS = 12_000_000
