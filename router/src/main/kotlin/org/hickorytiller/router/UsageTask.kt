/**
 * Appends the usage of this router to the log. A killed router loses at most the usage of one flush interval plus one
 * append; during a log outage it loses at most the usage of the outage, which is kept in memory only.
 */
package org.hickorytiller.router

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.hickorytiller.core.Clock
import org.hickorytiller.core.json
import org.hickorytiller.platform.AppendToLog
import org.hickorytiller.platform.LogFailure
import org.hickorytiller.usage.USAGE_STREAM
import org.hickorytiller.usage.UsageAccumulator

/** Flushes [accumulator] every [intervalMs]. Confined to the event loop. */
internal class UsageTask(
    private val accumulator: UsageAccumulator,
    private val clock: Clock,
    private val append: AppendToLog,
    private val intervalMs: Long = FLUSH_INTERVAL_MS,
) {
    private var reportedLoss = 0L

    /** Flushes periodically. Does not return. */
    suspend fun run(): Nothing {
        var dueAt = clock() + intervalMs
        var retryMs = intervalMs
        while (true) {
            delay(dueAt - clock())
            // The interval counts from the start of the append; otherwise the flush period, and with it the possible
            // loss, would grow by the duration of the append.
            dueAt = clock() + intervalMs
            if (flushAll()) {
                retryMs = intervalMs
            } else {
                retryMs = (retryMs * 2).coerceAtMost(MAX_RETRY_DELAY_MS)
                dueAt = clock() + retryMs
            }
            reportLoss()
        }
    }

    /** Flushes the remaining usage during a drain, for at most [timeoutMs]. Returns whether all was appended. */
    suspend fun drain(timeoutMs: Long): Boolean = withTimeoutOrNull(timeoutMs) {
        while (!flushAll() || !accumulator.isEmpty) delay(DRAIN_RETRY_MS)
        true
    } ?: false

    private suspend fun flushAll(): Boolean {
        while (true) {
            val flush = accumulator.nextFlush(clock()) ?: return true
            // Usage added during the append waits for the next interval; otherwise appends would follow each other
            // without a pause.
            val hasMore = accumulator.hasMore
            val failure = append(USAGE_STREAM, json.writeValueAsBytes(flush)).leftOrNull()
            // A flush above the record size limit can never be appended and would block all later ones.
            if (failure == LogFailure.TOO_LARGE) log.error { "flush ${flush.sequence} exceeds the record limit" }
            if (failure != null && failure != LogFailure.TOO_LARGE) return false
            accumulator.acknowledged(flush)
            if (!hasMore) return true
        }
    }

    private fun reportLoss() {
        if (accumulator.lostIncrements == reportedLoss) return
        log.error {
            "usage of ${accumulator.lostIncrements} requests was lost: too many distinct keys during a log outage"
        }
        reportedLoss = accumulator.lostIncrements
    }

    private companion object {
        val log = KotlinLogging.logger {}
        const val FLUSH_INTERVAL_MS = 2_000L
        const val MAX_RETRY_DELAY_MS = 10_000L
        const val DRAIN_RETRY_MS = 200L
    }
}
