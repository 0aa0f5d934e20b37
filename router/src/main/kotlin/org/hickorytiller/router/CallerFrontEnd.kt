/**
 * The HTTP interface for callers. One coroutine serves one connection: it receives a request, resolves and runs it, and
 * then receives the next one.
 */
package org.hickorytiller.router

import arrow.core.getOrElse
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.http.Headers
import org.hickorytiller.http.HttpFault
import org.hickorytiller.http.HttpStatus
import org.hickorytiller.http.RequestHead
import org.hickorytiller.http.ServerConnection
import org.hickorytiller.http.respondJson
import org.hickorytiller.keys.KeyRegistry
import org.hickorytiller.membership.AddressResponse
import org.hickorytiller.timeline.RouterMetrics

/** Returns the router addresses for a caller in the given failure domain. */
internal typealias FindAddresses = (FailureDomain?) -> AddressResponse

/** Drain, metrics and address lookup of the process, as the front end uses them. */
internal class CallerOperations(val drain: DrainTask, val metrics: RouterMetrics, val findAddresses: FindAddresses)

/** Serves callers. Confined to the event loop. */
internal class CallerFrontEnd(
    private val currentDocument: CurrentDocument,
    private val keys: KeyRegistry,
    private val resolver: RequestResolver,
    private val runner: RequestRunner,
    private val operations: CallerOperations,
) {
    /** Serves one connection until it is closed. */
    suspend fun serve(connection: ServerConnection) {
        while (true) {
            val head = connection.receive().getOrElse { return respondToFault(connection, it) }
            val isReusable = operations.drain.track(connection) { handle(connection, head) }
            if (!isReusable || connection.closeAfterResponse) return
        }
    }

    private suspend fun respondToFault(connection: ServerConnection, fault: HttpFault) {
        // It is not an error if a connection is closed or times out between two requests.
        if (!connection.isReceiving && (fault == HttpFault.CLOSED || fault == HttpFault.TIMEOUT)) return
        val error = CallerError.of(fault) ?: return
        connection.closeAfterResponse = true
        connection.sendError(error)
    }

    private suspend fun handle(connection: ServerConnection, head: RequestHead): Boolean = when (head.path) {
        "/health" -> respondToRead(connection, head) { connection.respondJson(HttpStatus.OK, mapOf("status" to "ok")) }
        "/ready" -> respondToRead(connection, head) { sendReadiness(connection) }
        "/v1/address" -> respondToRead(connection, head) {
            val domain = head.query("failureDomain")?.let(::FailureDomain)
            connection.respondJson(HttpStatus.OK, operations.findAddresses(domain))
        }
        "/metrics" -> respondToRead(connection, head) {
            connection.respond(HttpStatus.OK, METRICS_HEADERS, operations.metrics.text())
        }
        "/v1/models" -> respondToRead(connection, head) { sendModels(connection) }
        CHAT_PATH -> requireMethod(connection, head, CHAT_METHODS) { serveRequest(connection, head) }
        else -> requireMethod(connection, head, SERVICE_METHODS) { serveRequest(connection, head) }
    }

    private suspend fun respondToRead(connection: ServerConnection, head: RequestHead, respond: suspend () -> Boolean) =
        requireMethod(connection, head, READ_METHODS) {
            val fault = connection.receiveBody(maxBytes = 0).leftOrNull()
            if (fault == null) {
                respond()
            } else {
                respondToFault(connection, fault)
                false
            }
        }

    private suspend fun requireMethod(
        connection: ServerConnection,
        head: RequestHead,
        methods: List<String>,
        respond: suspend () -> Boolean,
    ): Boolean {
        if (head.method in methods) return respond()
        val allow = Headers.of("allow" to (methods + "OPTIONS").joinToString(", "))
        if (head.method == "OPTIONS") return connection.respond(HttpStatus.NO_CONTENT, allow, ByteArray(0))
        val error =
            CallerError(
                HttpStatus.METHOD_NOT_ALLOWED,
                "method_not_allowed",
                "${head.path} does not allow ${head.method}",
            )
        return connection.sendError(error, allow)
    }

    private suspend fun sendReadiness(connection: ServerConnection): Boolean = if (currentDocument() != null) {
        connection.respondJson(HttpStatus.OK, mapOf("status" to "ready"))
    } else {
        connection.sendError(CallerError.notReady)
    }

    private suspend fun sendModels(connection: ServerConnection): Boolean {
        val document = currentDocument() ?: return connection.sendError(CallerError.notReady)
        val models =
            document.pools.values.mapNotNull { it.model }.distinct().map {
                mapOf("id" to it.value, "object" to "model", "owned_by" to "hickorytiller")
            }
        return connection.respondJson(HttpStatus.OK, mapOf("object" to "list", "data" to models))
    }

    private suspend fun serveRequest(connection: ServerConnection, head: RequestHead): Boolean {
        resolver.validateHead(head)?.let { return connection.sendError(it) }
        val body = connection.receiveBody().getOrElse {
            respondToFault(connection, it)
            return false
        }
        val request = resolver.resolve(head, body).getOrElse { return connection.sendError(it) }
        if (!operations.drain.accepts(request.dispatchRequest.deadline)) {
            connection.closeAfterResponse = true
            return connection.sendError(CallerError.stopping)
        }
        val response = CallerResponse(connection)
        val isReusable = runUntilCancelled(connection, request, response)
        val requestClass = request.requestClass.id.value
        operations.metrics.requestEnded(requestClass, response.outcome)
        response.firstEventAt?.let { operations.metrics.firstToken(requestClass, it - request.arrivedAt) }
        return isReusable
    }

    /** Runs [request]; cancels it when its caller disconnects or its key is withdrawn. */
    private suspend fun runUntilCancelled(
        connection: ServerConnection,
        request: CallerRequest,
        response: CallerResponse,
    ): Boolean = coroutineScope {
        val work = async { runner.run(request, response) }
        val watch = launch {
            connection.closed.await()
            work.cancel(CallerDisconnectedException())
        }
        val registration =
            request.caller.keyHash?.let { hash -> keys.register(hash) { work.cancel(KeyWithdrawnException()) } }
        try {
            work.await()
        } catch (_: KeyWithdrawnException) {
            response.sendError(CallerError.keyWithdrawn(response.verdict))
        } catch (_: CallerDisconnectedException) {
            // The caller may have closed only its sending side, and then still read the response.
            connection.closeAfterResponse = true
            response.sendError(CallerError.callerDisconnected(response.verdict))
            false
        } finally {
            watch.cancel()
            registration?.close()
        }
    }

    private companion object {
        val METRICS_HEADERS = Headers.of("content-type" to RouterMetrics.CONTENT_TYPE)
        val READ_METHODS = listOf("GET", "HEAD")
        val CHAT_METHODS = listOf("POST")
        val SERVICE_METHODS = listOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
    }
}

/** Cancels the task that runs a request whose key was withdrawn. */
internal class KeyWithdrawnException : CancellationException("the key was withdrawn")

/** Cancels the task that runs a request whose caller disconnected. */
internal class CallerDisconnectedException : CancellationException("the caller disconnected")
