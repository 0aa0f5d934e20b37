/**
 * The other hosts according to their messages. A host counts as alive while its messages arrive. There is no agreement
 * among hosts; a wrong state costs a caller one failed connection at most.
 */
package org.hickorytiller.mesh

import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.Clock
import org.hickorytiller.core.HostId
import org.hickorytiller.core.TimeMs
import org.hickorytiller.placement.ServerLoad
import java.net.InetSocketAddress

/**
 * @property intervalMs time between two messages to the same host
 * @property silenceMs time without a message after which a host counts as dead
 * @property forgetMs time without a message after which an address is removed
 */
data class MeshRules(val intervalMs: Long = 500, val silenceMs: Long = 1_800, val forgetMs: Long = 120_000)

/** State of the peers. Confined to the event loop. */
class PeerTable(private val clock: Clock, private val localHost: HostId, private val rules: MeshRules = MeshRules()) {
    private val states = HashMap<HostId, PeerState>()
    private val addresses = HashMap<InetSocketAddress, TimeMs>()

    /** Adds an address at which there may be a host. */
    fun addAddress(address: InetSocketAddress) {
        addresses.putIfAbsent(address, clock())
    }

    /** Applies a message. Returns whether it is the first of its process run. */
    fun receive(status: HostStatus): Boolean {
        if (status.host == localHost) return false
        val last = states[status.host]
        val isSameRun = last?.status?.run == status.run
        if (last != null && isSameRun && status.sequence <= last.status.sequence) return false
        if (last != null && last.status.meshAddress != status.meshAddress) addresses -= last.status.meshAddress
        // A new process run starts with no arrivals. PeerState adds this one.
        states[status.host] = PeerState(status, clock(), last.takeIf { isSameRun }?.arrivals ?: ArrayDeque())
        addresses[status.meshAddress] = clock()
        status.peers.forEach(::addAddress)
        return !isSameRun
    }

    /** Addresses to send the local host's status to. */
    fun destinations(): List<InetSocketAddress> {
        val oldest = clock() - rules.forgetMs
        addresses.values.removeIf { it < oldest }
        return addresses.keys.toList()
    }

    /** The latest status of every peer that is alive. */
    fun alive(): List<HostStatus> {
        val oldest = clock() - rules.silenceMs
        return states.values.filter { it.receivedAt >= oldest }.map { it.status }
    }

    /** The newest message received before [at], for each of up to [limit] hosts that have sent one. */
    fun lastMessagesBefore(at: TimeMs, limit: Int): Map<HostId, MessageId> = states.entries.asSequence()
        .mapNotNull { (host, state) ->
            state.arrivals.lastOrNull { it.first < at }?.let { host to MessageId(state.status.run, it.second) }
        }
        .take(limit)
        .toMap()

    /** The requests in flight of all peers that are alive, by server. */
    fun load(): Map<BackendServerId, ServerLoad> {
        val sums = HashMap<BackendServerId, ServerLoad>()
        for (status in alive()) {
            status.load.forEach { (server, figures) ->
                sums.merge(server, figures) { a, b ->
                    ServerLoad(a.requests + b.requests, a.pendingPrefillTokens + b.pendingPrefillTokens)
                }
            }
        }
        return sums
    }

    /**
     * The wall-clock time in milliseconds since 1970 as the median of all hosts' clocks, of which the local one reads
     * [localWallMs]. A few clocks that have jumped do not affect it.
     */
    fun medianWallMs(localWallMs: Long): Long {
        val now = clock()
        val oldest = now - rules.silenceMs
        val readings =
            states.values.filter { it.receivedAt >= oldest }.map { it.status.wallMs + (now - it.receivedAt) } +
                localWallMs
        return readings.sorted()[(readings.size - 1) / 2]
    }

    /**
     * The newest status of a host.
     *
     * @property arrivals arrival times and sequence numbers of the last messages of its process run, oldest first
     */
    private class PeerState(
        val status: HostStatus,
        val receivedAt: TimeMs,
        val arrivals: ArrayDeque<Pair<TimeMs, Long>>,
    ) {
        init {
            arrivals.addLast(receivedAt to status.sequence)
            if (arrivals.size > MAX_ARRIVALS) arrivals.removeFirst()
        }
    }

    private companion object {
        // More than a host sends while a read of the store waits for changes.
        const val MAX_ARRIVALS = 8
    }
}
