/**
 * A caller's connection, on a blocking socket. It tells an orderly close from a reset, since a process that ends with
 * unread bytes in its socket resets the connection.
 */
package org.hickorytiller.soak

import org.hickorytiller.core.Clock
import org.hickorytiller.core.TimeMs
import java.io.BufferedInputStream
import java.io.EOFException
import java.io.IOException
import java.io.InputStream
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketTimeoutException

/**
 * A response as far as it was received.
 *
 * @property detail why it is incomplete
 */
internal class ReceivedResponse {
    var status: Int? = null
    var receivedBytes = 0
    var closesConnection = false
    var end = RequestEnd.COMPLETE
    var detail: String? = null
    val body = StringBuilder()
    val lastEvent: Int get() = EVENT_ID.findAll(body).lastOrNull()?.groupValues?.get(1)?.toInt() ?: 0

    private companion object {
        val EVENT_ID = Regex("(?m)^id: (\\d+)\n")
    }
}

internal class CallerConnection(address: InetSocketAddress, private val clock: Clock) : AutoCloseable {
    private val socket = Socket()
    private val input: InputStream

    init {
        try {
            socket.connect(address, CONNECT_TIMEOUT_MS)
        } catch (e: IOException) {
            socket.close()
            throw e
        }
        socket.tcpNoDelay = true
        input = BufferedInputStream(socket.getInputStream())
    }

    fun write(text: String) = socket.getOutputStream().write(text.toByteArray())

    /** Receives a response; gives up at [limit]. */
    fun receive(limit: TimeMs): ReceivedResponse {
        val response = ReceivedResponse()
        try {
            receiveInto(response, limit)
        } catch (e: SocketTimeoutException) {
            response.end = RequestEnd.GAVE_UP
            response.detail = e.message
        } catch (e: EOFException) {
            response.end = RequestEnd.CLOSED
            response.detail = e.message
        } catch (e: IOException) {
            response.end = RequestEnd.RESET
            response.detail = e.message
        }
        return response
    }

    override fun close() = socket.close()

    private fun receiveInto(response: ReceivedResponse, limit: TimeMs) {
        val status = readLine(response, limit)
        var lengthBytes = 0
        var isChunked = false
        while (true) {
            val line = readLine(response, limit).ifEmpty { break }
            val name = line.substringBefore(':').lowercase()
            val value = line.substringAfter(':').trim()
            when (name) {
                "content-length" -> lengthBytes = value.toInt()
                "transfer-encoding" -> isChunked = true
                "connection" -> response.closesConnection = value.equals("close", ignoreCase = true)
            }
        }
        response.status = status.split(' ')[1].toInt()
        if (!isChunked) return readBytes(response, lengthBytes, limit)
        while (true) {
            val chunkBytes = readLine(response, limit).toInt(HEXADECIMAL)
            readBytes(response, chunkBytes, limit)
            readLine(response, limit)
            if (chunkBytes == 0) return
        }
    }

    private fun readLine(response: ReceivedResponse, limit: TimeMs): String {
        val line = StringBuilder()
        while (true) {
            val char = read(response, limit)
            if (char == '\n') return line.toString().trimEnd('\r')
            line.append(char)
        }
    }

    private fun readBytes(response: ReceivedResponse, count: Int, limit: TimeMs) {
        repeat(count) { response.body.append(read(response, limit)) }
    }

    private fun read(response: ReceivedResponse, limit: TimeMs): Char {
        val leftMs = limit - clock()
        if (leftMs <= 0) throw SocketTimeoutException("no complete response in time")
        socket.soTimeout = leftMs.toInt()
        val byte = input.read()
        if (byte < 0) throw EOFException("closed after ${response.receivedBytes} bytes")
        response.receivedBytes++
        return byte.toChar()
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 1_000
        const val HEXADECIMAL = 16
    }
}
