package org.hickorytiller.dispatch

import kotlinx.coroutines.delay
import org.hickorytiller.core.LogOffset
import kotlin.random.Random

/** A log with outages, lost responses and delays that the seed of [random] determines. */
class InMemoryIntentLog(private val random: Random) {
    val records = mutableListOf<ByteArray>()
    var isDown = false
    var lostResponseRatio = 0.0

    suspend fun append(data: ByteArray): AppendResult {
        delay(random.nextLong(1, 20))
        if (isDown) return AppendResult.NOT_APPENDED
        records += data
        delay(random.nextLong(1, 20))
        return if (random.nextDouble() < lostResponseRatio) AppendResult.UNKNOWN else AppendResult.APPENDED
    }

    /** Returns up to five records from [from] on; null while the log is down. */
    fun read(from: Int): List<Pair<LogOffset, ByteArray>>? = if (isDown) null else (from until minOf(records.size, from + 5)).map { LogOffset(it.toLong()) to records[it] }
}
