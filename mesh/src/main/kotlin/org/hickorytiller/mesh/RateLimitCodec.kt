/** Encodes and decodes notices of servers' rate limits as JSON. An invalid entry is skipped. */
package org.hickorytiller.mesh

import arrow.core.raise.nullable
import com.fasterxml.jackson.databind.JsonNode
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.jsonTreeMapper
import org.hickorytiller.placement.RateLimitNotice

/** Encodes [notices] as JSON. */
internal fun encodeRateLimits(notices: List<RateLimitNotice>): ByteArray {
    val message = jsonTreeMapper.createObjectNode()
    val entries = message.putArray(RATE_LIMITS)
    notices.forEach { entries.addArray().add(it.server.value).add(it.ratePerS).add(it.ageMs) }
    return jsonTreeMapper.writeValueAsBytes(message)
}

/** Decodes the notices in [message]; null if it is another kind of message. */
internal fun decodeRateLimits(message: JsonNode): List<RateLimitNotice>? =
    message.path(RATE_LIMITS).takeIf { it.isArray }?.mapNotNull(::decodeNotice)

private fun decodeNotice(node: JsonNode): RateLimitNotice? = nullable {
    val rate = node.path(1)
    if (!rate.isNumber && !rate.isNull) raise(null)
    val ratePerS = rate.takeIf { it.isNumber }?.asDouble()
    if (ratePerS != null && !(ratePerS >= 0)) raise(null)
    val ageMs = node.path(2).takeIf { it.isIntegralNumber }?.asLong()?.takeIf { it >= 0 }.bind()
    RateLimitNotice(BackendServerId(node.path(0).textValue().bind()), ratePerS, ageMs)
}

private const val RATE_LIMITS = "rateLimits"
