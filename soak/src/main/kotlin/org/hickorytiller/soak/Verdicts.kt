/** Decides whether a request that ended without a complete response counts as lost in a planned stop. */
package org.hickorytiller.soak

import org.hickorytiller.core.TimeMs
import org.hickorytiller.standins.ServerWork
import org.hickorytiller.standins.WorkEnd

internal enum class LossVerdict {
    COMPLETE,

    /** The host had not read the whole request. */
    NOT_READ,

    /** The backend server ended the response early. */
    SERVER_BROKE_OFF,

    /** The deadline of the caller or the timeout of the route was reached. */
    DEADLINE,

    /** A backend server was still at work shortly before the end of the grace on a request that was sent early. */
    LATE_IN_GRACE,
    LOST,
}

/** Where a request stood when it was cut off. */
internal enum class CutState {
    BODY_BEING_RECEIVED,
    NO_SERVER_CHOSEN,
    BETWEEN_ATTEMPTS,
    NO_BYTE_OF_RESPONSE,
    RESPONSE_IN_PART,
}

/** Returns the verdict on [request], whose process got its first SIGTERM at [termAt] and which ran as [work]. */
internal fun lossVerdict(request: RequestRecord, termAt: TimeMs?, work: List<ServerWork>): LossVerdict {
    if (request.end == RequestEnd.COMPLETE) return LossVerdict.COMPLETE
    val lastByteAt = request.lastByteAt ?: return LossVerdict.NOT_READ
    if (work.isEmpty() && !wasReadAlone(request, lastByteAt)) return LossVerdict.NOT_READ
    if (work.any { it.end == WorkEnd.BROKE_OFF }) return LossVerdict.SERVER_BROKE_OFF
    val deadlineAt = request.firstByteAt + minOf(request.plan.deadlineMs, routeTimeoutMs(request.plan.kind))
    if (request.end == RequestEnd.GAVE_UP || request.endedAt >= deadlineAt) return LossVerdict.DEADLINE
    val isEarly = termAt != null && lastByteAt - termAt <= EARLY_MS
    val wasAtWorkLate = termAt != null && work.any { it.wasRunningAt(termAt + LAST_SIXTH_FROM_MS) }
    return if (isEarly && wasAtWorkLate) LossVerdict.LATE_IN_GRACE else LossVerdict.LOST
}

/** Returns where [request] stood at its end. */
internal fun cutState(request: RequestRecord, work: List<ServerWork>): CutState = when {
    request.lastByteAt == null -> CutState.BODY_BEING_RECEIVED
    request.receivedBytes > 0 -> CutState.RESPONSE_IN_PART
    work.isEmpty() -> CutState.NO_SERVER_CHOSEN
    work.all { it.end == WorkEnd.REFUSED } -> CutState.BETWEEN_ATTEMPTS
    else -> CutState.NO_BYTE_OF_RESPONSE
}

internal fun routeTimeoutMs(kind: RequestKind): Long = if (kind.isStream) STREAM_TIMEOUT_MS else PLAIN_TIMEOUT_MS

// A process that ends with unread bytes in its socket resets the connection; an orderly close shows that all were read.
private fun wasReadAlone(request: RequestRecord, lastByteAt: TimeMs) =
    request.end == RequestEnd.CLOSED && request.endedAt - lastByteAt > LOSS_SLACK_MS

private fun ServerWork.wasRunningAt(time: TimeMs): Boolean {
    val ended = endedAt
    return startedAt != null && (ended == null || ended >= time)
}

internal const val GRACE_MS = 8_000L

/** Start of the last sixth of the grace. */
private const val LAST_SIXTH_FROM_MS = GRACE_MS * 5 / 6
private const val EARLY_MS = 3_000L
private const val LOSS_SLACK_MS = 200L
private const val STREAM_TIMEOUT_MS = 15_000L
private const val PLAIN_TIMEOUT_MS = 2_000L
