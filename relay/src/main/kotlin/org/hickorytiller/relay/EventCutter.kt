/**
 * Holds back the bytes of an incomplete event of a stream, so that an answer which breaks off in the middle of an
 * event can be continued by another server. Whole events are passed on in the bytes in which they came.
 */
package org.hickorytiller.relay

import org.hickorytiller.http.EventParser
import java.io.ByteArrayOutputStream

/** Cuts one stream. */
internal class EventCutter {
    private var parser = EventParser()

    /** Id of the last whole event. */
    var lastId: EventId? = null
        private set

    /** Whether bytes of an incomplete event are held back. */
    val isInsideEvent: Boolean get() = parser.bufferedBytes > 0

    /** Drops what is held back, since another server goes on after the last whole event. */
    fun restart() {
        parser = EventParser()
    }

    /** Takes the next bytes and returns the whole events in them; empty if there is none. */
    fun feed(bytes: ByteArray): ByteArray {
        val events = parser.feed(bytes)
        if (events.isEmpty()) return EMPTY
        val whole = ByteArrayOutputStream(bytes.size)
        for (event in events) {
            whole.write(event.bytes)
            event.id?.let { lastId = EventId(it) }
        }
        return whole.toByteArray()
    }

    private companion object {
        val EMPTY = ByteArray(0)
    }
}
