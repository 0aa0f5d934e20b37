/** Keeps the table of backend servers up to date from the platform's list and from the servers' load reports. */
package org.hickorytiller.router

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.hickorytiller.balancing.BackendServerTable
import org.hickorytiller.balancing.LoadReport
import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.ModelId
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.parseTree
import org.hickorytiller.http.HttpClient
import org.hickorytiller.http.RequestHead
import org.hickorytiller.platform.ListBackendServers
import java.net.InetSocketAddress

/** Reads the load report of the server at an address; null if none is available. */
internal typealias ReadLoad = suspend (InetSocketAddress) -> LoadReport?

/** Returns whether the servers of a pool report their load. */
internal typealias ReportsLoad = (PoolId) -> Boolean

/**
 * Reads the list every [LIST_INTERVAL_MS], so a leaving server gets no new requests after at most 2 s. While the list
 * cannot be read, the last one stays in effect. Does not return.
 */
internal suspend fun followBackendServers(
    list: ListBackendServers,
    table: BackendServerTable,
    onChange: () -> Unit,
): Nothing {
    while (true) {
        list().onRight {
            table.replace(it)
            onChange()
        }
        delay(LIST_INTERVAL_MS)
    }
}

/** Runs one task for each server that reports its load, as long as the server is listed. Does not return. */
internal suspend fun followLoadReports(
    list: () -> List<BackendServer>,
    table: BackendServerTable,
    reportsLoad: ReportsLoad,
    read: ReadLoad,
): Nothing = coroutineScope {
    val tasks = HashMap<BackendServerId, Job>()
    while (true) {
        val reporting = list().filter { it.state == BackendServerState.RUNNING && reportsLoad(it.pool) }
        val ids = reporting.mapTo(HashSet()) { it.id }
        tasks.filterKeys { it !in ids }.values.forEach { it.cancel() }
        tasks.keys.retainAll(ids)
        reporting.forEach { server -> tasks.getOrPut(server.id) { followLoad(server, table, read) } }
        delay(LIST_INTERVAL_MS)
    }
    @Suppress("UNREACHABLE_CODE")
    error("unreachable")
}

private fun CoroutineScope.followLoad(server: BackendServer, table: BackendServerTable, read: ReadLoad): Job = launch {
    while (true) {
        read(server.address)?.let { table.report(server.id, it) }
        delay(LOAD_INTERVAL_MS)
    }
}

/** Reads load reports with [client]. A malformed report counts as none; the server's responses report its load too. */
internal fun loadReader(client: HttpClient): ReadLoad = { address ->
    val response = client.call(address, RequestHead("GET", "/load"), timeoutMs = LOAD_TIMEOUT_MS).getOrNull()
    response?.let { parseLoadReport(it.body) }
}

/** Decodes a load report; null if it is malformed. */
internal fun parseLoadReport(body: ByteArray): LoadReport? {
    val root = parseTree(body)
    val inFlight = root?.path("inFlight")?.takeIf { it.isInt && it.intValue() >= 0 }?.intValue() ?: return null
    val slots = root.path("slots").asInt(inFlight)
    val models = root.path("models").takeIf { it.isArray }?.map { ModelId(it.asText()) }?.toSet()
    return LoadReport(
        ageMs = root.path("ageMs").asLong(0),
        running = minOf(inFlight, slots),
        waiting = maxOf(0, inFlight - slots),
        models = models,
    )
}

private const val LIST_INTERVAL_MS = 500L
private const val LOAD_INTERVAL_MS = 500L
private const val LOAD_TIMEOUT_MS = 1_000L
