/** Rendezvous hashing: every process ranks the same candidates in the same order without agreement. */
package org.hickorytiller.membership

import org.hickorytiller.peering.MemberId

/** A hash of [id] that is the same in every process. */
internal fun idHash(id: MemberId): Long {
    var hash = FNV_OFFSET
    for (char in id.host.value) hash = (hash xor char.code.toLong()) * FNV_PRIME
    return mix(hash + id.role.ordinal)
}

/** The finalizer of MurmurHash3, which spreads every input bit over the whole result. */
internal fun mix(value: Long): Long {
    var hash = value
    hash = (hash xor (hash ushr HALF_SHIFT)) * MIX_FIRST
    hash = (hash xor (hash ushr HALF_SHIFT)) * MIX_SECOND
    return hash xor (hash ushr HALF_SHIFT)
}

/** Rank of [candidate] for [chooser]; higher is better, and the rank differs in the other direction. */
internal fun rank(chooser: Long, candidate: Long): Long = mix(chooser * RANK_FACTOR + candidate)

private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private const val HALF_SHIFT = 33
private const val MIX_FIRST = -0x00ae502812aa7333L
private const val MIX_SECOND = -0x3b314601e57a13adL
private const val RANK_FACTOR = 0x5851f42d4c957f2dL
