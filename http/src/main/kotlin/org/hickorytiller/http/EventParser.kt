/**
 * Cuts a stream of server-sent events into whole events. Bytes of an incomplete event are held back, so a cut never
 * passes on half an event.
 */
package org.hickorytiller.http

import java.io.ByteArrayOutputStream

/** One event: the bytes as received with the blank line that ends it. */
class ServerSentEvent(val bytes: ByteArray) {
    private val lines: List<String> get() = String(bytes).split("\r\n", "\n", "\r")

    /** The `data` lines joined by line feeds. */
    val data: String
        get() = lines
            .filter { it == "data" || it.startsWith("data:") }
            .joinToString("\n") { it.removePrefix("data").removePrefix(":").removePrefix(" ") }

    /** The id of the event; null if it has none. */
    val id: String?
        get() = lines.lastOrNull { it.startsWith("id:") }?.removePrefix("id:")?.removePrefix(" ")
}

/** The peer sent more than the limit without ending an event. */
class EventTooLargeException(maxBytes: Int) : Exception("an event is larger than $maxBytes bytes")

/** Parses one stream. Accepts line feed, carriage return, and both together as the end of a line. */
class EventParser(private val maxEventBytes: Int = 1_048_576) {
    private val pending = ByteArrayOutputStream()
    private var lineBytes = 0
    private var afterCarriageReturn = false
    private var complete = false

    /** Takes the next bytes of the stream and returns the events that they complete. */
    fun feed(bytes: ByteArray): List<ServerSentEvent> {
        val events = mutableListOf<ServerSentEvent>()
        for (byte in bytes) {
            if (complete && !(afterCarriageReturn && byte == LINE_FEED)) finish(events)
            accept(byte)
            // A blank line that ends in a carriage return is whole, but a line feed may still belong to it.
            if (complete && byte == LINE_FEED) finish(events)
        }
        if (complete) finish(events)
        return events
    }

    /** Number of bytes held back for an event that is not complete. */
    val bufferedBytes: Int get() = pending.size()

    private fun accept(byte: Byte) {
        val endsSamePair = byte == LINE_FEED && afterCarriageReturn
        afterCarriageReturn = byte == CARRIAGE_RETURN
        // The line feed of a pair whose event was already passed on belongs to no further line.
        if (endsSamePair && pending.size() == 0) return
        pending.write(byte.toInt())
        if (pending.size() > maxEventBytes) throw EventTooLargeException(maxEventBytes)
        when {
            endsSamePair -> Unit
            byte == LINE_FEED || byte == CARRIAGE_RETURN -> {
                complete = lineBytes == 0
                lineBytes = 0
            }
            else -> lineBytes++
        }
    }

    private fun finish(events: MutableList<ServerSentEvent>) {
        val bytes = pending.toByteArray()
        pending.reset()
        complete = false
        if (bytes.any { it != LINE_FEED && it != CARRIAGE_RETURN }) events += ServerSentEvent(bytes)
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
