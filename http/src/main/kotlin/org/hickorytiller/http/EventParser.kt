/**
 * Splits a stream of server-sent events into whole events. Bytes of an incomplete event are buffered, so a truncated
 * stream never passes on a part of an event.
 */
package org.hickorytiller.http

import java.io.ByteArrayOutputStream

/** One event: the bytes as received, including the blank line that ends it. */
class ServerSentEvent(val bytes: ByteArray) {
    private val lines: List<String> get() = String(bytes).split("\r\n", "\n", "\r")

    /** The values of the `data` lines, joined by line feeds. */
    val data: String
        get() = lines
            .filter { it == "data" || it.startsWith("data:") }
            .joinToString("\n") { it.removePrefix("data").removePrefix(":").removePrefix(" ") }

    /** The id of the event; null if it has none. */
    val id: String?
        get() = lines.lastOrNull { it.startsWith("id:") }?.removePrefix("id:")?.removePrefix(" ")
}

/** The peer sent more than the limit without ending an event. */
class EventTooLargeException(maxBytes: Int) : Exception("server-sent event larger than $maxBytes bytes")

/** Parses one stream. A line ends with a line feed, a carriage return, or a carriage return and line feed. */
class EventParser(private val maxEventBytes: Int = 1_048_576) {
    private val pending = ByteArrayOutputStream()
    private var lineBytes = 0
    private var afterCarriageReturn = false
    private var isEventComplete = false

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

    /** Number of bytes buffered for an event that is not complete. */
    val bufferedBytes: Int get() = pending.size()

    private fun appendByte(byte: Byte) {
        val endsCrLf = byte == LINE_FEED && afterCarriageReturn
        afterCarriageReturn = byte == CARRIAGE_RETURN
        // The line feed of a CR LF pair whose event was already emitted does not start another line.
        if (endsCrLf && pending.size() == 0) return
        pending.write(byte.toInt())
        if (pending.size() > maxEventBytes) throw EventTooLargeException(maxEventBytes)
        when {
            endsCrLf -> Unit
            byte == LINE_FEED || byte == CARRIAGE_RETURN -> {
                isEventComplete = lineBytes == 0
                lineBytes = 0
            }
            else -> lineBytes++
        }
    }

    private fun emitEvent(events: MutableList<ServerSentEvent>) {
        val bytes = pending.toByteArray()
        pending.reset()
        isEventComplete = false
        if (bytes.any { it != LINE_FEED && it != CARRIAGE_RETURN }) events += ServerSentEvent(bytes)
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
