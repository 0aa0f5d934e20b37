/** Median of the most recent values, kept in order so that it costs no sorting. */
package org.hickorytiller.balancing

internal class RecentMedian(private val capacity: Int = 101) {
    private val arrived = DoubleArray(capacity)
    private val sorted = DoubleArray(capacity)
    private var count = 0
    private var next = 0

    /** The lower median; 0 while there is no value. */
    val value: Double get() = if (count == 0) 0.0 else sorted[(count - 1) / 2]

    fun add(value: Double) {
        if (count == capacity) removeSorted(arrived[next]) else count++
        arrived[next] = value
        next = (next + 1) % capacity
        insertSorted(value, count - 1)
    }

    /** Adds [value] and returns it relative to the median; 1 while there are too few values to tell. */
    fun ratio(value: Double): Double {
        add(value)
        return if (count < LEAST_SAMPLES) 1.0 else value / maxOf(LEAST_MEDIAN, this.value)
    }

    private fun removeSorted(value: Double) {
        val index = sorted.binarySearch(value, 0, count)
        sorted.copyInto(sorted, index, index + 1, count)
    }

    private fun insertSorted(value: Double, filled: Int) {
        val found = sorted.binarySearch(value, 0, filled)
        val index = if (found >= 0) found else -found - 1
        sorted.copyInto(sorted, index + 1, index, filled)
        sorted[index] = value
    }

    private companion object {
        // Fewer samples make the first slow answer the median.
        const val LEAST_SAMPLES = 4

        // The clock counts whole milliseconds, so a smaller median says nothing.
        const val LEAST_MEDIAN = 1.0
    }
}
