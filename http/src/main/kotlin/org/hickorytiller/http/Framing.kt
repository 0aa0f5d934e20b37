/** Converts Netty's messages and checks that the end and the target host of a request are unambiguous. */
package org.hickorytiller.http

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil

internal fun HttpHeaders.toHeaders() = Headers(entries().map { Headers.Field(it.key, it.value) })

internal fun HttpRequest.toHead() =
    RequestHead(method().name(), uri(), headers().toHeaders(), HttpUtil.isKeepAlive(this), protocolVersion().text())

/**
 * Whether two HTTP implementations could disagree about where the request ends or which host it is for. Such a request
 * is rejected, because it could smuggle a second request past one of them.
 */
internal fun RequestHead.hasAmbiguousFraming(): Boolean =
    hasUnknownProtocol() || hasAmbiguousLength() || hasAmbiguousEncoding() || hasAmbiguousHost()

private fun RequestHead.isHttp11() = protocol.equals("HTTP/1.1", ignoreCase = true)

private fun RequestHead.hasUnknownProtocol() = !isHttp11() && !protocol.equals("HTTP/1.0", ignoreCase = true)

private fun RequestHead.hasAmbiguousLength(): Boolean {
    val lengths = headers.all("content-length")
    return lengths.size > 1 || lengths.any { value -> value.isEmpty() || value.any { it !in '0'..'9' } }
}

private fun RequestHead.hasAmbiguousEncoding(): Boolean {
    val encodings = headers.all("transfer-encoding")
    val isPlainChunked = encodings.size == 1 && encodings.single().equals("chunked", ignoreCase = true)
    return encodings.isNotEmpty() && (!isPlainChunked || !isHttp11() || headers["content-length"] != null)
}

private fun RequestHead.hasAmbiguousHost(): Boolean {
    val hosts = headers.all("host")
    return hosts.size > 1 || (isHttp11() && hosts.isEmpty())
}
