/**
 * Sends streamed requests at a fixed rate, each through the router and directly to an engine, so that both paths run
 * under the same conditions. Arrivals are open-loop: a slow response does not delay the next request. Times are
 * measured from the planned arrival, or from the start of sending if that is later.
 */
package org.hickorytiller.loadtest

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import org.HdrHistogram.Histogram
import org.hickorytiller.http.Headers
import org.hickorytiller.http.HttpClient
import org.hickorytiller.http.RequestHead
import java.net.InetSocketAddress
import java.util.Random
import kotlin.math.ln

/** The path of requests through the router or directly to an engine, with its measurements. */
internal class RequestPath(val name: String, val address: InetSocketAddress, val headers: Headers) {
    val firstTokenUs = Histogram(MAX_US, DIGITS)
    val totalUs = Histogram(MAX_US, DIGITS)
    var completed = 0
    var failed = 0

    /** Discards the measurements of the warm-up. */
    fun reset() {
        firstTokenUs.reset()
        totalUs.reset()
        completed = 0
        failed = 0
    }

    private companion object {
        const val MAX_US = 600_000_000L
        const val DIGITS = 3
    }
}

/** Sends requests over all [paths], on each at a mean of [ratePerSecond] with Poisson arrivals. */
internal class LoadRun(
    private val client: HttpClient,
    private val paths: List<RequestPath>,
    private val ratePerSecond: Int,
    private val body: ByteArray,
    seed: Long,
) {
    private val random = Random(seed)

    /** Sends requests for [seconds] and waits for all responses. */
    suspend fun run(scope: CoroutineScope, seconds: Int) {
        val startNs = System.nanoTime()
        val endNs = seconds * NANOS_PER_SECOND
        var arrivalNs = 0L
        val jobs = ArrayList<kotlinx.coroutines.Job>()
        while (arrivalNs < endNs) {
            val aheadMs = (arrivalNs - (System.nanoTime() - startNs)) / NANOS_PER_MS
            if (aheadMs > 0) delay(aheadMs)
            val plannedNs = startNs + arrivalNs
            paths.forEach { path -> jobs += scope.launch { send(path, plannedNs) } }
            arrivalNs += nextGapNs()
        }
        jobs.joinAll()
    }

    private fun nextGapNs(): Long = (-ln(1 - random.nextDouble()) / ratePerSecond * NANOS_PER_SECOND).toLong()

    private suspend fun send(path: RequestPath, plannedNs: Long) {
        val sentNs = maxOf(plannedNs, System.nanoTime())
        val connection = client.acquire(path.address).getOrNull()
        if (connection == null) {
            path.failed++
            return
        }
        try {
            connection.send(RequestHead("POST", "/v1/chat/completions", path.headers), body)
            if (connection.receiveHead(TIMEOUT_MS).getOrNull()?.status != OK || !receive(path, connection, sentNs)) {
                path.failed++
            }
        } finally {
            client.release(connection)
        }
    }

    private suspend fun receive(
        path: RequestPath,
        connection: org.hickorytiller.http.ClientConnection,
        sentNs: Long,
    ): Boolean {
        var first = true
        while (true) {
            val chunk = connection.receiveChunk(TIMEOUT_MS).fold({ return false }, { it }) ?: break
            if (first && chunk.isNotEmpty()) path.firstTokenUs.recordValue((System.nanoTime() - sentNs) / NANOS_PER_US)
            first = false
        }
        path.totalUs.recordValue((System.nanoTime() - sentNs) / NANOS_PER_US)
        path.completed++
        return true
    }

    private companion object {
        const val NANOS_PER_SECOND = 1_000_000_000L
        const val NANOS_PER_MS = 1_000_000L
        const val NANOS_PER_US = 1_000L
        const val TIMEOUT_MS = 30_000L
        const val OK = 200
    }
}
