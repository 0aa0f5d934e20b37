/** Reads the complete events of one response. A server that sends other bytes only is treated like a silent one. */
package org.hickorytiller.relay

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import org.hickorytiller.core.Clock
import org.hickorytiller.core.TimeMs
import org.hickorytiller.http.MemoryReservation

/** Reads [response] through [buffer] until [deadline]; [gapMs] is the pause after which the server counts as lost. */
internal class EventReader(
    private val clock: Clock,
    private val response: StartedResponse,
    private val buffer: EventBuffer,
    private val deadline: TimeMs,
    private val gapMs: Long?,
    private val memory: MemoryReservation,
) {
    private val baseBytes = memory.bytes

    /** Receives the events that are complete next; null at the end of the response. */
    suspend fun next(): Either<ExchangeFailure, ByteArray?> {
        val end = gapMs?.let { minOf(deadline, clock() + it) } ?: deadline
        while (true) {
            val waitMs = end - clock()
            if (waitMs <= 0) return ExchangeFailure.TIMEOUT.left()
            val bytes = response.receive(waitMs).getOrElse { return it.left() } ?: return null.right()
            val events = buffer.feed(bytes) ?: return ExchangeFailure.LOST.left()
            if (!memory.raiseTo(baseBytes + BUFFER_FACTOR * buffer.bufferedBytes)) return ExchangeFailure.LOST.left()
            if (events.isNotEmpty()) return events.right()
        }
    }

    private companion object {
        // The buffer of an incomplete event doubles when it is full.
        const val BUFFER_FACTOR = 2L
    }
}
