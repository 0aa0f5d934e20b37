/** Encodes host statuses as JSON. A datagram that is not a status is dropped, since any process may send one. */
package org.hickorytiller.mesh

import arrow.core.raise.SingletonRaise
import arrow.core.raise.nullable
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.HostId
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.ProcessId
import org.hickorytiller.core.booleanOrNull
import org.hickorytiller.core.formatAddress
import org.hickorytiller.core.jsonTreeMapper
import org.hickorytiller.core.parseAddress
import org.hickorytiller.core.textOrNull
import org.hickorytiller.core.longOrNull
import org.hickorytiller.placement.PartId
import org.hickorytiller.placement.PartNews
import org.hickorytiller.placement.ServerLoad
import org.hickorytiller.quarantine.Blame
import org.hickorytiller.quarantine.RequestFingerprint
import org.hickorytiller.quarantine.ServerRun

/** The bytes of [status]. */
internal fun encodeStatus(status: HostStatus): ByteArray {
    val root = jsonTreeMapper.createObjectNode()
    root.put("host", status.host.value).put("run", status.run.value).put("seq", status.sequence)
    root.put("mesh", status.meshAddress.formatAddress()).put("callers", status.callerAddress.formatAddress())
    root.put("serving", status.takesCallers).put("wall", status.wallMs)
    status.leaseEnd?.let { root.put("lease", it.value) }
    val load = root.putObject("load")
    status.load.forEach { (server, figures) ->
        load.putArray(server.value).add(figures.requests).add(figures.unreadTokens)
    }
    val parts = root.putArray("parts")
    status.parts.forEach { parts.addArray().add(it.part.value).add(it.server.value).add(it.ageMs) }
    val blames = root.putArray("blames")
    status.blames.forEach { blame ->
        blames.addArray().add(
            blame.fingerprint.value,
        ).add(blame.server.id.value).add(blame.server.startedMs).add(blame.ageMs)
    }
    val usage = root.putObject("usage")
    status.usage.forEach { (window, counts) -> usage.putObject(window.toString()).putCounts(counts) }
    status.vouch?.let { root.putObject("vouch").putVouch(it) }
    val peers = root.putArray("peers")
    status.peers.forEach { peers.add(it.formatAddress()) }
    return jsonTreeMapper.writeValueAsBytes(root)
}

/** The status in [bytes]; null if they are none. */
internal fun decodeStatus(bytes: ByteArray): HostStatus? {
    val root =
        try {
            jsonTreeMapper.readTree(bytes)
        } catch (_: JsonProcessingException) {
            return null
        }
    return nullable { decodeFields(root) }
}

private fun SingletonRaise<Nothing?>.decodeFields(root: JsonNode) = HostStatus(
    host = HostId(root.textOrNull("host").bind()),
    run = ProcessId(root.textOrNull("run").bind()),
    sequence = root.longOrNull("seq").bind(),
    meshAddress = root.textOrNull("mesh").bind().let(::parseAddress).bind(),
    callerAddress = root.textOrNull("callers").bind().let(::parseAddress).bind(),
    takesCallers = root.booleanOrNull("serving").bind(),
    leaseEnd = root.longOrNull("lease")?.let(::LogOffset),
    wallMs = root.longOrNull("wall").bind(),
    load = root.path("load").entries { decodeLoad(it) }.mapKeys { BackendServerId(it.key) },
    parts = root.path("parts").map { decodePart(it) },
    blames = root.path("blames").map { decodeBlame(it) },
    usage = root.path("usage").entries { decodeCounts(it) }.mapKeys { WindowNumber(it.key.toLongOrNull() ?: -1) },
    vouch = root.path("vouch").takeIf { it.isObject }?.let { decodeVouch(it).bind() },
    peers = root.path("peers").mapNotNull { parseAddress(it.asText()) },
)

private fun decodePart(node: JsonNode) =
    PartNews(PartId(node.path(0).asLong()), BackendServerId(node.path(1).asText()), node.path(2).asLong())

private fun ObjectNode.putVouch(vouch: Vouch) {
    put("configuration", vouch.configurationEnd.value).put("servers", vouch.serversEnd.value)
    val heard = putObject("heard")
    vouch.heard.forEach { (host, message) -> heard.putArray(host.value).add(message.run.value).add(message.sequence) }
}

private fun decodeVouch(node: JsonNode): Vouch? = nullable {
    Vouch(
        LogOffset(node.longOrNull("configuration").bind()),
        LogOffset(node.longOrNull("servers").bind()),
        node.path("heard").entries { decodeMessageId(it) }.mapKeys { HostId(it.key) },
    )
}

private fun decodeMessageId(node: JsonNode) = MessageId(ProcessId(node.path(0).asText()), node.path(1).asLong())

private fun decodeBlame(node: JsonNode): Blame {
    val server = ServerRun(BackendServerId(node.path(1).asText()), node.path(2).asLong())
    return Blame(RequestFingerprint(node.path(0).asText()), server, node.path(BLAME_AGE).asLong())
}

/** Writes [counts] as fields of this node, one for each customer. */
fun ObjectNode.putCounts(counts: UsageCounts) = counts.forEach { (customer, count) ->
    put(customer.value, count)
}

private fun decodeLoad(node: JsonNode) = ServerLoad(node.path(0).asInt(), node.path(1).asInt())

/** The counts in the fields of [node]. */
fun decodeCounts(node: JsonNode): UsageCounts = node.entries { it.asLong() }.mapKeys { CustomerId(it.key) }

private fun <T> JsonNode.entries(decode: (JsonNode) -> T): Map<String, T> =
    properties().associate { it.key to decode(it.value) }

// Position of the age in an encoded blame.
private const val BLAME_AGE = 3
