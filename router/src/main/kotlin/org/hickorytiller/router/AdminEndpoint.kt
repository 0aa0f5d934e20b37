/**
 * The HTTP interface for operators, on a separate address. Operators authenticate with the token whose hash is in the
 * settings; if the settings have none, only requests over the loopback interface are served.
 */
package org.hickorytiller.router

import org.hickorytiller.configuration.encodeState
import org.hickorytiller.core.KeyHash
import org.hickorytiller.core.Verdict
import org.hickorytiller.http.Headers
import org.hickorytiller.http.HttpFault
import org.hickorytiller.http.HttpStatus
import org.hickorytiller.http.RequestHead
import org.hickorytiller.http.ServerConnection
import org.hickorytiller.http.respondError
import org.hickorytiller.http.respondJson
import org.hickorytiller.keys.KeyRegistry
import org.hickorytiller.keys.hashKey
import org.hickorytiller.keys.parseKeyHash
import java.security.MessageDigest

/** Responds to one request of an authenticated operator. Returns false if the connection is closed. */
internal typealias HandleAdminRequest = suspend (ServerConnection, RequestHead, ByteArray) -> Boolean

/** A resource of the admin interface. */
internal class AdminResource(val method: String, val handle: HandleAdminRequest)

/**
 * Serves the admin interface. Confined to the event loop.
 *
 * @property announceWithdrawal sends a withdrawal to the peers
 * @property resources additional resources by path
 */
internal class AdminEndpoint(
    private val settings: RouterSettings,
    private val configuration: ConfigurationTask,
    private val keys: KeyRegistry,
    private val announceWithdrawal: (KeyHash) -> Unit = {},
    private val resources: Map<String, AdminResource> = emptyMap(),
) {
    private val allResources =
        resources +
            mapOf(
                "/status" to
                    AdminResource("GET") { connection, _, _ -> connection.respondJson(HttpStatus.OK, status()) },
                "/configuration" to AdminResource("GET") { connection, _, _ -> sendConfiguration(connection) },
                "/keys/withdraw" to AdminResource("POST") { connection, _, body -> withdrawKey(connection, body) },
                "/keys/withdrawals" to AdminResource("GET") { connection, _, _ -> sendWithdrawals(connection) },
            )

    /** Serves one connection until it is closed. */
    suspend fun serve(connection: ServerConnection) {
        while (true) {
            val head = connection.receive().getOrNull() ?: return
            val body = connection.receiveBody(MAX_BODY_BYTES).fold({ return respondToFault(connection, it) }, { it })
            if (!handle(connection, head, body) || connection.closeAfterResponse) return
        }
    }

    private suspend fun respondToFault(connection: ServerConnection, fault: HttpFault) {
        connection.closeAfterResponse = true
        when (fault) {
            HttpFault.BODY_TOO_LARGE ->
                connection.sendError(
                    HttpStatus.CONTENT_TOO_LARGE,
                    "body_too_large",
                    "the limit is $MAX_BODY_BYTES bytes",
                )
            HttpFault.TIMEOUT ->
                connection.sendError(HttpStatus.REQUEST_TIMEOUT, "request_timeout", "the body did not arrive in time")
            HttpFault.MALFORMED -> connection.sendError(HttpStatus.BAD_REQUEST, "malformed", "the request is malformed")
            else -> Unit
        }
    }

    private suspend fun handle(connection: ServerConnection, head: RequestHead, body: ByteArray): Boolean {
        if (!isOperator(connection, head)) {
            return connection.sendError(
                HttpStatus.UNAUTHORIZED,
                "not_operator",
                "the operator token is missing or wrong",
            )
        }
        val resource = allResources[head.path]
        return when {
            resource == null ->
                connection.sendError(HttpStatus.NOT_FOUND, "not_found", "no admin resource ${head.path}")
            resource.method != head.method ->
                connection.respondError(
                    HttpStatus.METHOD_NOT_ALLOWED,
                    "method_not_allowed",
                    "${head.path} takes ${resource.method}",
                    Verdict.NOT_RUN,
                    Headers.of("allow" to resource.method),
                )
            else -> resource.handle(connection, head, body)
        }
    }

    private fun isOperator(connection: ServerConnection, head: RequestHead): Boolean {
        val expected = settings.operatorTokenHash
        if (expected == null) return connection.remoteAddress?.address?.isLoopbackAddress ?: false
        val token = head.headers["authorization"]?.removePrefix("Bearer ") ?: return false
        // Compares in constant time, so that the response time does not reveal how much of a guess is right.
        return MessageDigest.isEqual(hashKey(token).value.toByteArray(), expected.value.toByteArray())
    }

    private suspend fun withdrawKey(connection: ServerConnection, body: ByteArray): Boolean {
        val hash =
            parseKeyHash(String(body).trim())
                ?: return connection.sendError(
                    HttpStatus.BAD_REQUEST,
                    "invalid_key_hash",
                    "the body has to be the SHA-256 hash of the key, 64 lower-case hexadecimal digits",
                )
        val isNew = keys.withdraw(hash)
        announceWithdrawal(hash)
        val result =
            mapOf("withdrawn" to hash.value, "isNew" to isNew, "onLog" to (hash in configuration.state.withdrawn))
        return connection.respondJson(HttpStatus.OK, result)
    }

    private suspend fun sendWithdrawals(connection: ServerConnection): Boolean {
        val hashes = configuration.withdrawalsNotOnLog.map { it.value }
        return connection.respondJson(HttpStatus.OK, mapOf("notOnLog" to hashes))
    }

    private suspend fun sendConfiguration(connection: ServerConnection): Boolean {
        if (!configuration.isReady) {
            return connection.sendError(
                HttpStatus.SERVICE_UNAVAILABLE,
                "not_ready",
                "no configuration is known yet",
            )
        }
        val head = Headers.of("content-type" to "application/json")
        return connection.respond(HttpStatus.OK, head, encodeState(configuration.state))
    }

    private fun status() = mapOf(
        "host" to settings.host.value,
        "ready" to configuration.isReady,
        "configurationOffset" to configuration.state.offset.value,
        "sections" to configuration.state.sectionOffsets.entries.associate { (section, at) -> section.key to at.value },
        "logReachable" to configuration.isLogReachable,
        "stoppedAt" to configuration.unsupportedRecord?.offset?.value,
        "skippedRecords" to configuration.skippedRecords,
        "withdrawalsNotOnLog" to configuration.withdrawalsNotOnLog.size,
    )

    private suspend fun ServerConnection.sendError(status: Int, code: String, message: String): Boolean =
        respondError(status, code, message, Verdict.NOT_RUN)

    private companion object {
        /** Ample for the only request body, a key hash of 64 bytes. */
        const val MAX_BODY_BYTES = 4_096
    }
}
