/** The HTTP interface towards operators, on an address of its own. */
package org.hickorytiller.router

import org.hickorytiller.core.KeyHash
import org.hickorytiller.core.Verdict
import org.hickorytiller.http.HttpStatus
import org.hickorytiller.http.RequestHead
import org.hickorytiller.http.ServerConnection
import org.hickorytiller.http.respondError
import org.hickorytiller.http.respondJson
import org.hickorytiller.keys.KeyRegistry

internal class AdminEndpoint(
    private val settings: RouterSettings,
    private val configuration: ConfigurationTask,
    private val keys: KeyRegistry,
    private val operations: OperationsEndpoint,
    private val onWithdrawn: (KeyHash) -> Unit,
) {
    /** Serves one connection until it is closed. */
    suspend fun serve(connection: ServerConnection) {
        while (true) {
            val head = connection.receive().getOrNull() ?: return
            val body = connection.receiveBody().getOrNull() ?: return
            if (!answer(connection, head, body) || connection.closeAfterResponse) return
        }
    }

    private suspend fun answer(connection: ServerConnection, head: RequestHead, body: ByteArray): Boolean =
        when (head.path) {
            "/status" -> connection.respondJson(HttpStatus.OK, status())
            "/keys/withdraw" -> withdraw(connection, String(body).trim())
            else -> operations.answer(connection, head) ?: connection.respondError(
                HttpStatus.NOT_FOUND,
                "not_found",
                "no such admin resource",
                Verdict.NOT_RUN,
            )
        }

    private suspend fun withdraw(connection: ServerConnection, hash: String): Boolean {
        if (keys.withdraw(KeyHash(hash))) onWithdrawn(KeyHash(hash))
        return connection.respondJson(HttpStatus.OK, mapOf("withdrawn" to hash))
    }

    private fun status() = mapOf(
        "host" to settings.host.value,
        "ready" to configuration.ready,
        "configurationOffset" to configuration.state.offset.value,
    )
}
