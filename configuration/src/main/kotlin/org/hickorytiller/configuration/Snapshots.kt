/**
 * Snapshots of the state on the stream, so that a reader can start after the log has dropped old records. A snapshot
 * depends only on the log prefix, so snapshots of concurrent writers are consistent.
 */
package org.hickorytiller.configuration

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.TimeMs
import java.io.ByteArrayOutputStream
import java.security.MessageDigest
import java.util.Base64

/**
 * A snapshot on the stream.
 *
 * @property throughOffset offset of the last record that it covers
 * @property completedAt offset of its last part
 */
data class SnapshotPosition(val throughOffset: LogOffset, val completedAt: LogOffset)

/** Returns the records that store [state] as a snapshot. [snapshotId] must be unique. */
fun snapshotRecords(state: ConfigurationState, snapshotId: String): List<Snapshot> {
    val bytes = encodeState(state)
    val chunks = compress(bytes).asList().chunked(MAX_CHUNK_BYTES) { it.toByteArray() }
    return chunks.mapIndexed { part, chunk ->
        Snapshot(
            snapshotId,
            part,
            chunks.size,
            state.offset.value,
            Base64.getEncoder().encodeToString(chunk),
            sha256(bytes),
        )
    }
}

/**
 * Returns whether the holder of the snapshot lease must write a snapshot now.
 *
 * @param last the newest snapshot on the stream; null if there is none
 * @param lastReadAt when this process read the last part of [last]; null if there is none or it was already on the
 *   stream at process start
 * @param earliest oldest retained offset
 * @param end offset of the next record to be appended
 * @param retentionMs time for which the log retains a record
 */
fun isSnapshotDue(
    last: SnapshotPosition?,
    lastReadAt: TimeMs?,
    earliest: LogOffset,
    end: LogOffset,
    now: TimeMs,
    retentionMs: Long,
): Boolean {
    if (end.value == 0L) return false
    // The age of a snapshot from before process start is unknown; an unnecessary snapshot costs little.
    if (last == null || lastReadAt == null || last.throughOffset.next() < earliest) return true
    if (now - lastReadAt >= retentionMs / SNAPSHOTS_PER_RETENTION) return true
    // A log with a size limit may drop records before the retention time has passed.
    val dropsRecords = earliest.value > 0
    val recordsSinceLast = end.value - 1 - last.completedAt.value
    return dropsRecords &&
        recordsSinceLast > 0 &&
        recordsSinceLast * SNAPSHOTS_PER_RETENTION >= end.value - earliest.value
}

/** Assembles snapshots from their parts. */
internal class SnapshotAssembler {
    private val parts = LinkedHashMap<String, MutableMap<Int, Snapshot>>()

    /** Returns the state of the snapshot that [part] at [at] completes, null if parts are missing, or a fault. */
    fun add(part: Snapshot, at: LogOffset): Either<String, ConfigurationState?> {
        if (part.throughOffset >= at.value) return "snapshot ${part.snapshotId} covers later records".left()
        val collected = parts.getOrPut(part.snapshotId) { HashMap() }
        collected.putIfAbsent(part.part, part)
        while (parts.size > MAX_INCOMPLETE_SNAPSHOTS) parts.remove(parts.keys.first())
        if (collected.size < part.parts) return null.right()
        parts.remove(part.snapshotId)
        return assemble(collected.toSortedMap().values.toList())
    }

    private fun assemble(parts: List<Snapshot>): Either<String, ConfigurationState> {
        val first = parts.first()
        val consistent =
            parts.all {
                it.parts == first.parts && it.throughOffset == first.throughOffset && it.stateHash == first.stateHash
            }
        if (!consistent) return "parts of snapshot ${first.snapshotId} are inconsistent".left()
        val bytes = concatenate(parts).flatMap(::decompress).getOrElse { return it.left() }
        if (sha256(bytes) != first.stateHash) return "snapshot ${first.snapshotId} does not match its hash".left()
        return decodeState(bytes).flatMap {
            if (it.offset.value == first.throughOffset) it.right() else "offset of the state differs".left()
        }
    }

    private fun concatenate(parts: List<Snapshot>): Either<String, ByteArray> = try {
        val chunks = ByteArrayOutputStream()
        parts.forEach { chunks.write(Base64.getDecoder().decode(it.state)) }
        chunks.toByteArray().right()
    } catch (e: IllegalArgumentException) {
        "snapshot is malformed: ${e.message}".left()
    }
}

private fun sha256(bytes: ByteArray): String =
    MessageDigest.getInstance("SHA-256").digest(bytes).joinToString("") { "%02x".format(it) }

private const val SNAPSHOTS_PER_RETENTION = 4

/** 240,000 characters in Base64, which leaves space for the other fields within the record size limit. */
private const val MAX_CHUNK_BYTES = 180_000
private const val MAX_INCOMPLETE_SNAPSHOTS = 8
