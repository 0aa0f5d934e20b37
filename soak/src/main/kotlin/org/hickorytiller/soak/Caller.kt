/**
 * A caller with one open connection, which it uses until the host closes it. Then it asks the directory for another
 * host. It never leaves a host on its own account.
 */
package org.hickorytiller.soak

import org.hickorytiller.core.Clock
import org.hickorytiller.core.TimeMs
import org.hickorytiller.core.jsonTreeMapper
import org.hickorytiller.core.parseAddress
import org.hickorytiller.relay.RequestId
import org.hickorytiller.standins.callerFields
import org.hickorytiller.standins.directoryTarget
import java.io.IOException
import java.net.InetSocketAddress
import java.util.Random

/** Receives the plan of each request before it is sent, and its record after its end. */
internal class RequestListeners(val onPlanned: (RequestId, RequestPlan) -> Unit, val onEnded: (RequestRecord) -> Unit)

/** The caller [number]. Confined to its thread. */
internal class Caller(
    private val number: Int,
    seed: Long,
    private val hosts: List<HostAddresses>,
    private val clock: Clock,
    private val listeners: RequestListeners,
    private val isOver: () -> Boolean,
) {
    private val random = Random(seed * SEED_FACTOR + number)
    private var connection: CallerConnection? = null
    private var host = 0
    private var sequence = 0
    private var listed = emptyList<InetSocketAddress>()
    private var listedUntil = TimeMs(Long.MIN_VALUE)

    /** Sends requests until the run is over. */
    fun run() {
        Thread.sleep(random.nextInt(MAX_PAUSE_MS).toLong())
        while (!isOver()) {
            val open = connection ?: connect().also { connection = it }
            if (open == null) {
                Thread.sleep(RECONNECT_PAUSE_MS)
                continue
            }
            if (!exchange(open, planRequest(random))) {
                open.close()
                connection = null
            } else {
                Thread.sleep(pauseMs())
            }
        }
        connection?.close()
    }

    // Most pauses are short; some are long enough for a request to come late in the stop of its host.
    private fun pauseMs(): Long {
        val isLong = random.nextInt(LONG_PAUSE_ONE_IN) == 0
        return random.nextInt(if (isLong) MAX_LONG_PAUSE_MS else MAX_PAUSE_MS).toLong()
    }

    private fun connect(): CallerConnection? {
        if (listed.isEmpty() || clock() >= listedUntil) {
            listed = hosts.shuffled(random).firstNotNullOfOrNull(::resolve) ?: return null
            listedUntil = clock() + LISTED_MS
        }
        val address = listed[random.nextInt(listed.size)]
        return try {
            CallerConnection(address, clock).also { host = hosts.indexOfFirst { it.callers == address } }
        } catch (_: IOException) {
            // The host has stopped listening; callers leave out addresses that have failed them.
            listed = listed - address
            null
        }
    }

    private fun resolve(addresses: HostAddresses): List<InetSocketAddress>? = try {
        CallerConnection(addresses.directory, clock).use { directory ->
            directory.write("GET ${directoryTarget(ROUTE_HOST)} HTTP/1.1\r\nHost: directory.example\r\n\r\n")
            val response = directory.receive(clock() + DIRECTORY_TIMEOUT_MS)
            if (response.status != OK || response.end != RequestEnd.COMPLETE) return null
            val named = jsonTreeMapper.readTree(response.body.toString()).path("addrs")
            named.mapNotNull { parseAddress(it.asText()) }.ifEmpty { null }
        }
    } catch (_: IOException) {
        // The next host is asked.
        null
    }

    /** Sends a request and receives the response; returns whether the connection can be used again. */
    private fun exchange(open: CallerConnection, plan: RequestPlan): Boolean {
        val id = RequestId("c$number-${sequence++}")
        listeners.onPlanned(id, plan)
        val firstByteAt = clock()
        val lastByteAt = send(open, id, plan)
        val response = open.receive(firstByteAt + plan.deadlineMs + GIVE_UP_AFTER_MS)
        val record =
            RequestRecord(
                id, plan, host, firstByteAt, lastByteAt, endedAt = clock(), response.end, response.status,
                response.receivedBytes, response.lastEvent,
            )
        listeners.onEnded(record)
        return response.end == RequestEnd.COMPLETE && !response.closesConnection && lastByteAt != null
    }

    /** Returns when the last byte was written, or null if writing failed. */
    private fun send(open: CallerConnection, id: RequestId, plan: RequestPlan): TimeMs? = try {
        val parts = listOf("a".repeat(BODY_PART_BYTES), "b".repeat(BODY_PART_BYTES))
        val wire = if (plan.isChunked) parts.map { "${it.length.toString(HEXADECIMAL)}\r\n$it\r\n" } else parts
        val isSlow = plan.bodyPauseMs > 0
        val end = if (plan.isChunked) "0\r\n\r\n" else ""
        val first = head(id, plan) + wire[0]
        if (isSlow) {
            open.write(first)
            Thread.sleep(plan.bodyPauseMs)
            open.write(wire[1] + end)
        } else {
            open.write(first + wire[1] + end)
        }
        clock()
    } catch (_: IOException) {
        // The record without a last byte shows it.
        null
    }

    private fun head(id: RequestId, plan: RequestPlan): String = buildString {
        append("POST /${plan.kind.route}/$id HTTP/1.1\r\nHost: $ROUTE_HOST\r\n")
        val partId = if (plan.kind.isStream) partId(id) else null
        callerFields(id.value, CALLER_KEY, plan.deadlineMs, partId).fields.forEach {
            append("${it.name}: ${it.value}\r\n")
        }
        append(if (plan.isChunked) "Transfer-Encoding: chunked" else "Content-Length: ${2 * BODY_PART_BYTES}")
        append("\r\n\r\n")
    }

    private fun partId(id: RequestId) = id.value.hashCode().toUInt().toString(HEXADECIMAL)

    private companion object {
        const val SEED_FACTOR = 1_000L
        const val MAX_PAUSE_MS = 400
        const val MAX_LONG_PAUSE_MS = 7_000
        const val LONG_PAUSE_ONE_IN = 4
        const val RECONNECT_PAUSE_MS = 50L
        const val LISTED_MS = 2_000L
        const val DIRECTORY_TIMEOUT_MS = 1_000L
        const val GIVE_UP_AFTER_MS = 1_000L
        const val BODY_PART_BYTES = 256
        const val HEXADECIMAL = 16
        const val OK = 200
    }
}

internal const val ROUTE_HOST = "h.example"
internal const val CALLER_KEY = "key-1"
