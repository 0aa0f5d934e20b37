/** The endpoints other than the callers' one: directory, readiness, metrics. */
package org.hickorytiller.daemon

import arrow.core.getOrElse
import org.hickorytiller.core.Verdict
import org.hickorytiller.http.Headers
import org.hickorytiller.http.HttpStatus
import org.hickorytiller.http.RequestHead
import org.hickorytiller.http.ServerConnection
import org.hickorytiller.http.respondError

/** Responds to one request at an endpoint; returns false if there is no such resource. */
internal typealias Respond = suspend (ServerConnection, RequestHead) -> Boolean

/** Serves [connection] with [respond] until it ends. */
internal suspend fun serveEndpoint(connection: ServerConnection, respond: Respond) {
    while (true) {
        val head = connection.receive().getOrElse { return }
        connection.receiveBody().getOrElse { return }
        if (!respond(connection, head)) {
            connection.respondError(HttpStatus.NOT_FOUND, "not_found", "no such resource", Verdict.NOT_RUN)
        }
        if (connection.closeAfterResponse) return
    }
}

/** Responds to GET [path] with the result of [body], as [contentType]. */
internal fun resource(path: String, contentType: String, body: () -> ByteArray): Respond = { connection, head ->
    val isMatch = head.method == "GET" && head.path == path
    if (isMatch) connection.respond(HttpStatus.OK, Headers.of("content-type" to contentType), body())
    isMatch
}

/** Responds to GET [path] with 200 while [isReady] returns true, otherwise with 503. */
internal fun readiness(path: String, isReady: () -> Boolean): Respond = { connection, head ->
    val isMatch = head.method == "GET" && head.path == path
    if (isMatch) {
        val status = if (isReady()) HttpStatus.OK else HttpStatus.SERVICE_UNAVAILABLE
        connection.respond(status, Headers.EMPTY, ByteArray(0))
    }
    isMatch
}
