/** Keeps the table of backend servers up to date from the platform's list. */
package org.hickorytiller.router

import kotlinx.coroutines.delay
import org.hickorytiller.balancing.BackendServerTable
import org.hickorytiller.platform.ListBackendServers

/**
 * Reads the list every [LIST_INTERVAL_MS], so a leaving server gets no new work within 2 s. While the list cannot be
 * read the last one stays in force. Does not return.
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

private const val LIST_INTERVAL_MS = 500L
