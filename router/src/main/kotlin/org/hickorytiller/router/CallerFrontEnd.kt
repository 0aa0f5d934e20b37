/**
 * The HTTP interface towards callers. One coroutine serves one connection: receive a request, find its customer, route
 * and class, wait for a slot, run it, relay the answer.
 */
package org.hickorytiller.router

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import org.hickorytiller.admission.Admission
import org.hickorytiller.admission.Ticket
import org.hickorytiller.balancing.BackendServerTable
import org.hickorytiller.configuration.Route
import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.ClassId
import org.hickorytiller.core.Clock
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.KeyHash
import org.hickorytiller.core.ModelId
import org.hickorytiller.core.RequestClass
import org.hickorytiller.core.Verdict
import org.hickorytiller.dispatch.Dispatcher
import org.hickorytiller.http.Headers
import org.hickorytiller.http.HttpFault
import org.hickorytiller.http.HttpStatus
import org.hickorytiller.http.RequestHead
import org.hickorytiller.http.ServerConnection
import org.hickorytiller.http.respondJson
import org.hickorytiller.keys.KeyRegistry
import org.hickorytiller.keys.hashKey
import org.hickorytiller.membership.AddressAnswer
import org.hickorytiller.timeline.RouterMetrics

/** Answers the address query for a caller in the given failure domain. */
internal typealias AnswerAddresses = (FailureDomain?) -> AddressAnswer

/** What the operation of the process needs from the front end. */
internal class CallerOperations(val drain: DrainTask, val metrics: RouterMetrics, val answerAddresses: AnswerAddresses)

/** Serves callers. Confined to the event loop. */
internal class CallerFrontEnd(
    private val clock: Clock,
    private val configuration: ConfigurationTask,
    private val keys: KeyRegistry,
    private val admission: Admission,
    private val servers: BackendServerTable,
    private val dispatcher: Dispatcher,
    private val operations: CallerOperations,
) {
    /** Serves one connection until it is closed. */
    suspend fun serve(connection: ServerConnection) {
        while (true) {
            val head = connection.receive().getOrElse { return refuse(connection, it) }
            val open = operations.drain.track(connection) { serve(connection, head) }
            if (!open || connection.closeAfterResponse) return
        }
    }

    private suspend fun serve(connection: ServerConnection, head: RequestHead): Boolean {
        val body =
            connection.receiveBody().getOrElse {
                refuse(connection, it)
                return false
            }
        return answer(connection, head, body)
    }

    private suspend fun refuse(connection: ServerConnection, fault: HttpFault) {
        val error =
            when (fault) {
                HttpFault.MALFORMED -> CallerError(
                    HttpStatus.BAD_REQUEST,
                    "malformed_request",
                    "the request is not valid HTTP",
                )
                HttpFault.HEAD_TOO_LARGE -> CallerError(
                    HttpStatus.HEADER_FIELDS_TOO_LARGE,
                    "head_too_large",
                    "the header fields are too large",
                )
                HttpFault.BODY_TOO_LARGE -> CallerError(
                    HttpStatus.CONTENT_TOO_LARGE,
                    "body_too_large",
                    "the body is too large",
                )
                HttpFault.TIMEOUT -> CallerError(
                    HttpStatus.REQUEST_TIMEOUT,
                    "request_timeout",
                    "the request was not complete in time",
                )
                HttpFault.CLOSED, HttpFault.UNREACHABLE -> return
            }
        connection.closeAfterResponse = true
        connection.fail(error)
    }

    private suspend fun answer(connection: ServerConnection, head: RequestHead, body: ByteArray): Boolean =
        when (head.path) {
            "/health" -> connection.respondJson(HttpStatus.OK, mapOf("status" to "ok"))
            "/ready" -> answerReady(connection)
            "/v1/address" -> connection.respondJson(
                HttpStatus.OK,
                operations.answerAddresses(head.query("failureDomain")?.let(::FailureDomain)),
            )
            "/v1/models" -> answerModels(connection)
            "/metrics" -> connection.respond(HttpStatus.OK, METRICS_HEADERS, operations.metrics.text())
            else -> run(connection, head, body)
        }

    private suspend fun answerReady(connection: ServerConnection): Boolean = if (configuration.ready) {
        connection.respondJson(HttpStatus.OK, mapOf("status" to "ready"))
    } else {
        connection.fail(NOT_READY)
    }

    private suspend fun answerModels(connection: ServerConnection): Boolean {
        val models =
            configuration.state.document.pools.values.mapNotNull { it.model }.distinct().map {
                mapOf("id" to it.value, "object" to "model", "owned_by" to "hickorytiller")
            }
        return connection.respondJson(HttpStatus.OK, mapOf("object" to "list", "data" to models))
    }

    private suspend fun run(connection: ServerConnection, head: RequestHead, body: ByteArray): Boolean {
        val request = resolve(head, body).getOrElse { return connection.fail(it) }
        val open = runUntilWithdrawn(connection, request)
        operations.metrics.requestEnded(request.requestClass.id.value, request.answer.outcome)
        return open
    }

    private fun resolve(head: RequestHead, body: ByteArray): Either<CallerError, CallerRequest> {
        if (!configuration.ready) return NOT_READY.left()
        val document = configuration.state.document
        val model = if (head.path == CHAT_PATH) chatModel(body).getOrElse { return it.left() } else null
        val route =
            document.route(head.path, model)
                ?: return CallerError(
                    HttpStatus.NOT_FOUND,
                    "not_found",
                    "no route for ${head.path}${model?.let {
                        " and model $it"
                    } ?: ""}",
                ).left()
        val keyHash = head.bearerKey()?.let(::hashKey)
        val customer = customer(route, keyHash).getOrElse { return it.left() }
        val requestClass = requestClass(route, head).getOrElse { return it.left() }
        return CallerRequest(
            head,
            body,
            route,
            document.pools.getValue(route.pool).kind,
            customer,
            keyHash,
            requestClass,
            clock(),
        ).right()
    }

    private fun chatModel(body: ByteArray): Either<CallerError, ModelId> =
        parseChatRequest(body).map { it.model }.mapLeft { CallerError(HttpStatus.BAD_REQUEST, "invalid_request", it) }

    private fun customer(route: Route, keyHash: KeyHash?): Either<CallerError, CustomerId> {
        if (route.open) return OPEN_CUSTOMER.right()
        if (keyHash ==
            null
        ) {
            return CallerError(HttpStatus.UNAUTHORIZED, "key_missing", "the request carries no key").left()
        }
        return keys.customerOf(keyHash)?.right()
            ?: CallerError(HttpStatus.UNAUTHORIZED, "key_unknown", "the key is unknown or withdrawn").left()
    }

    private fun requestClass(route: Route, head: RequestHead): Either<CallerError, RequestClass> {
        val name = head.headers["x-request-class"]?.let(::ClassId) ?: route.classes.first()
        if (name !in route.classes) {
            return CallerError(
                HttpStatus.BAD_REQUEST,
                "class_not_allowed",
                "class $name is not allowed on this route",
            ).left()
        }
        return configuration.state.document.classes.getValue(name).right()
    }

    private suspend fun runUntilWithdrawn(connection: ServerConnection, request: CallerRequest): Boolean =
        coroutineScope {
            val work = async { runOnBackendServer(connection, request) }
            val use = request.keyHash?.let { hash -> keys.attach(hash) { work.cancel(KeyWithdrawnException()) } }
            try {
                work.await()
            } catch (_: KeyWithdrawnException) {
                request.answer.fail(
                    connection,
                    CallerError(
                        HttpStatus.UNAUTHORIZED,
                        "key_withdrawn",
                        "the key was withdrawn",
                        request.answer.verdict,
                    ),
                )
            } finally {
                use?.close()
            }
        }

    private suspend fun runOnBackendServer(connection: ServerConnection, request: CallerRequest): Boolean {
        val server =
            admission
                .admit(ticket(request)) { servers.choose(request.route.pool)?.also { servers.started(it.id) } }
                .getOrElse { return connection.fail(CallerError.of(it)) }
                ?: return connection.fail(
                    CallerError(HttpStatus.SERVICE_UNAVAILABLE, "no_backend_server", "no backend server is available"),
                )
        try {
            return relay(connection, request, server)
        } finally {
            servers.ended(server.id)
            admission.grantFreeSlots(request.route.pool)
        }
    }

    private suspend fun relay(connection: ServerConnection, request: CallerRequest, server: BackendServer): Boolean {
        val answer = request.answer
        answer.verdict = Verdict.MAY_HAVE_RUN
        val failure =
            dispatcher
                .run(
                    request.toDispatchRequest(),
                    server,
                    onHead = { answer.start(connection, it) },
                    onChunk = { chunk ->
                        request.answer.firstTokenAt(clock)?.let { at ->
                            operations.metrics.firstToken(request.requestClass.id.value, at - request.arrivedAt)
                        }
                        admission.charge(request.route.pool, request.customer, 1)
                        connection.writeChunk(chunk)
                    },
                ).leftOrNull() ?: return answer.end(connection)
        return answer.fail(connection, CallerError.of(failure))
    }

    private fun ticket(request: CallerRequest): Ticket {
        val now = clock()
        val id = admission.newId()
        val startBy = now + request.requestClass.timeoutMs
        return Ticket(id, request.customer, request.requestClass, request.route.pool, now, startBy)
    }

    private companion object {
        const val CHAT_PATH = "/v1/chat/completions"
        val METRICS_HEADERS = Headers.of("content-type" to RouterMetrics.CONTENT_TYPE)
        val OPEN_CUSTOMER = CustomerId("(open)")
        val NOT_READY =
            CallerError(
                HttpStatus.SERVICE_UNAVAILABLE,
                "not_ready",
                "the configuration has not been read yet",
                retryAfterSeconds = 1,
            )
    }
}

/** Ends the task that runs a request under a withdrawn key. */
internal class KeyWithdrawnException : kotlinx.coroutines.CancellationException("the key was withdrawn")
