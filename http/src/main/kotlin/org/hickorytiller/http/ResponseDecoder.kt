/** Decodes the responses of one server connection and knows whether bytes are left that belong to no response. */
package org.hickorytiller.http

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder

/** Bounds for decoding under [limits], without the leniency that lets two readers disagree about a message's end. */
internal fun decoderConfig(limits: HttpLimits): HttpDecoderConfig = HttpDecoderConfig()
    .setMaxInitialLineLength(limits.maxHeadBytes)
    .setMaxHeaderSize(limits.maxHeadBytes)
    .setAllowDuplicateContentLengths(false)
    .setUseRfc9112TransferEncoding(true)

internal class ResponseDecoder(limits: HttpLimits) : HttpResponseDecoder(decoderConfig(limits)) {
    /** Whether the request in progress is a HEAD request, whose response has no body whatever its fields say. */
    var answersHead = false

    /** Whether bytes are held that do not make a message yet. */
    val hasBytesLeft: Boolean get() = actualReadableBytes() > 0

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        (answersHead && message is HttpResponse && message.status().code() >= HttpStatus.OK) ||
            super.isContentAlwaysEmpty(message)
}
