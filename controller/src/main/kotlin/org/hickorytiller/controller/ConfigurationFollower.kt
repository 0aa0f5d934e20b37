/** Tracks the accepted configuration in a controller and writes configuration snapshots for the snapshot duty. */
package org.hickorytiller.controller

import org.hickorytiller.configuration.CONFIGURATION_STREAM
import org.hickorytiller.configuration.ConfigurationReader
import org.hickorytiller.configuration.ConfigurationState
import org.hickorytiller.configuration.SnapshotPosition
import org.hickorytiller.configuration.StoredRecord
import org.hickorytiller.configuration.encodeConfigurationRecord
import org.hickorytiller.configuration.isSnapshotDue
import org.hickorytiller.configuration.snapshotRecords
import org.hickorytiller.core.Clock
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.TimeMs
import org.hickorytiller.platform.AppendToLog
import org.hickorytiller.platform.LogPage
import org.hickorytiller.platform.ReadLog
import org.hickorytiller.platform.followStream
import java.util.UUID

/** Follows the configuration stream. Confined to the event loop. [retentionMs] is how long the log keeps a record. */
internal class ConfigurationFollower(
    private val append: AppendToLog,
    private val read: ReadLog,
    private val clock: Clock,
    private val retentionMs: Long,
) {
    private val reader = ConfigurationReader()
    private var earliest = LogOffset(0)
    private var end = LogOffset(0)
    private var lastSnapshot: SnapshotPosition? = null
    private var lastSnapshotAt: TimeMs? = null

    /** The accepted configuration; empty until the first version is read. */
    val state: ConfigurationState get() = reader.state ?: EMPTY

    /** The reason why records are no longer applied; null while they are. */
    val fault: String?
        get() = reader.unsupportedRecord?.let {
            "$CONFIGURATION_STREAM: record ${it.offset} has the unknown schema ${it.schema}"
        }

    /** Follows the stream. Does not return. */
    suspend fun follow(): Nothing = followStream(read, CONFIGURATION_STREAM, reader.nextOffset) { applyPage(it) }

    /** Writes a snapshot if one is due and [mayWrite] is true before each part. Concurrent writers are harmless. */
    suspend fun writeSnapshotIfDue(mayWrite: () -> Boolean) {
        if (!reader.caughtUp) return
        if (!isSnapshotDue(reader.lastSnapshot, lastSnapshotAt, earliest, end, clock(), retentionMs)) return
        for (part in snapshotRecords(state, UUID.randomUUID().toString())) {
            if (!mayWrite()) return
            // Readers ignore a snapshot with missing parts; the next attempt writes a complete new one.
            if (append(CONFIGURATION_STREAM, encodeConfigurationRecord(part)).isLeft()) return
        }
    }

    private fun applyPage(page: LogPage) {
        val isCatchingUp = lastSnapshot == null && !reader.caughtUp
        earliest = page.earliest
        end = page.end
        reader.onPage(page.earliest, page.end, page.records.map { StoredRecord(it.offset, it.data) })
        val newest = reader.lastSnapshot
        if (newest == lastSnapshot) return
        lastSnapshot = newest
        // The age of a snapshot written before this process started is unknown.
        lastSnapshotAt = if (isCatchingUp) null else clock()
    }

    private companion object {
        val EMPTY = ConfigurationState()
    }
}
