/** Encodes and decodes notices of servers that leave as JSON. An invalid entry is skipped. */
package org.hickorytiller.mesh

import arrow.core.raise.nullable
import com.fasterxml.jackson.databind.JsonNode
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.jsonTreeMapper
import org.hickorytiller.placement.LeavingNotice
import org.hickorytiller.placement.ServerRun

/** Encodes [notices] as JSON. */
internal fun encodeLeavingNotices(notices: List<LeavingNotice>): ByteArray {
    val message = jsonTreeMapper.createObjectNode()
    val entries = message.putArray(LEAVING)
    notices.forEach { entries.addArray().add(it.run.id.value).add(it.run.startedMs).add(it.ageMs) }
    return jsonTreeMapper.writeValueAsBytes(message)
}

/** Decodes the notices in [message]; null if it is another kind of message. */
internal fun decodeLeavingNotices(message: JsonNode): List<LeavingNotice>? =
    message.path(LEAVING).takeIf { it.isArray }?.mapNotNull(::decodeNotice)

private fun decodeNotice(node: JsonNode): LeavingNotice? = nullable {
    val id = BackendServerId(node.path(0).textValue().bind())
    val startedMs = node.path(1).takeIf { it.canConvertToLong() && it.isIntegralNumber }?.asLong().bind()
    val ageMs =
        node.path(2).takeIf { it.canConvertToLong() && it.isIntegralNumber }?.asLong()?.takeIf { it >= 0 }.bind()
    LeavingNotice(ServerRun(id, startedMs), ageMs)
}

private const val LEAVING = "leaving"
