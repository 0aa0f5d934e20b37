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
    private var isResuming = false
    private var isRest = false

    /** Id of the last complete event; null if the stream cannot be resumed after it. */
    var lastEventId: EventId? = null
        private set

    /** Whether bytes of an incomplete event are buffered. */
    val hasPartialEvent: Boolean get() = parser.bufferedBytes > 0

    /** Number of bytes buffered for an event that is not complete. */
    val bufferedBytes: Int get() = parser.bufferedBytes

    /** Discards the buffered bytes, since the next response resumes after the last complete event, if there is one. */
    fun startResponse() {
        parser = EventParser()
        isResuming = lastEventId != null
        isRest = isResuming
    }

    /** Returns the blank lines after the last event, at the end of a stream without a partial event. */
    fun takeBlankLines(): ByteArray = parser.takeBlankLines()

    /**
     * Adds the next bytes of the stream and returns the events that are complete; empty if there is none. Returns null
     * if an event exceeds the limit of the parser, or if the first event of a resumed stream does not follow the last
     * one: a server may send an error, or the stream from its beginning.
     */
    fun feed(bytes: ByteArray): ByteArray? {
        val events =
            try {
                parser.feed(bytes)
            } catch (_: EventTooLargeException) {
                return null
            }
        if (events.isEmpty()) return EMPTY
        val first = events.firstOrNull { !it.isComment }
        if (isResuming && first != null && !isAfterLast(first.id)) return null
        if (first != null) isResuming = false
        val whole = ByteArrayOutputStream(bytes.size)
        for (event in events) {
            whole.write(if (isRest) event.bytesWithoutMark else event.bytes)
            event.id?.let { lastEventId = if (isFieldValue(it)) EventId(it) else null }
        }
        return whole.toByteArray()
    }

    // The id is sent in a header field to the server that resumes the stream.
    private fun isFieldValue(id: String) = id.isNotEmpty() && id.all { it in ' '..'~' }

    private fun isAfterLast(id: String?): Boolean {
        val last = lastEventId?.value ?: return true
        if (id == null || id == last) return false
        val number = id.toLongOrNull() ?: return true
        return number > (last.toLongOrNull() ?: return true)
    }

    private companion object {
        val EMPTY = ByteArray(0)
    }
}
