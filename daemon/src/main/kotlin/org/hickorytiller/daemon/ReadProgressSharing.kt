/**
 * Lets a few hosts read the platform's store for all. A reader tells its peers where the topics end, and which of their
 * messages it had received before it asked. A host that finds its own message there knows when it sent it, by its own
 * clock, so no clock of another host and no delay on the way can make old knowledge look fresh.
 */
package org.hickorytiller.daemon

import org.hickorytiller.core.ClockReading
import org.hickorytiller.core.HostId
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.ProcessId
import org.hickorytiller.mesh.PeerTable
import org.hickorytiller.mesh.StoreReadProgress

/** Vouches of the run [process] of [host]. Confined to the event loop. */
internal class ReadProgressSharing(
    private val host: HostId,
    private val process: ProcessId,
    private val peers: PeerTable,
    private val now: () -> ClockReading,
) {
    private val sentAt = LinkedHashMap<Long, ClockReading>()

    /** Whether this host reads for others: it is among the first hosts that serve, in the order of their names. */
    fun isReader(): Boolean = peers.alive().count { it.canServe && it.host.value < host.value } < READERS

    /** Records that the own message numbered [sequence] is being sent. */
    fun sent(sequence: Long) {
        sentAt[sequence] = now()
        if (sentAt.size > KEPT_MESSAGES) sentAt.remove(sentAt.keys.first())
    }

    /** What this host may tell: the ends of the topics as it read them at [readAt]; null if that is of no use. */
    fun readProgress(configurationEnd: LogOffset, serversEnd: LogOffset, readAt: ClockReading?): StoreReadProgress? {
        if (readAt == null || !isReader() || now().monotonic - readAt.monotonic > MAX_AGE_MS) return null
        return StoreReadProgress(configurationEnd, serversEnd, peers.lastMessagesBefore(readAt.monotonic, MAX_HEARD))
    }

    /** When this host sent the message that [readProgress] proves to be older than the read; null if it names none. */
    fun readingOf(readProgress: StoreReadProgress): ClockReading? =
        readProgress.heard[host]?.takeIf { it.run == process }?.let { sentAt[it.sequence] }

    private companion object {
        // Two, so that the loss of one is not noticed.
        const val READERS = 2

        // Longer than a read of a reader waits.
        const val MAX_AGE_MS = 1_500L

        // Keeps a status within one datagram. Hosts that are left out read for themselves.
        const val MAX_HEARD = 128

        // More than are sent within the age that a proof may have.
        const val KEPT_MESSAGES = 64
    }
}
