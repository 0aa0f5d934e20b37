/** The HTTP interface of a controller for operators. */
package org.hickorytiller.controller

import org.hickorytiller.core.Verdict
import org.hickorytiller.http.HttpStatus
import org.hickorytiller.http.RequestHead
import org.hickorytiller.http.ServerConnection
import org.hickorytiller.http.respondError
import org.hickorytiller.http.respondJson

/** Returns the state of the process as a map that can be encoded as JSON. */
internal typealias ReadStatus = () -> Map<String, Any?>

/** Serves `/health` and `/status`. */
internal class StatusEndpoint(private val status: ReadStatus) {
    /** Serves one connection until it is closed. */
    suspend fun serve(connection: ServerConnection) {
        while (true) {
            val head = connection.receive().getOrNull() ?: return
            connection.receiveBody(MAX_BODY_BYTES).getOrNull() ?: return
            if (!respond(connection, head) || connection.closeAfterResponse) return
        }
    }

    private suspend fun respond(connection: ServerConnection, head: RequestHead): Boolean = when {
        head.method != "GET" -> connection.fail(HttpStatus.METHOD_NOT_ALLOWED, "method_not_allowed", "use GET")
        head.path == "/health" -> connection.respondJson(HttpStatus.OK, mapOf("status" to "ok"))
        head.path == "/status" -> connection.respondJson(HttpStatus.OK, status())
        else -> connection.fail(HttpStatus.NOT_FOUND, "not_found", "no such admin resource")
    }

    private suspend fun ServerConnection.fail(status: Int, code: String, message: String) =
        respondError(status, code, message, Verdict.NOT_RUN)

    private companion object {
        const val MAX_BODY_BYTES = 1_024
    }
}
