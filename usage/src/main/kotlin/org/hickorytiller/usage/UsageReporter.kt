/**
 * Decides what the holder of the usage duty does next: fix a window, report one, or record an acknowledgement. The
 * bytes of a report depend on the fixed figure alone, so every sender sends the same ones.
 */
package org.hickorytiller.usage

import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.TimeMs
import org.hickorytiller.core.json

/** What to do next. */
sealed interface UsageAction {
    /** Append [parts] in this order. */
    data class Fix(val parts: List<WindowFixed>) : UsageAction

    /** Report [window] to the platform. */
    data class Report(val window: FixedWindow) : UsageAction

    /** Append [record]. */
    data class Acknowledge(val record: WindowAcknowledged) : UsageAction

    /** Do nothing until the ledger changes or until [until]. */
    data class Wait(val until: TimeMs) : UsageAction
}

/**
 * @property windowMs time between two windows
 * @property retryMs time after which a report without acknowledgement or an append without answer is repeated
 */
data class UsageTiming(val windowMs: Long = 60_000, val retryMs: Long = 2_000)

/** The holder's view of [ledger] under the lease with [fencingToken]. Confined to the event loop. */
class UsageReporter(
    private val ledger: UsageLedger,
    private val timing: UsageTiming,
    private val fencingToken: LogOffset,
    startedAt: TimeMs,
    private val newFixId: () -> String,
) {
    private val accepted = LinkedHashSet<WindowId>()
    private var nextFixAt = startedAt + timing.windowMs
    private var nextTryAt = startedAt

    // Until then the record of an answered append may still show.
    private var showsBy = startedAt

    /** The next action at [now], given that all records of the stream up to the start of the lease were read. */
    fun nextAction(now: TimeMs): UsageAction {
        val window = ledger.toReport().firstOrNull()
        val tryAt = maxOf(nextTryAt, showsBy)
        if (now < tryAt) return UsageAction.Wait(tryAt)
        return when {
            window != null && window.id in accepted -> UsageAction.Acknowledge(WindowAcknowledged(window.id.value))
            window != null -> UsageAction.Report(window)
            now < nextFixAt -> UsageAction.Wait(nextFixAt)
            else -> fix(now)
        }
    }

    /** Reports that the platform has accepted [window]. */
    fun reportAccepted(window: FixedWindow) {
        accepted += window.id
    }

    /** Reports that the last action failed at [now] or that its outcome is unknown. */
    fun failed(now: TimeMs) {
        nextTryAt = now + timing.retryMs
    }

    /** Reports that the append of the last action was answered; its effect shows when it is read. */
    fun appended(now: TimeMs) {
        showsBy = now + timing.retryMs
    }

    /** Takes note that records were read up to the one of the last append. */
    fun appendReadBack(now: TimeMs) {
        showsBy = now
    }

    private fun fix(now: TimeMs): UsageAction {
        nextFixAt = now + timing.windowMs
        val parts = ledger.fix(newFixId(), fencingToken)
        return if (parts.isEmpty()) UsageAction.Wait(nextFixAt) else UsageAction.Fix(parts)
    }
}

/** The body of the report of this window. */
fun FixedWindow.reportBytes(): ByteArray = json.writeValueAsBytes(
    mapOf(
        "windowId" to id.value,
        "throughOffset" to throughOffset.value,
        "figures" to figures.map {
            mapOf(
                "customer" to it.customer,
                "requestClass" to it.requestClass,
                "pool" to it.pool,
                "requests" to it.requests,
                "promptTokens" to it.promptTokens,
                "generatedTokens" to it.generatedTokens,
            )
        },
    ),
)
