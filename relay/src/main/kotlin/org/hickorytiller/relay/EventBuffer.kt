/**
 * Buffers the bytes of an incomplete event of a stream, so that a response that breaks off in the middle of an event
 * can be resumed on another server. Complete events are relayed byte for byte.
 */
package org.hickorytiller.relay

import org.hickorytiller.http.EventParser
import org.hickorytiller.http.EventTooLargeException
import java.io.ByteArrayOutputStream

/** Splits one stream into complete events. */
internal class EventBuffer {
    private var parser = EventParser()

    /** Id of the last complete event. */
    var lastEventId: EventId? = null
        private set

    /** Whether bytes of an incomplete event are buffered. */
    val hasPartialEvent: Boolean get() = parser.bufferedBytes > 0

    /** Discards the buffered bytes, since another server resumes after the last complete event. */
    fun discardPartial() {
        parser = EventParser()
    }

    /**
     * Adds the next bytes of the stream and returns the events that are complete; empty if there is none. Returns null
     * if an event exceeds the limit of the parser.
     */
    fun feed(bytes: ByteArray): ByteArray? {
        val events =
            try {
                parser.feed(bytes)
            } catch (_: EventTooLargeException) {
                return null
            }
        if (events.isEmpty()) return EMPTY
        val whole = ByteArrayOutputStream(bytes.size)
        for (event in events) {
            whole.write(event.bytes)
            event.id?.let { lastEventId = EventId(it) }
        }
        return whole.toByteArray()
    }

    private companion object {
        val EMPTY = ByteArray(0)
    }
}
