/**
 * Snapshots of the state on the stream, so that a reader can start although the log has dropped old records. A
 * snapshot is a function of the log prefix, so two writers do no harm.
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

/** The records that store [state] as the snapshot [snapshotId], which no other snapshot may have. */
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
 * Whether whoever holds the snapshot lease has to write a snapshot now.
 *
 * @param last the newest snapshot on the stream; null if there is none
 * @param lastAt when this process read that part; null if there is none or it was there when the process started
 * @param earliest oldest offset still retained
 * @param end offset that the next record will get
 * @param retentionMs time for which the log retains a record
 */
fun isSnapshotDue(
    last: SnapshotPosition?,
    lastAt: TimeMs?,
    earliest: LogOffset,
    end: LogOffset,
    now: TimeMs,
    retentionMs: Long,
): Boolean {
    if (end.value == 0L) return false
    // The age of a snapshot that was there at the start is unknown; one snapshot too many costs little.
    if (last == null || lastAt == null || last.throughOffset.next() < earliest) return true
    if (now - lastAt >= retentionMs / SNAPSHOTS_PER_RETENTION) return true
    // A log that limits its size may drop records before the time is up.
    val dropsRecords = earliest.value > 0
    val since = end.value - 1 - last.completedAt.value
    return dropsRecords && since > 0 && since * SNAPSHOTS_PER_RETENTION >= end.value - earliest.value
}

/** Collects the parts of snapshots. */
internal class SnapshotAssembler {
    private val parts = LinkedHashMap<String, MutableMap<Int, Snapshot>>()

    /** The state of the snapshot that [part] at [at] completes; null if parts are missing; or why it is unusable. */
    fun add(part: Snapshot, at: LogOffset): Either<String, ConfigurationState?> {
        if (part.throughOffset >= at.value) return "snapshot ${part.snapshotId} is ahead of its own offset".left()
        val known = parts.getOrPut(part.snapshotId) { HashMap() }
        known.putIfAbsent(part.part, part)
        while (parts.size > MAX_ASSEMBLIES) parts.remove(parts.keys.first())
        if (known.size < part.parts) return null.right()
        parts.remove(part.snapshotId)
        return assemble(known.toSortedMap().values.toList())
    }

    private fun assemble(parts: List<Snapshot>): Either<String, ConfigurationState> {
        val first = parts.first()
        val consistent =
            parts.all {
                it.parts == first.parts && it.throughOffset == first.throughOffset && it.stateHash == first.stateHash
            }
        if (!consistent) return "parts of snapshot ${first.snapshotId} contradict each other".left()
        val bytes = joined(parts).flatMap(::decompress).getOrElse { return it.left() }
        if (sha256(bytes) != first.stateHash) return "snapshot ${first.snapshotId} does not match its hash".left()
        return decodeState(bytes).flatMap {
            if (it.offset.value == first.throughOffset) it.right() else "state of another offset".left()
        }
    }

    private fun joined(parts: List<Snapshot>): Either<String, ByteArray> = try {
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

/** In Base64 240,000 characters, which leaves room for the other fields within the record limit. */
private const val MAX_CHUNK_BYTES = 180_000
private const val MAX_ASSEMBLIES = 8
