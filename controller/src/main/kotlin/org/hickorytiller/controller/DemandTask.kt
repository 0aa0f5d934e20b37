/** Estimates the demand from the usage flushes while this process holds at least one order duty. */
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

/**
 * Interim source of the demand, until controllers receive the demand reports that routers exchange. Confined to the
 * event loop.
 */
internal class DemandTask(private val read: ReadLog, private val clock: Clock) {
    private val activeDuties = MutableStateFlow(0)
    private val demand = UsageDemand(RETENTION_MS)

    /** Busy slots by class and pool. */
    fun busySlots(): Map<Pair<ClassId, PoolId>, Double> = demand.busySlots(clock())

    /** Runs [work] and keeps the demand up to date meanwhile. */
    suspend fun <T> updateWhile(work: suspend () -> T): T {
        activeDuties.value++
        try {
            return work()
        } finally {
            activeDuties.value--
        }
    }

    /** Follows the stream while at least one call of [updateWhile] is active. Does not return. */
    suspend fun run() {
        activeDuties.map { it > 0 }.distinctUntilChanged().collectLatest { isActive -> if (isActive) follow() }
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
        // More than ten flush intervals of a router (2 s); a router without traffic sends no flush.
        const val RETENTION_MS = 25_000L
        const val RETRY_MS = 1_000L
    }
}
