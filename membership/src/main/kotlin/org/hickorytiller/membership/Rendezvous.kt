/** Rendezvous hashing: every process computes the same ranking of the same candidates without coordination. */
package org.hickorytiller.membership

import org.hickorytiller.peering.MemberId

/** Returns a hash of [id] that is the same in every process. */
internal fun idHash(id: MemberId): Long {
    var hash = FNV_OFFSET
    for (char in id.host.value) hash = (hash xor char.code.toLong()) * FNV_PRIME
    return mix(hash + id.role.ordinal)
}

/** The finalizer of MurmurHash3, which spreads every input bit over the whole result. */
internal fun mix(value: Long): Long {
    var hash = value
    hash = (hash xor (hash ushr MIX_SHIFT)) * MIX_MULTIPLIER_1
    hash = (hash xor (hash ushr MIX_SHIFT)) * MIX_MULTIPLIER_2
    return hash xor (hash ushr MIX_SHIFT)
}

/** Returns the rank of [candidate] for [chooser]; higher is better. It is not symmetric. */
internal fun rank(chooser: Long, candidate: Long): Long = mix(chooser * RANK_FACTOR + candidate)

private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private const val MIX_SHIFT = 33
private const val MIX_MULTIPLIER_1 = -0x00ae502812aa7333L
private const val MIX_MULTIPLIER_2 = -0x3b314601e57a13adL
private const val RANK_FACTOR = 0x5851f42d4c957f2dL
