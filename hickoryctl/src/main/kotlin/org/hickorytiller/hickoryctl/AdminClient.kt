/** Client of the admin interface of one router. */
package org.hickorytiller.hickoryctl

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.databind.JsonNode
import org.hickorytiller.core.formatAddress
import org.hickorytiller.core.parseTree
import org.hickorytiller.http.Headers
import org.hickorytiller.http.HttpClient
import org.hickorytiller.http.HttpStatus
import org.hickorytiller.http.RequestHead
import org.hickorytiller.http.Response
import java.net.InetSocketAddress

/** Why a request to the admin interface of a router failed. */
data class AdminFault(val exitCode: ExitCode, val message: String)

/** Client of the router whose admin interface is at [address]. */
class AdminClient(private val client: HttpClient, private val address: InetSocketAddress, private val token: String?) {
    /** The address in the form IP:PORT. */
    val name: String get() = address.formatAddress()

    /** Sends a GET request for [path]. */
    suspend fun get(path: String): Either<AdminFault, JsonNode> = call("GET", path, ByteArray(0))

    /** Sends a POST request for [path] with [body]. */
    suspend fun post(path: String, body: String = ""): Either<AdminFault, JsonNode> =
        call("POST", path, body.toByteArray())

    private suspend fun call(method: String, path: String, body: ByteArray): Either<AdminFault, JsonNode> {
        val headers = if (token == null) Headers.EMPTY else Headers.of("authorization" to "Bearer $token")
        return client.call(address, RequestHead(method, path, headers), body, TIMEOUT_MS).fold(
            { fault -> AdminFault(ExitCode.UNREACHABLE, "unreachable (${fault.name.lowercase()})").left() },
            ::decode,
        )
    }

    private fun decode(response: Response): Either<AdminFault, JsonNode> {
        val body =
            parseTree(response.body)
                ?: return AdminFault(ExitCode.UNREACHABLE, "answered ${response.status} without JSON").left()
        return when {
            response.status in OK_STATUS -> body.right()
            response.status == HttpStatus.SERVICE_UNAVAILABLE -> AdminFault(
                ExitCode.UNREACHABLE,
                errorMessage(response, body),
            ).left()
            else -> AdminFault(ExitCode.REFUSED, errorMessage(response, body)).left()
        }
    }

    private fun errorMessage(response: Response, body: JsonNode): String =
        body.path("error").path("message").asText("").ifEmpty { "answered ${response.status}" }

    private companion object {
        val OK_STATUS = 200..299
        const val TIMEOUT_MS = 3_000L
    }
}

/** Returns the exit code of a command that called several routers: that of the most severe of [faults]. */
internal fun exitCodeOf(faults: List<AdminFault>): ExitCode = when {
    faults.isEmpty() -> ExitCode.OK
    faults.any { it.exitCode == ExitCode.UNREACHABLE } -> ExitCode.UNREACHABLE
    else -> ExitCode.REFUSED
}
