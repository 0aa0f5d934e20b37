/**
 * The HTTP interface towards operators, on an address of its own. Operators present the token whose hash is in the
 * settings; without one in the settings only connections from the same host are served.
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

/** Answers one request of an operator that has been authenticated. Returns false if the connection is gone. */
internal typealias AnswerOperator = suspend (ServerConnection, RequestHead, ByteArray) -> Boolean

/** A resource of the admin interface. */
internal class AdminResource(val method: String, val answer: AnswerOperator)

/**
 * @property announceWithdrawal passes a withdrawal on to peers
 * @property resources further resources by their path
 */
internal class AdminEndpoint(
    private val settings: RouterSettings,
    private val configuration: ConfigurationTask,
    private val keys: KeyRegistry,
    private val announceWithdrawal: (KeyHash) -> Unit = {},
    private val resources: Map<String, AdminResource> = emptyMap(),
) {
    private val all =
        resources +
            mapOf(
                "/status" to
                    AdminResource("GET") { connection, _, _ -> connection.respondJson(HttpStatus.OK, status()) },
                "/configuration" to AdminResource("GET") { connection, _, _ -> answerConfiguration(connection) },
                "/keys/withdraw" to AdminResource("POST") { connection, _, body -> withdraw(connection, body) },
                "/keys/withdrawals" to AdminResource("GET") { connection, _, _ -> answerWithdrawals(connection) },
            )

    /** Serves one connection until it is closed. */
    suspend fun serve(connection: ServerConnection) {
        while (true) {
            val head = connection.receive().getOrNull() ?: return
            val body = connection.receiveBody(MAX_BODY_BYTES).fold({ return refuse(connection, it) }, { it })
            if (!answer(connection, head, body) || connection.closeAfterResponse) return
        }
    }

    private suspend fun refuse(connection: ServerConnection, fault: HttpFault) {
        connection.closeAfterResponse = true
        when (fault) {
            HttpFault.BODY_TOO_LARGE ->
                connection.fail(HttpStatus.CONTENT_TOO_LARGE, "body_too_large", "the limit is $MAX_BODY_BYTES bytes")
            HttpFault.TIMEOUT ->
                connection.fail(HttpStatus.REQUEST_TIMEOUT, "request_timeout", "the body did not arrive in time")
            HttpFault.MALFORMED -> connection.fail(HttpStatus.BAD_REQUEST, "malformed", "the request is malformed")
            else -> Unit
        }
    }

    private suspend fun answer(connection: ServerConnection, head: RequestHead, body: ByteArray): Boolean {
        if (!isOperator(connection, head)) {
            return connection.fail(HttpStatus.UNAUTHORIZED, "not_operator", "the operator token is missing or wrong")
        }
        val resource = all[head.path]
        return when {
            resource == null -> connection.fail(HttpStatus.NOT_FOUND, "not_found", "no admin resource ${head.path}")
            resource.method != head.method ->
                connection.respondError(
                    HttpStatus.METHOD_NOT_ALLOWED,
                    "method_not_allowed",
                    "${head.path} takes ${resource.method}",
                    Verdict.NOT_RUN,
                    Headers.of("allow" to resource.method),
                )
            else -> resource.answer(connection, head, body)
        }
    }

    private fun isOperator(connection: ServerConnection, head: RequestHead): Boolean {
        val expected = settings.operatorTokenHash
        if (expected == null) return connection.remoteAddress?.address?.isLoopbackAddress ?: false
        val token = head.headers["authorization"]?.removePrefix("Bearer ") ?: return false
        // The comparison takes the same time wherever the first difference is.
        return MessageDigest.isEqual(hashKey(token).value.toByteArray(), expected.value.toByteArray())
    }

    private suspend fun withdraw(connection: ServerConnection, body: ByteArray): Boolean {
        val hash =
            parseKeyHash(String(body).trim())
                ?: return connection.fail(
                    HttpStatus.BAD_REQUEST,
                    "invalid_key_hash",
                    "the body has to be the SHA-256 hash of the key, 64 lower-case hexadecimal digits",
                )
        val isNew = keys.withdraw(hash)
        announceWithdrawal(hash)
        val answer =
            mapOf("withdrawn" to hash.value, "isNew" to isNew, "onLog" to (hash in configuration.state.withdrawn))
        return connection.respondJson(HttpStatus.OK, answer)
    }

    private suspend fun answerWithdrawals(connection: ServerConnection): Boolean {
        val hashes = configuration.withdrawalsNotOnLog.map { it.value }
        return connection.respondJson(HttpStatus.OK, mapOf("notOnLog" to hashes))
    }

    private suspend fun answerConfiguration(connection: ServerConnection): Boolean {
        if (!configuration.ready) {
            return connection.fail(HttpStatus.SERVICE_UNAVAILABLE, "not_ready", "no configuration is known yet")
        }
        val head = Headers.of("content-type" to "application/json")
        return connection.respond(HttpStatus.OK, head, encodeState(configuration.state))
    }

    private fun status() = mapOf(
        "host" to settings.host.value,
        "ready" to configuration.ready,
        "configurationOffset" to configuration.state.offset.value,
        "sections" to configuration.state.sectionOffsets.entries.associate { (section, at) -> section.key to at.value },
        "logReachable" to configuration.logReachable,
        "stoppedAt" to configuration.unsupportedRecord?.offset?.value,
        "skippedRecords" to configuration.skippedRecords,
        "withdrawalsNotOnLog" to configuration.withdrawalsNotOnLog.size,
    )

    private suspend fun ServerConnection.fail(status: Int, code: String, message: String): Boolean =
        respondError(status, code, message, Verdict.NOT_RUN)

    private companion object {
        /** A key hash takes 64 bytes; no request of an operator carries much more. */
        const val MAX_BODY_BYTES = 4_096
    }
}
