/** Median of the most recent values, which are kept sorted so that reading the median takes constant time. */
package org.hickorytiller.balancing

internal class RecentMedian(private val capacity: Int = 101) {
    private val recent = DoubleArray(capacity)
    private val sorted = DoubleArray(capacity)
    private var count = 0
    private var next = 0

    /** The lower median; 0 if there are no values. */
    val value: Double get() = if (count == 0) 0.0 else sorted[(count - 1) / 2]

    fun add(value: Double) {
        if (count == capacity) removeSorted(recent[next]) else count++
        recent[next] = value
        next = (next + 1) % capacity
        insertSorted(value, count - 1)
    }

    /** Adds [value] and returns its ratio to the median; 1 while there are fewer than [MIN_SAMPLES] values. */
    fun ratio(value: Double): Double {
        add(value)
        return if (count < MIN_SAMPLES) 1.0 else value / maxOf(MIN_MEDIAN, this.value)
    }

    private fun removeSorted(value: Double) {
        val index = sorted.binarySearch(value, 0, count)
        sorted.copyInto(sorted, index, index + 1, count)
    }

    private fun insertSorted(value: Double, size: Int) {
        val found = sorted.binarySearch(value, 0, size)
        val index = if (found >= 0) found else -found - 1
        sorted.copyInto(sorted, index + 1, index, size)
        sorted[index] = value
    }

    private companion object {
        // With fewer samples the first slow response would become the median.
        const val MIN_SAMPLES = 4

        // The clock has a resolution of 1 ms, so a smaller median is not meaningful.
        const val MIN_MEDIAN = 1.0
    }
}
