/**
 * Records which backend servers probably have which blocks of prompt prefixes in their caches. A block is identified by
 * the hash of the whole prefix up to its end. The table has a fixed size: a newer block replaces an older one in the
 * same position.
 *
 * It is updated by dispatched requests and by cache events. Events are late and have gaps; after a gap the entries of
 * the server are unreliable, so they are ignored.
 */
package org.hickorytiller.balancing

internal class PrefixTable(blocks: Int) {
    private val mask = Integer.highestOneBit(maxOf(2, blocks)) - 1
    private val keys = LongArray(mask + 1)
    private val holders = IntArray((mask + 1) * WAYS) { NONE }
    private val generations = HashMap<Int, Int>()
    private val sequences = HashMap<Int, Long>()

    /** Records that [server] has the blocks [hashes] in its cache. */
    fun store(server: Int, hashes: LongArray) {
        val entry = encode(server)
        for (hash in hashes) {
            val position = positionOf(hash)
            if (keys[position] != hash) {
                keys[position] = hash
                holders.fill(NONE, position * WAYS, (position + 1) * WAYS)
            }
            add(position, entry)
        }
    }

    /** Returns the length in blocks of the longest cached prefix of [hashes], and passes its servers to [holder]. */
    fun longestMatch(hashes: LongArray, holder: (Int) -> Unit): Int {
        for (index in hashes.indices.reversed()) {
            val position = positionOf(hashes[index])
            if (keys[position] != hashes[index]) continue
            var found = false
            for (way in 0 until WAYS) {
                val entry = holders[position * WAYS + way]
                if (entry == NONE || !isCurrent(entry)) continue
                holder(entry ushr GENERATION_BITS)
                found = true
            }
            if (found) return index + 1
        }
        return 0
    }

    /** Applies a cache event of [server]; events that are not newer than the last one are ignored. */
    fun apply(server: Int, event: CacheEvent) {
        val last = sequences[server]
        if (last != null && event.sequence <= last) return
        if (last != null && event.sequence != last + 1) forget(server)
        sequences[server] = event.sequence
        store(server, event.stored)
        event.removed.forEach { remove(server, it) }
    }

    /**
     * Starts a new generation of [server], so that its entries of older generations are ignored. They stay in the
     * table, and the generation number repeats after 256.
     */
    fun forget(server: Int) {
        generations[server] = (generation(server) + 1) and GENERATION_MASK
    }

    private fun remove(server: Int, hash: Long) {
        val position = positionOf(hash)
        if (keys[position] != hash) return
        for (way in position * WAYS until (position + 1) * WAYS) {
            if (holders[way] != NONE && holders[way] ushr GENERATION_BITS == server) holders[way] = NONE
        }
    }

    // The most recent holder comes first; the oldest of the four is evicted.
    private fun add(position: Int, entry: Int) {
        val first = position * WAYS
        val server = entry ushr GENERATION_BITS
        var end = first
        while (end < first + WAYS - 1 && (holders[end] == NONE || holders[end] ushr GENERATION_BITS != server)) end++
        holders.copyInto(holders, first + 1, first, end)
        holders[first] = entry
    }

    private fun encode(server: Int) = (server shl GENERATION_BITS) or generation(server)

    private fun isCurrent(entry: Int) = entry and GENERATION_MASK == generation(entry ushr GENERATION_BITS)

    private fun generation(server: Int) = generations[server] ?: 0

    private fun positionOf(hash: Long): Int = ((hash xor (hash ushr HASH_SHIFT)).toInt()) and mask

    private companion object {
        const val WAYS = 4
        const val NONE = -1
        const val GENERATION_BITS = 8
        const val GENERATION_MASK = 0xff
        const val HASH_SHIFT = 32
    }
}

/**
 * Returns the hashes of the blocks of a prompt. The hash of block n covers all bytes up to its end, so equal hashes
 * mean equal prefixes. An incomplete last block is omitted, and at most [maxBlocks] are hashed.
 */
fun prefixHashes(prompt: ByteArray, blockBytes: Int = 1_024, maxBlocks: Int = 32): LongArray {
    var hash = FNV_OFFSET
    return LongArray(minOf(maxBlocks, prompt.size / blockBytes)) { block ->
        for (index in block * blockBytes until (block + 1) * blockBytes) {
            hash = (hash xor prompt[index].toLong()) * FNV_PRIME
        }
        hash
    }
}

private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
