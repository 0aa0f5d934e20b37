/** Responses with a JSON body, shared by all HTTP endpoints. */
package org.hickorytiller.http

import org.hickorytiller.core.Verdict
import org.hickorytiller.core.json

/** Sends [value] as JSON. Returns false if the connection is closed or the peer does not read. */
suspend fun ServerConnection.respondJson(status: Int, value: Any?, headers: Headers = Headers.EMPTY): Boolean =
    respond(status, jsonHeaders(headers), json.writeValueAsBytes(value))

/** Sends an error with a stable [code], a human-readable [message] and the [verdict] on whether the request ran. */
suspend fun ServerConnection.respondError(
    status: Int,
    code: String,
    message: String,
    verdict: Verdict,
    headers: Headers = Headers.EMPTY,
): Boolean = respond(status, jsonHeaders(headers), errorBody(code, message, verdict))

/** Returns the JSON body of an error. */
fun errorBody(code: String, message: String, verdict: Verdict): ByteArray =
    json.writeValueAsBytes(mapOf("error" to mapOf("code" to code, "message" to message, "verdict" to verdict.code)))

private fun jsonHeaders(headers: Headers) = Headers(headers.fields + Headers.Field("content-type", "application/json"))
