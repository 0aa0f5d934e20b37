/**
 * Splits a stream of server-sent events into whole events. Bytes of an incomplete event are buffered, so a truncated
 * stream never passes on a part of an event.
 */
package org.hickorytiller.http

import java.io.ByteArrayOutputStream

/**
 * One event: the [bytes] as received, with the blank lines before it and the blank line that ends it. The first event
 * of a stream may begin with a byte order mark of [markBytes] bytes, which is not part of its first line.
 */
class ServerSentEvent(val bytes: ByteArray, private val markBytes: Int = 0) {
    private val lines: List<String>
        get() = String(bytes, markBytes, bytes.size - markBytes).split("\r\n", "\n", "\r")

    /** Whether the event has comments only. */
    val isComment: Boolean get() = lines.all { it.isEmpty() || it.startsWith(':') }

    /** The values of the `data` lines, joined by line feeds. */
    val data: String
        get() = lines
            .filter { it == "data" || it.startsWith("data:") }
            .joinToString("\n") { it.removePrefix("data").removePrefix(":").removePrefix(" ") }

    /** The id of the event; empty if the field has no value, null if there is none. */
    val id: String?
        get() = lines
            .lastOrNull { it == "id" || it.startsWith("id:") }
            ?.removePrefix("id")
            ?.removePrefix(":")
            ?.removePrefix(" ")

    /** The bytes without a byte order mark, which is valid only at the start of a stream. */
    val bytesWithoutMark: ByteArray get() = bytes.copyOfRange(markBytes, bytes.size)
}

/** The peer sent more than the limit without ending an event. */
class EventTooLargeException(maxBytes: Int) : Exception("server-sent event larger than $maxBytes bytes")

/**
 * Parses one stream. A line ends with a line feed, a carriage return, or a carriage return and line feed. Blank lines
 * between two events belong to the later one.
 */
class EventParser(private val maxEventBytes: Int = 1_048_576) {
    private val pending = ByteArrayOutputStream()
    private var blankBytes = 0
    private var lineBytes = 0
    private var markBytes = 0
    private var isAtStart = true
    private var afterCarriageReturn = false
    private var isEventComplete = false

    /** Number of bytes buffered for an event that is not complete, without the blank lines before it. */
    val bufferedBytes: Int get() = pending.size() - blankBytes

    /** Parses the next bytes of the stream and returns the events that they complete. */
    fun feed(bytes: ByteArray): List<ServerSentEvent> {
        val events = mutableListOf<ServerSentEvent>()
        for (byte in bytes) {
            if (isEventComplete && !(afterCarriageReturn && byte == LINE_FEED)) emitEvent(events)
            appendByte(byte)
            // A blank line that ends in a carriage return is complete, but a following line feed still belongs to it.
            if (isEventComplete && byte == LINE_FEED) emitEvent(events)
        }
        if (isEventComplete) emitEvent(events)
        return events
    }

    /** Returns the blank lines after the last event. To be called at the end of a stream that is complete. */
    fun takeBlankLines(): ByteArray {
        check(bufferedBytes == 0) { "an event is not complete" }
        return pending.toByteArray().also {
            pending.reset()
            blankBytes = 0
        }
    }

    private fun appendByte(byte: Byte) {
        val endsCrLf = byte == LINE_FEED && afterCarriageReturn
        afterCarriageReturn = byte == CARRIAGE_RETURN
        pending.write(byte.toInt())
        when {
            isInByteOrderMark(byte) -> Unit
            byte != LINE_FEED && byte != CARRIAGE_RETURN -> lineBytes++
            bufferedBytes == 1 -> blankBytes++
            !endsCrLf -> {
                isEventComplete = lineBytes == 0
                lineBytes = 0
            }
        }
        // Blank lines without end are limited as well.
        if (maxOf(bufferedBytes, blankBytes) > maxEventBytes) throw EventTooLargeException(maxEventBytes)
    }

    // A byte order mark at the start of the stream is not part of its first line.
    private fun isInByteOrderMark(byte: Byte): Boolean {
        isAtStart = isAtStart &&
            markBytes < BYTE_ORDER_MARK.size &&
            byte == BYTE_ORDER_MARK[markBytes]
        if (isAtStart) markBytes++
        return isAtStart
    }

    private fun emitEvent(events: MutableList<ServerSentEvent>) {
        events += ServerSentEvent(pending.toByteArray(), if (markBytes == BYTE_ORDER_MARK.size) markBytes else 0)
        markBytes = 0
        pending.reset()
        blankBytes = 0
        isEventComplete = false
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        val BYTE_ORDER_MARK = "\uFEFF".toByteArray()
    }
}
