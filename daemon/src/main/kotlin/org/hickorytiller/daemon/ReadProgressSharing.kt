/**
 * Lets a few hosts read the platform's store for all. A reader reports to its peers where the topics end, and which of
 * their messages it had received before the read. A host that finds its own message there knows by its own clock when
 * it sent it, so neither another host's clock nor a network delay can make an old read look fresh.
 */
package org.hickorytiller.daemon

import org.hickorytiller.core.ClockReading
import org.hickorytiller.core.HostId
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.ProcessId
import org.hickorytiller.mesh.PeerTable
import org.hickorytiller.mesh.StoreReadProgress

/** Read progress that the process run [process] of [host] shares and receives. Confined to the event loop. */
internal class ReadProgressSharing(
    private val host: HostId,
    private val process: ProcessId,
    private val peers: PeerTable,
    private val now: () -> ClockReading,
) {
    private val sentAt = LinkedHashMap<Long, ClockReading>()

    /** Whether this host reads for others: it is among the first hosts that can serve, in the order of their names. */
    fun isReader(): Boolean = peers.alive().count { it.canServe && it.host.value < host.value } < READERS

    /** Records that this host's message numbered [sequence] is being sent. */
    fun recordSent(sequence: Long) {
        sentAt[sequence] = now()
        if (sentAt.size > MAX_SENT_MESSAGES) sentAt.remove(sentAt.keys.first())
    }

    /** The ends of the topics as read at [readAt]; null if this host is no reader or the read is missing or too old. */
    fun readProgress(configurationEnd: LogOffset, serversEnd: LogOffset, readAt: ClockReading?): StoreReadProgress? {
        if (readAt == null || !isReader() || now().monotonic - readAt.monotonic > MAX_AGE_MS) return null
        return StoreReadProgress(configurationEnd, serversEnd, peers.lastMessagesBefore(readAt.monotonic, MAX_MESSAGES))
    }

    /** Time at which this host sent the message that precedes the read in [readProgress]; null if it names none. */
    fun lastMessageSentAt(readProgress: StoreReadProgress): ClockReading? =
        readProgress.lastReceived[host]?.takeIf { it.run == process }?.let { sentAt[it.sequence] }

    private companion object {
        // Two, so that the loss of one has no effect on the other hosts.
        const val READERS = 2

        // Longer than a reader's read waits for changes.
        const val MAX_AGE_MS = 1_500L

        // Keeps a status within one datagram. Hosts that are left out read the store themselves.
        const val MAX_MESSAGES = 128

        // More than a host sends within the maximum age of a proof.
        const val MAX_SENT_MESSAGES = 64
    }
}
