/**
 * Decides what the holder of the usage duty does next: fix a window, report one, or record an acknowledgement. The
 * bytes of a report depend only on the fixed window, so every holder sends the same report.
 */
package org.hickorytiller.usage

import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.TimeMs
import org.hickorytiller.core.json

/** The next action of the holder of the duty. */
sealed interface UsageAction {
    /** Append [parts] in this order. */
    data class Fix(val parts: List<WindowFixed>) : UsageAction

    /** Report [window] to the platform. */
    data class Report(val window: FixedWindow) : UsageAction

    /** Append [record]. */
    data class Acknowledge(val record: WindowAcknowledged) : UsageAction

    /** Do nothing until the ledger changes, but no longer than until [until]. */
    data class Wait(val until: TimeMs) : UsageAction
}

/**
 * @property windowMs time between two windows
 * @property retryMs time after which a report without acknowledgement or an append without response is retried
 */
data class UsageTiming(val windowMs: Long = 60_000, val retryMs: Long = 2_000)

/** Selects the actions from [ledger] under the lease with [fencingToken]. Confined to the event loop. */
class UsageReporter(
    private val ledger: UsageLedger,
    private val timing: UsageTiming,
    private val fencingToken: LogOffset,
    startedAt: TimeMs,
    private val newFixId: () -> String,
) {
    private val accepted = LinkedHashSet<WindowId>()
    private var nextFixAt = startedAt + timing.windowMs
    private var nextAttemptAt = startedAt

    // Until this time no further action is taken while the record of a successful append has not been read back.
    private var readBackUntil = startedAt

    /** Returns the next action at [now]. All records of the stream up to the start of the lease must have been read. */
    fun nextAction(now: TimeMs): UsageAction {
        val window = ledger.toReport().firstOrNull()
        val attemptAt = maxOf(nextAttemptAt, readBackUntil)
        if (now < attemptAt) return UsageAction.Wait(attemptAt)
        return when {
            window != null && window.id in accepted -> UsageAction.Acknowledge(WindowAcknowledged(window.id.value))
            window != null -> UsageAction.Report(window)
            now < nextFixAt -> UsageAction.Wait(nextFixAt)
            else -> fix(now)
        }
    }

    /** Records that the platform has accepted the report of [window]. */
    fun reportAccepted(window: FixedWindow) {
        accepted += window.id
    }

    /** Records that the last action failed at [now] or has an unknown result. */
    fun failed(now: TimeMs) {
        nextAttemptAt = now + timing.retryMs
    }

    /** Records that the append of the last action succeeded; it takes effect when its records are read back. */
    fun appended(now: TimeMs) {
        readBackUntil = now + timing.retryMs
    }

    /** Records that the stream has been read up to the last append. */
    fun appendReadBack(now: TimeMs) {
        readBackUntil = now
    }

    private fun fix(now: TimeMs): UsageAction {
        nextFixAt = now + timing.windowMs
        val parts = ledger.fix(newFixId(), fencingToken)
        return if (parts.isEmpty()) UsageAction.Wait(nextFixAt) else UsageAction.Fix(parts)
    }
}

/** Returns the body of the report of this window. */
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
