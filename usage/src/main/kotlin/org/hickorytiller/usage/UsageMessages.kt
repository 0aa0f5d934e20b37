/** Records of the `usage` stream. */
package org.hickorytiller.usage

import com.fasterxml.jackson.annotation.JsonSubTypes
import com.fasterxml.jackson.annotation.JsonTypeInfo
import org.hickorytiller.core.StreamName
import org.hickorytiller.leases.Duty

/** Name of the stream. */
val USAGE_STREAM = StreamName("usage")

/** Version of the record formats that this code understands. */
const val USAGE_SCHEMA = 1

/** The duty of fixing and reporting usage windows. */
val USAGE_DUTY = Duty("usage-windows")

/** Maximum entries of a record: 1,000 entries of at most about 220 bytes stay below the record limit of 256 KiB. */
const val MAX_ENTRIES_PER_RECORD = 1_000

/** Number of a usage window. Windows are numbered consecutively. */
@JvmInline
value class WindowId(val value: Long) : Comparable<WindowId> {
    override fun compareTo(other: WindowId) = value.compareTo(other.value)

    override fun toString() = value.toString()

    /** Returns the number of the window after this one. */
    fun next() = WindowId(value + 1)
}

/**
 * Usage of one customer in one class and one pool.
 *
 * @property busyMs time for which requests occupied a slot; the demand of a pool is derived from it
 */
data class UsageEntry(
    val customer: String,
    val requestClass: String,
    val pool: String,
    val requests: Long,
    val promptTokens: Long,
    val generatedTokens: Long,
    val busyMs: Long = 0,
)

/** A record of the stream. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes(
    JsonSubTypes.Type(UsageFlush::class, name = "UsageFlush"),
    JsonSubTypes.Type(WindowFixed::class, name = "WindowFixed"),
    JsonSubTypes.Type(WindowAcknowledged::class, name = "WindowAcknowledged"),
)
sealed interface UsageRecord {
    val schema: Int
}

/**
 * Usage that a router has counted since its last flush. [sequence] numbers the flushes of one process [run] of the
 * router from 1. A flush is retried with the same number until it is acknowledged; only then is the next one sent.
 *
 * @property spanMs length of the time span that the entries cover
 */
data class UsageFlush(
    val router: String,
    val run: String,
    val sequence: Long,
    val spanMs: Long,
    val entries: List<UsageEntry>,
    override val schema: Int = USAGE_SCHEMA,
) : UsageRecord

/**
 * Part [part] (from 0) of [parts] of the figures of a window, which sum up all flushes after the previous window up to
 * [throughOffset]. [fixId] identifies one attempt to fix the window. [runs] of all parts together are the last
 * sequences of the routers' process runs at [throughOffset], so that a reader can start here when older flushes have
 * been dropped.
 */
data class WindowFixed(
    val windowId: Long,
    val fixId: String,
    val part: Int,
    val parts: Int,
    val throughOffset: Long,
    val fencingToken: Long,
    val figures: List<UsageEntry>,
    val runs: Map<String, Long>,
    override val schema: Int = USAGE_SCHEMA,
) : UsageRecord

/** Records that the platform has accepted the report of a window. */
data class WindowAcknowledged(val windowId: Long, override val schema: Int = USAGE_SCHEMA) : UsageRecord
