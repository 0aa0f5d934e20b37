/**
 * Bounds the bytes that all requests of a process hold together. Bytes are reserved before they are kept, and given
 * back when the request ends.
 */
package org.hickorytiller.http

/**
 * A budget of [totalBytes]. Reservations of more than [SMALL_BYTES] leave [smallReserveBytes] free, so that small
 * requests are served while large ones occupy the rest. Confined to the event loop.
 */
class MemoryBudget(val totalBytes: Long, private val smallReserveBytes: Long = totalBytes / SMALL_SHARE_DIVISOR) {
    /** Bytes that are reserved. */
    var usedBytes: Long = 0
        private set

    /** Number of reservations that found no room. */
    var refusedCount: Long = 0
        private set

    /** Returns an empty reservation, which has to be closed. */
    fun reservation() = MemoryReservation(this)

    internal fun tryReserve(bytes: Long, isSmall: Boolean): Boolean {
        val limitBytes = if (isSmall) totalBytes else totalBytes - smallReserveBytes
        val fits = bytes <= limitBytes - usedBytes
        if (fits) usedBytes += bytes else refusedCount++
        return fits
    }

    internal fun release(bytes: Long) {
        usedBytes -= bytes
    }

    companion object {
        /** Largest reservation that may use the part of the budget that is kept for small requests. */
        const val SMALL_BYTES = 65_536L

        // A quarter of the budget at the deployed heap holds 150 small requests of the largest size at once.
        private const val SMALL_SHARE_DIVISOR = 4

        // The rest holds the process at rest, bytes queued on connections and copies that await collection.
        private const val HEAP_SHARE_PERCENT = 40
        private const val PERCENT = 100

        /** The budget for a process whose settings name none. */
        fun defaultBytes(maxHeapBytes: Long): Long = maxHeapBytes / PERCENT * HEAP_SHARE_PERCENT

        /** Returns a budget that refuses nothing. */
        fun unlimited() = MemoryBudget(Long.MAX_VALUE, smallReserveBytes = 0)
    }
}

/** The bytes that one request has reserved. */
class MemoryReservation internal constructor(private val budget: MemoryBudget) : AutoCloseable {
    /** Bytes reserved so far. */
    var bytes: Long = 0
        private set

    /** Raises the reservation to [newBytes] if it is lower. Returns false, and changes nothing, if there is no room. */
    fun raiseTo(newBytes: Long): Boolean {
        if (newBytes <= bytes) return true
        val isGranted = budget.tryReserve(newBytes - bytes, isSmall = newBytes <= MemoryBudget.SMALL_BYTES)
        if (isGranted) bytes = newBytes
        return isGranted
    }

    /** Gives bytes back until [newBytes] remain. */
    fun lowerTo(newBytes: Long) {
        if (newBytes >= bytes) return
        budget.release(bytes - newBytes)
        bytes = newBytes
    }

    /** Gives all bytes back. */
    override fun close() = lowerTo(0)
}
