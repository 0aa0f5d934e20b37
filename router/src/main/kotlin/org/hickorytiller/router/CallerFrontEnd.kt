/**
 * The HTTP interface towards callers. One coroutine serves one connection: receive a request, resolve it, run it, and
 * receive the next.
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
import org.hickorytiller.membership.AddressAnswer
import org.hickorytiller.timeline.RouterMetrics

/** Answers the address query for a caller in the given failure domain. */
internal typealias AnswerAddresses = (FailureDomain?) -> AddressAnswer

/** What the operation of the process needs from the front end. */
internal class CallerOperations(val drain: DrainTask, val metrics: RouterMetrics, val answerAddresses: AnswerAddresses)

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
            val head = connection.receive().getOrElse { return refuse(connection, it) }
            val open = operations.drain.track(connection) { answer(connection, head) }
            if (!open || connection.closeAfterResponse) return
        }
    }

    private suspend fun refuse(connection: ServerConnection, fault: HttpFault) {
        // A connection that ends or idles out between two requests is not an error.
        if (!connection.isReceiving && (fault == HttpFault.CLOSED || fault == HttpFault.TIMEOUT)) return
        val error = CallerError.of(fault) ?: return
        connection.closeAfterResponse = true
        connection.fail(error)
    }

    private suspend fun answer(connection: ServerConnection, head: RequestHead): Boolean = when (head.path) {
        "/health" -> read(connection, head) { connection.respondJson(HttpStatus.OK, mapOf("status" to "ok")) }
        "/ready" -> read(connection, head) { answerReady(connection) }
        "/v1/address" -> read(connection, head) {
            val domain = head.query("failureDomain")?.let(::FailureDomain)
            connection.respondJson(HttpStatus.OK, operations.answerAddresses(domain))
        }
        "/metrics" -> read(connection, head) {
            connection.respond(HttpStatus.OK, METRICS_HEADERS, operations.metrics.text())
        }
        "/v1/models" -> read(connection, head) { answerModels(connection) }
        CHAT_PATH -> withMethod(connection, head, CHAT_METHODS) { serveRequest(connection, head) }
        else -> withMethod(connection, head, SERVICE_METHODS) { serveRequest(connection, head) }
    }

    private suspend fun read(connection: ServerConnection, head: RequestHead, respond: suspend () -> Boolean) =
        withMethod(connection, head, READ_METHODS) {
            val fault = connection.receiveBody(maxBytes = 0).leftOrNull()
            if (fault == null) {
                respond()
            } else {
                refuse(connection, fault)
                false
            }
        }

    private suspend fun withMethod(
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
        return connection.fail(error, allow)
    }

    private suspend fun answerReady(connection: ServerConnection): Boolean = if (currentDocument() != null) {
        connection.respondJson(HttpStatus.OK, mapOf("status" to "ready"))
    } else {
        connection.fail(CallerError.notReady)
    }

    private suspend fun answerModels(connection: ServerConnection): Boolean {
        val document = currentDocument() ?: return connection.fail(CallerError.notReady)
        val models =
            document.pools.values.mapNotNull { it.model }.distinct().map {
                mapOf("id" to it.value, "object" to "model", "owned_by" to "hickorytiller")
            }
        return connection.respondJson(HttpStatus.OK, mapOf("object" to "list", "data" to models))
    }

    private suspend fun serveRequest(connection: ServerConnection, head: RequestHead): Boolean {
        resolver.refusalByHead(head)?.let { return connection.fail(it) }
        val body = connection.receiveBody().getOrElse {
            refuse(connection, it)
            return false
        }
        val request = resolver.resolve(head, body).getOrElse { return connection.fail(it) }
        val answer = CallerAnswer(connection)
        val open = runWhileWanted(connection, request, answer)
        val requestClass = request.requestClass.id.value
        operations.metrics.requestEnded(requestClass, answer.outcome)
        answer.firstEventAt?.let { operations.metrics.firstToken(requestClass, it - request.arrivedAt) }
        return open
    }

    /** Runs [request] until its caller leaves or its key is withdrawn. */
    private suspend fun runWhileWanted(
        connection: ServerConnection,
        request: CallerRequest,
        answer: CallerAnswer,
    ): Boolean = coroutineScope {
        val work = async { runner.run(request, answer) }
        val watch = launch {
            connection.closed.await()
            work.cancel(CallerGoneException())
        }
        val registration =
            request.caller.keyHash?.let { hash -> keys.register(hash) { work.cancel(KeyWithdrawnException()) } }
        try {
            work.await()
        } catch (_: KeyWithdrawnException) {
            answer.fail(CallerError.keyWithdrawn(answer.verdict))
        } catch (_: CallerGoneException) {
            // The caller may have closed only its sending side, and then still reads the answer.
            connection.closeAfterResponse = true
            answer.fail(CallerError.callerGone(answer.verdict))
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

/** Ends the task that runs a request under a withdrawn key. */
internal class KeyWithdrawnException : CancellationException("the key was withdrawn")

/** Ends the task that runs a request whose caller left. */
internal class CallerGoneException : CancellationException("the caller left")
