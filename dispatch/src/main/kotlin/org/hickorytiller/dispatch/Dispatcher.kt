/**
 * Runs one request on one backend server and relays the answer. The verdict of a failure depends on whether any byte
 * of the request was sent.
 */
package org.hickorytiller.dispatch

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.Verdict
import org.hickorytiller.http.ClientConnection
import org.hickorytiller.http.HttpClient
import org.hickorytiller.http.HttpFault
import org.hickorytiller.http.RequestHead
import org.hickorytiller.http.ResponseHead

/** Receives the head of the answer. */
typealias OnHead = suspend (ResponseHead) -> Boolean

/** Receives a chunk of the answer. Returns false if the caller is gone. */
typealias OnChunk = suspend (ByteArray) -> Boolean

/**
 * A request to run.
 *
 * @property firstByteTimeoutMs time for the head of the answer
 * @property progressTimeoutMs time between two chunks of the answer
 */
class DispatchRequest(
    val head: RequestHead,
    val body: ByteArray,
    val idempotent: Boolean,
    val firstByteTimeoutMs: Long,
    val progressTimeoutMs: Long,
)

/** Sends requests to backend servers. Confined to the event loop. */
class Dispatcher(private val client: HttpClient) {
    /** Runs [request] on [server] and relays the answer through [onHead] and [onChunk]. */
    suspend fun run(
        request: DispatchRequest,
        server: BackendServer,
        onHead: OnHead,
        onChunk: OnChunk,
    ): Either<DispatchFailure, Unit> {
        val connection =
            connect(request, server).getOrElse {
                return DispatchFailure("backend_unreachable", "${server.id} is unreachable", Verdict.NOT_RUN).left()
            }
        try {
            connection.send(request.head, request.body)
            return relay(connection, request, server, onHead, onChunk)
        } finally {
            client.release(connection)
        }
    }

    // A pooled connection may be closed by the server just when the request is sent, which would leave a request that
    // must not be repeated with an unknown outcome. Such a request gets a connection of its own.
    private suspend fun connect(request: DispatchRequest, server: BackendServer): Either<HttpFault, ClientConnection> =
        if (request.idempotent) client.acquire(server.address) else client.connect(server.address)

    private suspend fun relay(
        connection: ClientConnection,
        request: DispatchRequest,
        server: BackendServer,
        onHead: OnHead,
        onChunk: OnChunk,
    ): Either<DispatchFailure, Unit> {
        val head = connection.receiveHead(request.firstByteTimeoutMs).getOrElse { return lost(server, it).left() }
        if (!onHead(head)) return callerGone().left()
        while (true) {
            val chunk =
                connection.receiveChunk(request.progressTimeoutMs).getOrElse { return lost(server, it).left() }
                    ?: return Unit.right()
            if (!onChunk(chunk)) return callerGone().left()
        }
    }

    private fun lost(server: BackendServer, fault: HttpFault) =
        DispatchFailure("backend_lost", "${server.id}: ${fault.name.lowercase()}", Verdict.MAY_HAVE_RUN)

    private fun callerGone() = DispatchFailure("caller_gone", "the caller closed the connection", Verdict.MAY_HAVE_RUN)
}
