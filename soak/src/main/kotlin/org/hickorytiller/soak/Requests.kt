/** The requests of callers: what is planned for each, and what its caller has seen of it. */
package org.hickorytiller.soak

import org.hickorytiller.core.TimeMs
import org.hickorytiller.relay.RequestId
import java.util.Random

/** @property mayRepeat whether the request may run more than once */
internal enum class RequestKind(val isStream: Boolean, val mayRepeat: Boolean) {
    ONCE(isStream = false, mayRepeat = false),
    READ(isStream = false, mayRepeat = true),
    STREAM(isStream = true, mayRepeat = false),
    RESUMABLE_STREAM(isStream = true, mayRepeat = true),
    ;

    val route = name.lowercase().replace('_', '-')
}

/**
 * @property firstByteDelayMs time that the backend server works before the first byte of its response
 * @property bodyPauseMs pause of the caller in the middle of the body
 */
internal data class RequestPlan(
    val kind: RequestKind,
    val deadlineMs: Long,
    val firstByteDelayMs: Long,
    val events: Int,
    val eventGapMs: Long,
    val isChunked: Boolean,
    val bodyPauseMs: Long,
)

/** How a request ended for its caller. */
internal enum class RequestEnd {
    COMPLETE,

    /** The connection was closed before the end of the response. */
    CLOSED,

    /** The connection was reset before the end of the response. */
    RESET,

    /** The caller gave up after its deadline. */
    GAVE_UP,
}

/**
 * What the caller saw.
 *
 * @property lastByteAt when the last byte of the request was written; null if writing failed
 * @property receivedBytes number of bytes received of the response
 * @property lastEvent number of the last event received
 */
internal data class RequestRecord(
    val id: RequestId,
    val plan: RequestPlan,
    val host: Int,
    val firstByteAt: TimeMs,
    val lastByteAt: TimeMs?,
    val endedAt: TimeMs,
    val end: RequestEnd,
    val status: Int?,
    val receivedBytes: Int,
    val lastEvent: Int,
)

/** Plans a request. Streams take 1 to 11 s and end before their deadline. */
internal fun planRequest(random: Random): RequestPlan {
    val kind = RequestKind.entries[random.nextInt(RequestKind.entries.size)]
    val bodyPauseMs = if (random.nextInt(SLOW_BODY_ONE_IN) == 0) random.nextInt(MAX_BODY_PAUSE_MS).toLong() else 0
    val isChunked = random.nextBoolean()
    if (!kind.isStream) {
        val workMs = MIN_WORK_MS + random.nextInt(WORK_SPREAD_MS)
        return RequestPlan(kind, PLAIN_DEADLINE_MS, workMs, events = 0, eventGapMs = 0, isChunked, bodyPauseMs / 2)
    }
    val deadlineMs = STREAM_DEADLINES_MS[random.nextInt(STREAM_DEADLINES_MS.size)]
    val longestMs = minOf(MAX_STREAM_MS, deadlineMs - STREAM_MARGIN_MS)
    val totalMs = MIN_STREAM_MS + random.nextInt((longestMs - MIN_STREAM_MS).toInt())
    val firstByteDelayMs = random.nextInt(MAX_FIRST_BYTE_MS).toLong()
    val events = ((totalMs - firstByteDelayMs) / EVENT_GAP_MS).toInt()
    return RequestPlan(kind, deadlineMs, firstByteDelayMs, events, EVENT_GAP_MS, isChunked, bodyPauseMs)
}

private const val SLOW_BODY_ONE_IN = 5
private const val MAX_BODY_PAUSE_MS = 800
private const val PLAIN_DEADLINE_MS = 1_000L
private const val MIN_WORK_MS = 5L
private const val WORK_SPREAD_MS = 500
private val STREAM_DEADLINES_MS = listOf(6_000L, 12_000L, 15_000L)
private const val MIN_STREAM_MS = 1_000L
private const val MAX_STREAM_MS = 11_000L
private const val STREAM_MARGIN_MS = 800L
private const val MAX_FIRST_BYTE_MS = 700
private const val EVENT_GAP_MS = 100L
