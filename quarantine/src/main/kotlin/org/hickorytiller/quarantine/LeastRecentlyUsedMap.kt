/** A map of limited size. */
package org.hickorytiller.quarantine

/** Returns a map that removes the entry that was not used for longest when it exceeds [limit]. */
internal fun <K, V> leastRecentlyUsedMap(limit: Int): MutableMap<K, V> =
    object : LinkedHashMap<K, V>(INITIAL_SIZE, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<K, V>) = size > limit
    }

// The defaults of LinkedHashMap, which the constructor with the access order does not have.
private const val INITIAL_SIZE = 16
private const val LOAD_FACTOR = 0.75f
