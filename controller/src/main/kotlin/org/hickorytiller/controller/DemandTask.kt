/** Follows the usage flushes for the demand while at least one order duty is held by this process. */
package org.hickorytiller.controller

import arrow.core.getOrElse
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.collectLatest
import kotlinx.coroutines.flow.distinctUntilChanged
import kotlinx.coroutines.flow.map
import org.hickorytiller.core.ClassId
import org.hickorytiller.core.Clock
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.PoolId
import org.hickorytiller.platform.ReadLog
import org.hickorytiller.usage.USAGE_STREAM
import org.hickorytiller.usage.UsageDemand
import org.hickorytiller.usage.UsageFlush

/** Source of the demand until the exchange between peers is connected. Confined to the event loop. */
internal class DemandTask(private val read: ReadLog, private val clock: Clock) {
    private val users = MutableStateFlow(0)
    private val demand = UsageDemand(KEEP_MS)

    /** Busy slots by class and pool. */
    fun busySlots(): Map<Pair<ClassId, PoolId>, Double> = demand.busySlots(clock())

    /** Keeps the demand up to date as long as [work] runs. */
    suspend fun <T> during(work: suspend () -> T): T {
        users.value++
        try {
            return work()
        } finally {
            users.value--
        }
    }

    /** Follows the stream while there is a user. Does not return. */
    suspend fun run() {
        users.map { it > 0 }.distinctUntilChanged().collectLatest { used -> if (used) follow() }
    }

    private suspend fun follow() {
        while (true) {
            val end = read(USAGE_STREAM, LogOffset(Long.MAX_VALUE), 0).getOrElse { null }?.end
            if (end != null) {
                RecordFollower(USAGE_FORMAT, read) { record, _ ->
                    if (record is UsageFlush) demand.add(record, clock())
                }.follow(end)
            }
            delay(RETRY_MS)
        }
    }

    private companion object {
        // Five flush intervals of the long-run size; a router without traffic sends no flush.
        const val KEEP_MS = 25_000L
        const val RETRY_MS = 1_000L
    }
}
