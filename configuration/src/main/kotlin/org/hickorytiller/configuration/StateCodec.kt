/**
 * Encodes and decodes a state. Equal states have equal encodings, so the hash of a snapshot depends only on the log
 * prefix.
 */
package org.hickorytiller.configuration

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import com.fasterxml.jackson.module.kotlin.treeToValue
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.KeyHash
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.decodeUntrusted
import org.hickorytiller.core.json
import org.hickorytiller.core.readSettings
import org.hickorytiller.keys.parseKeyHash
import java.util.TreeMap

/** Returns the encoding of [state], not compressed. */
fun encodeState(state: ConfigurationState): ByteArray {
    val root = json.createObjectNode()
    root.put("schema", CONFIGURATION_SCHEMA)
    root.put("offset", state.offset.value)
    val sections = root.putObject("sections")
    Section.entries.filter { it in state.sectionOffsets }.forEach { section ->
        val node = sections.putObject(section.key)
        node.put("offset", state.offsetOf(section).value)
        val entries = node.putObject("entries")
        state.document.entries(section).forEach { (name, entry) -> entries.set<ObjectNode>(name, entry) }
    }
    val grants = root.putObject("grants")
    state.grants.mapKeysTo(TreeMap()) { it.key.value }.forEach { (hash, grant) ->
        grants.putObject(hash).put("customer", grant.customer.value).put("label", grant.label)
    }
    val withdrawn = root.putArray("withdrawn")
    state.withdrawn.map { it.value }.sorted().forEach { withdrawn.add(it) }
    val pending = root.putArray("pending")
    state.pending.forEach { pending.add(json.valueToTree<JsonNode>(it.parts.toTypedArray())) }
    return json.writeValueAsBytes(root)
}

/** Returns the state encoded in [bytes], or a fault if they are invalid. */
fun decodeState(bytes: ByteArray): Either<String, ConfigurationState> =
    readTree(bytes).fold({ it.left() }, ::decodeState)

internal fun decodeState(root: JsonNode): Either<String, ConfigurationState> = decodeUntrusted {
    when {
        root !is ObjectNode -> "not an object".left()
        root.path("schema").asLong(-1) != CONFIGURATION_SCHEMA.toLong() ->
            "unknown schema ${root.path("schema")}".left()
        else -> decodeTree(root)
    }
}.getOrElse { it.message.left() }

internal fun readTree(bytes: ByteArray): Either<String, JsonNode> =
    decodeUntrusted { json.readTree(bytes) }.mapLeft { it.message }

private fun JsonNode.requiredObject(name: String): ObjectNode =
    required(name) as? ObjectNode ?: throw IllegalArgumentException("$name is not an object")

private fun decodeTree(root: ObjectNode): Either<String, ConfigurationState> {
    val sections = root.requiredObject("sections")
    val unknown = sections.fieldNames().asSequence().filter { Section.of(it) == null }.toList()
    if (unknown.isNotEmpty()) return "unknown sections $unknown".left()
    val document = decodeDocument(sections).getOrElse { return it.left() }
    val grants = decodeGrants(root.requiredObject("grants")).getOrElse { return it.left() }
    return decodeHashes(root.required("withdrawn").map { it.asText() }).map { withdrawn ->
        ConfigurationState(
            offset = LogOffset(root.required("offset").longValue()),
            sectionOffsets =
            sections.properties().associate { (key, node) ->
                sectionOf(key) to LogOffset(node.required("offset").longValue())
            },
            grants = grants,
            withdrawn = withdrawn,
            pending =
            root.required("pending").map { parts ->
                require(parts.isArray && !parts.isEmpty) { "a pending proposal has no parts" }
                PendingProposal(parts.map { json.treeToValue<SectionProposed>(it) })
            },
            document = document,
        )
    }
}

private fun decodeDocument(sections: ObjectNode): Either<String, ConfigurationDocument> {
    var document = ConfigurationDocument()
    for ((key, node) in sections.properties()) {
        val root = json.createObjectNode().set<ObjectNode>(key, node.requiredObject("entries"))
        document =
            readSettings(root) { document.withEntries(sectionOf(key), it.table(key)) }
                .getOrElse { return it.joinToString().left() }
    }
    val faults = ownersOf(document).faults + referenceFaults(document)
    return if (faults.isEmpty()) document.right() else faults.joinToString().left()
}

private fun decodeGrants(node: ObjectNode): Either<String, Map<KeyHash, KeyGrant>> {
    val grants =
        node.properties().associate { (hash, grant) ->
            hash to KeyGrant(CustomerId(grant.required("customer").asText()), grant.required("label").asText())
        }
    return decodeHashes(grants.keys).map { _ -> grants.mapKeys { KeyHash(it.key) } }
}

internal fun decodeHashes(texts: Collection<String>): Either<String, Set<KeyHash>> {
    val hashes = texts.mapNotNullTo(LinkedHashSet(), ::parseKeyHash)
    return if (hashes.size == texts.size) hashes.right() else "not all keys are SHA-256 hashes".left()
}

private fun sectionOf(key: String) = Section.entries.first { it.key == key }
