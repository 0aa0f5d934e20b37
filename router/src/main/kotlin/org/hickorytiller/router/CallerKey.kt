/** Reads the key with which a caller authenticates, and keeps it from being forwarded to backend servers. */
package org.hickorytiller.router

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.hickorytiller.http.Headers
import org.hickorytiller.http.RequestHead
import java.net.URLDecoder

/** Returns the key in the `Authorization` field; null if there is no such field. */
internal fun RequestHead.bearerKey(): Either<CallerError, String?> {
    val fields = headers.all("authorization")
    if (fields.isEmpty()) return null.right()
    val field = fields.singleOrNull()
        ?: return CallerError.badRequest("ambiguous_key", "the request has several Authorization fields").left()
    val key = field.takeIf { it.startsWith(BEARER, ignoreCase = true) }?.substring(BEARER.length)?.trim()
    if (key.isNullOrEmpty() || key.any { it.isWhitespace() }) {
        return CallerError.badRequest("malformed_key", "the Authorization field is not \"Bearer KEY\"").left()
    }
    return key.right()
}

/** Returns [target] without the query parameters that usually carry a key. */
internal fun targetWithoutKeys(target: String): String {
    val query = target.substringAfter('?', "")
    if (query.isEmpty()) return target.substringBefore('?')
    val kept = query.split('&').filter { urlDecoded(it.substringBefore('=')).lowercase() !in KEY_PARAMETERS }
    return target.substringBefore('?') + if (kept.isEmpty()) "" else kept.joinToString("&", "?")
}

/** Returns whether [key] occurs anywhere in what would be forwarded to a backend server. */
internal fun carriesKey(key: String, target: String, headers: Headers, body: ByteArray): Boolean = key in target ||
    key in urlDecoded(target) ||
    headers.fields.any { key in it.value } ||
    key in String(body, Charsets.ISO_8859_1)

private fun urlDecoded(text: String): String = try {
    URLDecoder.decode(text, Charsets.UTF_8)
} catch (_: IllegalArgumentException) {
    text
}

private const val BEARER = "Bearer "
private val KEY_PARAMETERS = setOf("api_key", "api-key", "apikey", "key", "access_token", "token", "authorization")
