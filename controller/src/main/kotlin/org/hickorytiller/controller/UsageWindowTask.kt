/**
 * Fixes usage windows, that is, appends the records that determine their figures permanently, and reports them
 * while the lease is held. Only the holder reads the stream: at the target deployment size its volume is too large for
 * every controller to read.
 */
package org.hickorytiller.controller

import arrow.core.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.hickorytiller.core.Clock
import org.hickorytiller.core.Delivery
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.json
import org.hickorytiller.core.sendWhileLeaseHeld
import org.hickorytiller.platform.AppendToLog
import org.hickorytiller.platform.ReadLog
import org.hickorytiller.usage.FixedWindow
import org.hickorytiller.usage.USAGE_SCHEMA
import org.hickorytiller.usage.USAGE_STREAM
import org.hickorytiller.usage.UsageAction
import org.hickorytiller.usage.UsageLedger
import org.hickorytiller.usage.UsageRecord
import org.hickorytiller.usage.UsageReporter
import org.hickorytiller.usage.UsageTiming
import org.hickorytiller.usage.WindowId
import org.hickorytiller.usage.reportBytes

internal val USAGE_FORMAT = RecordFormat(USAGE_STREAM, UsageRecord::class.java, USAGE_SCHEMA)

/** Reports the bytes of a window with a fencing token; see [org.hickorytiller.core.SendChecked] for the functions. */
internal typealias ReportWindow = suspend (WindowId, ByteArray, LogOffset, () -> Boolean, () -> Unit) -> Delivery

/** Performs the usage window duty. [requiredLeaseMs] is as in [OrderTiming]. Confined to the event loop. */
internal class UsageWindowTask(
    private val append: AppendToLog,
    private val read: ReadLog,
    private val report: ReportWindow,
    private val timing: UsageTiming,
    private val requiredLeaseMs: Long,
    private val clock: Clock,
    private val newFixId: () -> String,
    private val onLateWrite: (WindowId) -> Unit = {},
) {
    /** The usage read during the current lease, or during the last one if none is held. */
    var ledger = UsageLedger()
        private set

    /** Performs the duty; does not return. */
    suspend fun run(lease: LeaseHandle): Unit = coroutineScope {
        val current = UsageLedger()
        ledger = current
        val follower = RecordFollower(USAGE_FORMAT, read, current::onRecordsDropped, current::apply)
        launch { follower.follow(LogOffset(0)) }
        while (follower.catchUp(CATCH_UP_TIMEOUT_MS).getOrElse { false }.not()) delay(timing.retryMs)
        val reporter = UsageReporter(current, timing, lease.fencingToken, clock(), newFixId)
        while (true) {
            when (val action = reporter.nextAction(clock())) {
                is UsageAction.Wait ->
                    follower.awaitAfter(follower.seenThrough, (action.until - clock()).coerceAtLeast(1))
                is UsageAction.Report -> send(lease, reporter, action.window)
                is UsageAction.Fix -> appendAll(lease, reporter, follower, action.parts)
                is UsageAction.Acknowledge -> appendAll(lease, reporter, follower, listOf(action.record))
            }
        }
    }

    private suspend fun send(lease: LeaseHandle, reporter: UsageReporter, window: FixedWindow) {
        val delivery =
            sendWhileLeaseHeld(
                lease::holds,
                requiredLeaseMs,
                { mayWrite, afterWrite ->
                    report(window.id, window.reportBytes(), lease.fencingToken, mayWrite, afterWrite)
                },
                {
                    log.warn { "the report of window ${window.id} was written after the lease had ended" }
                    onLateWrite(window.id)
                },
            )
        if (delivery == Delivery.Taken) {
            reporter.reportAccepted(window)
            log.info { "window ${window.id} reported" }
        } else {
            reporter.failed(clock())
            log.warn { "report of window ${window.id}: $delivery" }
        }
    }

    private suspend fun appendAll(
        lease: LeaseHandle,
        reporter: UsageReporter,
        follower: RecordFollower<UsageRecord>,
        records: List<UsageRecord>,
    ) {
        var last = follower.seenThrough
        for (record in records) {
            if (!lease.holds(0)) return reporter.failed(clock())
            last = append(USAGE_STREAM, json.writeValueAsBytes(record)).getOrElse { return reporter.failed(clock()) }
        }
        reporter.appended(clock())
        if (follower.awaitRead(last, CATCH_UP_TIMEOUT_MS)) reporter.appendReadBack(clock())
    }

    private companion object {
        val log = KotlinLogging.logger {}
        const val CATCH_UP_TIMEOUT_MS = 10_000L
    }
}
