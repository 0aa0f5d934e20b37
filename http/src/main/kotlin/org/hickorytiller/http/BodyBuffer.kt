/** Collects the bytes of a body in segments, so that growing does not copy what was collected. */
package org.hickorytiller.http

/**
 * A body of at most [maxBytes], whose memory is reserved in [memory] before it is allocated. If the length of the body
 * is known, its [expectedBytes] are reserved already.
 */
class BodyBuffer(
    private val maxBytes: Int,
    private val memory: MemoryReservation,
    private val expectedBytes: Int = 0,
) {
    private val segments = ArrayList<ByteArray>()
    private val otherReservedBytes = memory.bytes - expectedBytes
    private var allocatedBytes = 0
    private var size = 0

    /** Adds [bytes]. Returns the fault if they exceed the limit or the process has no room for them. */
    fun append(bytes: ByteArray): HttpFault? {
        if (bytes.size > maxBytes - size) return HttpFault.BODY_TOO_LARGE
        val free = allocatedBytes - size
        val count = minOf(free, bytes.size)
        if (count > 0) segments.last().let { bytes.copyInto(it, it.size - free, 0, count) }
        size += count
        if (count == bytes.size) return null
        if (!addSegment(bytes.size - count)) return HttpFault.NO_MEMORY
        bytes.copyInto(segments.last(), 0, count)
        size += bytes.size - count
        return null
    }

    /** Returns the whole body. */
    fun toByteArray(): ByteArray {
        segments.singleOrNull()?.let { if (it.size == size) return it }
        val body = ByteArray(size)
        var position = 0
        for (segment in segments) {
            val count = minOf(segment.size, size - position)
            segment.copyInto(body, position, 0, count)
            position += count
        }
        return body
    }

    // A body in many small chunks takes few segments, and a small body takes a small one.
    private fun addSegment(minimumBytes: Int): Boolean {
        val growthBytes = if (segments.isEmpty()) expectedBytes else minOf(size, MAX_SEGMENT_BYTES)
        val capacityBytes = maxOf(minimumBytes, growthBytes)
        if (!memory.raiseTo(otherReservedBytes + allocatedBytes + capacityBytes)) return false
        allocatedBytes += capacityBytes
        segments += ByteArray(capacityBytes)
        return true
    }

    private companion object {
        const val MAX_SEGMENT_BYTES = 65_536
    }
}
