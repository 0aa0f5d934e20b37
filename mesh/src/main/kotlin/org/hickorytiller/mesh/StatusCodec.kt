/**
 * Encodes and decodes host statuses as JSON. Any process may send a datagram: one whose required fields are missing or
 * invalid is dropped; invalid entries of lists and maps are skipped or read as default values.
 */
package org.hickorytiller.mesh

import arrow.core.raise.SingletonRaise
import arrow.core.raise.nullable
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.HostId
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.ProcessId
import org.hickorytiller.core.StreamName
import org.hickorytiller.core.booleanOrNull
import org.hickorytiller.core.formatAddress
import org.hickorytiller.core.jsonTreeMapper
import org.hickorytiller.core.longOrNull
import org.hickorytiller.core.parseAddress
import org.hickorytiller.core.parseTree
import org.hickorytiller.core.textOrNull
import org.hickorytiller.placement.PromptPartId
import org.hickorytiller.placement.PromptPartLocation
import org.hickorytiller.placement.ServerLoad
import java.io.IOException

/** Encodes [status] as JSON. */
internal fun encodeStatus(status: HostStatus): ByteArray {
    val root = jsonTreeMapper.createObjectNode()
    root.put("host", status.host.value).put("run", status.run.value).put("seq", status.sequence)
    root.put("mesh", status.meshAddress.formatAddress()).put("callers", status.callerAddress.formatAddress())
    root.put("serving", status.canServe).put("wall", status.wallMs)
    status.leaseLogEnd?.let { root.put("lease", it.value) }
    val load = root.putObject("load")
    status.load.forEach { (server, figures) ->
        load.putArray(server.value).add(figures.requests).add(figures.pendingPrefillTokens)
    }
    val parts = root.putArray("parts")
    status.parts.forEach { parts.addArray().add(it.part.value).add(it.server.value).add(it.ageMs) }
    val usage = root.putObject("usage")
    status.usage.forEach { (window, counts) -> usage.putObject(window.toString()).putCounts(counts) }
    status.readProgress?.let { root.putObject("vouch").putReadProgress(it) }
    val peers = root.putArray("peers")
    status.peers.forEach { peers.add(it.formatAddress()) }
    return jsonTreeMapper.writeValueAsBytes(root)
}

/** Encodes [message] as JSON. */
internal fun encodeTopicRecords(message: TopicRecords): ByteArray {
    val root = jsonTreeMapper.createObjectNode().put("topic", message.topic.value).put("from", message.from.value)
    val records = root.putArray("records")
    message.records.forEach { records.addArray().add(it.key).add(it.value) }
    return jsonTreeMapper.writeValueAsBytes(root)
}

/** Decodes the status in [bytes]; null if it is invalid. */
internal fun decodeStatus(bytes: ByteArray): HostStatus? = parseTree(bytes)?.let(::decodeStatus)

/** Decodes the status in [root]; null if it is invalid. */
internal fun decodeStatus(root: JsonNode): HostStatus? = nullable { decodeFields(root) }

/** Decodes the records in [root]; null if it is another kind of message, or if any part of it is invalid. */
internal fun decodeTopicRecords(root: JsonNode): TopicRecords? = nullable {
    val records = root.path("records").map { decodeTopicRecord(it).bind() }
    TopicRecords(StreamName(root.textOrNull("topic").bind()), LogOffset(root.longOrNull("from").bind()), records)
}

private fun decodeTopicRecord(node: JsonNode): TopicRecord? {
    val key = node.path(0).textValue() ?: return null
    val value = node.path(1)
    if (value.isNull) return TopicRecord(key, value = null)
    return try {
        value.binaryValue()?.let { TopicRecord(key, it) }
    } catch (_: IOException) {
        null
    }
}

private fun SingletonRaise<Nothing?>.decodeFields(root: JsonNode) = HostStatus(
    host = HostId(root.textOrNull("host").bind()),
    run = ProcessId(root.textOrNull("run").bind()),
    sequence = root.longOrNull("seq").bind(),
    meshAddress = root.textOrNull("mesh").bind().let(::parseAddress).bind(),
    callerAddress = root.textOrNull("callers").bind().let(::parseAddress).bind(),
    canServe = root.booleanOrNull("serving").bind(),
    leaseLogEnd = root.longOrNull("lease")?.let(::LogOffset),
    wallMs = root.longOrNull("wall").bind(),
    load = root.path("load").entries { decodeLoad(it) }.mapKeys { BackendServerId(it.key) },
    parts = root.path("parts").map { decodePart(it) },
    usage = root.path("usage").entries { decodeCounts(it) }.mapKeys { WindowNumber(it.key.toLongOrNull() ?: -1) },
    readProgress = root.path("vouch").takeIf { it.isObject }?.let { decodeReadProgress(it).bind() },
    peers = root.path("peers").mapNotNull { parseAddress(it.asText()) },
)

private fun decodePart(node: JsonNode) = PromptPartLocation(
    PromptPartId(node.path(0).asLong()),
    BackendServerId(node.path(1).asText()),
    node.path(2).asLong(),
)

private fun ObjectNode.putReadProgress(readProgress: StoreReadProgress) {
    put("configuration", readProgress.configurationEnd.value).put("servers", readProgress.serversEnd.value)
    val lastReceived = putObject("heard")
    readProgress.lastReceived.forEach { (host, message) ->
        lastReceived.putArray(host.value).add(message.run.value).add(message.sequence)
    }
}

private fun decodeReadProgress(node: JsonNode): StoreReadProgress? = nullable {
    StoreReadProgress(
        LogOffset(node.longOrNull("configuration").bind()),
        LogOffset(node.longOrNull("servers").bind()),
        node.path("heard").entries { decodeMessageId(it) }.mapKeys { HostId(it.key) },
    )
}

private fun decodeMessageId(node: JsonNode) = MessageId(ProcessId(node.path(0).asText()), node.path(1).asLong())

/** Writes [counts] as fields of this node, one for each customer. */
fun ObjectNode.putCounts(counts: UsageCounts) = counts.forEach { (customer, count) ->
    put(customer.value, count)
}

private fun decodeLoad(node: JsonNode) = ServerLoad(node.path(0).asInt(), node.path(1).asInt())

/** Reads the counts from the fields of [node], one for each customer. */
fun decodeCounts(node: JsonNode): UsageCounts = node.entries { it.asLong() }.mapKeys { CustomerId(it.key) }

private fun <T> JsonNode.entries(decode: (JsonNode) -> T): Map<String, T> =
    properties().associate { it.key to decode(it.value) }
