/** Conversion from Netty's messages, and the rules that make the end of a request unambiguous. */
package org.hickorytiller.http

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil

internal fun HttpHeaders.toHeaders() = Headers(entries().map { Headers.Field(it.key, it.value) })

internal fun HttpRequest.toHead() =
    RequestHead(method().name(), uri(), headers().toHeaders(), HttpUtil.isKeepAlive(this), protocolVersion().text())

/**
 * Whether two readers could disagree about where the request ends or whom it is for. Such a request is refused: it
 * could smuggle a second request past one of them.
 */
internal fun RequestHead.framingIsAmbiguous(): Boolean =
    protocolIsUnknown() || lengthIsAmbiguous() || encodingIsAmbiguous() || hostIsAmbiguous()

private fun RequestHead.isHttp11() = protocol.equals("HTTP/1.1", ignoreCase = true)

private fun RequestHead.protocolIsUnknown() = !isHttp11() && !protocol.equals("HTTP/1.0", ignoreCase = true)

private fun RequestHead.lengthIsAmbiguous(): Boolean {
    val lengths = headers.all("content-length")
    return lengths.size > 1 || lengths.any { value -> value.isEmpty() || value.any { it !in '0'..'9' } }
}

private fun RequestHead.encodingIsAmbiguous(): Boolean {
    val encodings = headers.all("transfer-encoding")
    val isPlainChunked = encodings.size == 1 && encodings.single().equals("chunked", ignoreCase = true)
    return encodings.isNotEmpty() && (!isPlainChunked || !isHttp11() || headers["content-length"] != null)
}

private fun RequestHead.hostIsAmbiguous(): Boolean {
    val hosts = headers.all("host")
    return hosts.size > 1 || (isHttp11() && hosts.isEmpty())
}
