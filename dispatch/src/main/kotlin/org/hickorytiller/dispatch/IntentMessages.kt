/** Records of the `intents` streams and their JSON encoding. Several records share one append. */
package org.hickorytiller.dispatch

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.databind.JsonNode
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.HostId
import org.hickorytiller.core.StreamName
import org.hickorytiller.core.decodeUntrusted
import org.hickorytiller.core.json
import java.util.Base64

/** The caller's key for one non-idempotent request, unique within its customer. */
@JvmInline
value class IdempotencyKey(val value: String) {
    override fun toString() = value
}

/**
 * Identifier of one intent. It contains the process run, so a router does not treat the intents of its earlier runs as
 * local.
 */
@JvmInline
value class IntentId(val value: String) {
    override fun toString() = value
}

/** SHA-256 digest of a request's method, target and body. */
@JvmInline
value class RequestDigest(val value: String) {
    override fun toString() = value
}

/** Identifies one non-idempotent request across all routers. */
data class IntentKey(val customer: CustomerId, val idempotencyKey: IdempotencyKey)

/** A record of the `intents` stream. */
sealed interface IntentRecord {
    val key: IntentKey
    val id: IntentId
}

/** [router] claims the right to run the request. */
data class RequestIntent(
    override val key: IntentKey,
    override val id: IntentId,
    val digest: RequestDigest,
    val router: HostId,
) : IntentRecord

/** The request ran and its backend server responded. */
data class RequestOutcome(override val key: IntentKey, override val id: IntentId, val outcome: RecordedOutcome) :
    IntentRecord

/** The router that wrote the intent permanently released it before a byte of the request was sent. */
data class IntentRelease(override val key: IntentKey, override val id: IntentId) : IntentRecord

/**
 * The response to a request that ran.
 *
 * @property body the response body, truncated to [MAX_BYTES]
 * @property truncated whether [body] is incomplete
 */
class RecordedOutcome(val status: Int, val contentType: String?, val body: ByteArray, val truncated: Boolean) {
    companion object {
        /** Maximum size of the body in a record, so that 64 records fit into one append of 256 KiB. */
        const val MAX_BYTES = 2_048

        fun of(status: Int, contentType: String?, body: ByteArray) =
            RecordedOutcome(status, contentType, body.copyOf(minOf(body.size, MAX_BYTES)), body.size > MAX_BYTES)
    }
}

/** Returns the name of the stream of [partition] out of [partitions]; a single partition has no number in its name. */
fun intentStream(partition: Int, partitions: Int) = StreamName(if (partitions == 1) "intents" else "intents-$partition")

/** Returns the partition that has the intents of [key]. Membership changes do not affect it. */
fun intentPartition(key: IntentKey, partitions: Int): Int = Math.floorMod(
    sha256("${key.customer.value}\u0000${key.idempotencyKey.value}").take(HASH_DIGITS).toLong(HEX),
    partitions,
)

/** Encodes [records] as one log record. */
fun encodeIntents(records: List<IntentRecord>): ByteArray = json.writeValueAsBytes(
    mapOf("type" to BATCH_TYPE, "schema" to SCHEMA, "records" to records.map(::encode)),
)

/** Decodes a log record; on the left, the reason why it cannot be decoded. */
fun decodeIntents(data: ByteArray): Either<String, List<IntentRecord>> = decodeUntrusted {
    val root = json.readTree(data)
    when {
        root == null || root.path("type").asText() != BATCH_TYPE -> "unknown record type".left()
        root.path("schema").asInt() != SCHEMA -> "unknown schema ${root.path("schema")}".left()
        else -> root.required("records").map(::decode).right()
    }
}.getOrElse { "malformed: $it".left() }

private fun encode(record: IntentRecord): Map<String, Any?> {
    val fields = linkedMapOf<String, Any?>(
        "type" to record::class.simpleName,
        "customer" to record.key.customer.value,
        "idempotencyKey" to record.key.idempotencyKey.value,
        "id" to record.id.value,
    )
    when (record) {
        is RequestIntent -> {
            fields["digest"] = record.digest.value
            fields["router"] = record.router.value
        }
        is RequestOutcome -> {
            fields["status"] = record.outcome.status
            fields["contentType"] = record.outcome.contentType
            fields["body"] = Base64.getEncoder().encodeToString(record.outcome.body)
            fields["truncated"] = record.outcome.truncated
        }
        is IntentRelease -> Unit
    }
    return fields
}

private fun decode(node: JsonNode): IntentRecord {
    val key = IntentKey(CustomerId(node.text("customer")), IdempotencyKey(node.text("idempotencyKey")))
    val id = IntentId(node.text("id"))
    return when (val type = node.text("type")) {
        "RequestIntent" -> RequestIntent(key, id, RequestDigest(node.text("digest")), HostId(node.text("router")))
        "RequestOutcome" -> RequestOutcome(
            key,
            id,
            RecordedOutcome(
                node.required("status").intValue(),
                node.path("contentType").textValue(),
                Base64.getDecoder().decode(node.text("body")),
                node.path("truncated").asBoolean(),
            ),
        )
        "IntentRelease" -> IntentRelease(key, id)
        else -> throw IllegalArgumentException("unknown record type \"$type\"")
    }
}

private fun JsonNode.text(name: String): String =
    required(name).textValue() ?: throw IllegalArgumentException("\"$name\" is not a string")

private const val BATCH_TYPE = "IntentBatch"
private const val SCHEMA = 1
private const val HASH_DIGITS = 15
private const val HEX = 16
