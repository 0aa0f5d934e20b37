/** HTTP messages without Netty's types, for use outside this module. */
package org.hickorytiller.http

/** Header fields in the order received. Names are case-insensitive. */
class Headers(val fields: List<Field>) {
    /** One header field. */
    data class Field(val name: String, val value: String)

    /** Returns the first value of the field called [name]; null if it is missing. */
    operator fun get(name: String): String? = fields.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

    /** Returns all values of the field called [name]. */
    fun all(name: String): List<String> = fields.filter { it.name.equals(name, ignoreCase = true) }.map { it.value }

    companion object {
        val EMPTY = Headers(emptyList())

        fun of(vararg fields: Pair<String, String>) = Headers(fields.map { Field(it.first, it.second) })
    }
}

/** The head of a request. [target] is the path with its query. */
data class RequestHead(
    val method: String,
    val target: String,
    val headers: Headers = Headers.EMPTY,
    val keepAlive: Boolean = true,
    val protocol: String = "HTTP/1.1",
) {
    /** The path without the query. */
    val path: String get() = target.substringBefore('?')

    /** Returns the value of the query parameter called [name] without percent-decoding; null if it is missing. */
    fun query(name: String): String? = target.substringAfter('?', "").split('&').firstOrNull {
        it.substringBefore('=') == name
    }?.substringAfter('=', "")
}

/** The head of a response. */
data class ResponseHead(val status: Int, val headers: Headers = Headers.EMPTY) {
    /** Whether only the end of the connection ends the body, so that the body alone does not show if it is complete. */
    val endsWithConnection: Boolean
        get() = headers["content-length"] == null &&
            headers.all("transfer-encoding").none { it.contains("chunked", ignoreCase = true) }
}

/** A response whose body has been collected. */
class Response(val head: ResponseHead, val body: ByteArray) {
    val status: Int get() = head.status
}

/** Why a message could not be received or sent. */
enum class HttpFault {
    /** The peer closed or reset the connection. */
    CLOSED,

    /** The peer sent something that is not HTTP. */
    MALFORMED,

    /** The head exceeds its size limit. */
    HEAD_TOO_LARGE,

    /** The body exceeds its size limit. */
    BODY_TOO_LARGE,

    /** The memory budget of the process has no room for the body. */
    NO_MEMORY,

    /** The peer did not send or accept data in time. */
    TIMEOUT,

    /** No connection could be established. */
    UNREACHABLE,

    /** The request has an `Expect` field with a value other than `100-continue`. */
    UNKNOWN_EXPECTATION,
}
