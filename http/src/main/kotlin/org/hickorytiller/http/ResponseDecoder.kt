/** Decodes the responses received on one connection and reports bytes left over that belong to no response. */
package org.hickorytiller.http

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder

/**
 * Returns the decoder settings for [limits]. They reject the lenient forms of framing about which two implementations
 * could disagree where a message ends.
 */
internal fun decoderConfig(limits: HttpLimits): HttpDecoderConfig = HttpDecoderConfig()
    .setMaxInitialLineLength(limits.maxHeadBytes)
    .setMaxHeaderSize(limits.maxHeadBytes)
    .setAllowDuplicateContentLengths(false)
    .setUseRfc9112TransferEncoding(true)

internal class ResponseDecoder(limits: HttpLimits) : HttpResponseDecoder(decoderConfig(limits)) {
    /** Whether the current request is a HEAD request, whose response has no body whatever its header fields say. */
    var isHeadRequest = false

    /** Whether bytes are buffered that do not form a complete message part yet. */
    val hasUndecodedBytes: Boolean get() = actualReadableBytes() > 0

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        (isHeadRequest && message is HttpResponse && message.status().code() >= HttpStatus.OK) ||
            super.isContentAlwaysEmpty(message)
}
