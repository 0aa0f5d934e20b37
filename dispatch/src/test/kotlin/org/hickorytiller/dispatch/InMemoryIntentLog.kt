package org.hickorytiller.dispatch

import kotlinx.coroutines.delay
import org.hickorytiller.core.LogOffset
import kotlin.random.Random

/** A log with outages, lost answers and delays that a seed decides. */
class InMemoryIntentLog(private val random: Random) {
    val records = mutableListOf<ByteArray>()
    var isDown = false
    var lostAnswerShare = 0.0

    suspend fun append(data: ByteArray): AppendResult {
        delay(random.nextLong(1, 20))
        if (isDown) return AppendResult.NOT_APPENDED
        records += data
        delay(random.nextLong(1, 20))
        return if (random.nextDouble() < lostAnswerShare) AppendResult.UNKNOWN else AppendResult.APPENDED
    }

    /** Records from [from] on; null while the log is down. */
    fun read(from: Int): List<Pair<LogOffset, ByteArray>>? = if (isDown) null else (from until minOf(records.size, from + 5)).map { LogOffset(it.toLong()) to records[it] }
}
