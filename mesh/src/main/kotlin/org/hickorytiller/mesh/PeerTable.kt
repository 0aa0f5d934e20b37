/**
 * The other hosts as far as their messages tell. A host is alive while its messages come; nothing is agreed on, and a
 * wrong belief costs a caller one failed connection at most.
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
 * @property silenceMs time without a message after which a host is taken for dead
 * @property forgetMs time without a message after which nothing is sent to an address any more
 */
data class MeshRules(val intervalMs: Long = 500, val silenceMs: Long = 1_800, val forgetMs: Long = 120_000)

/** State of the peers. Confined to the event loop. */
class PeerTable(private val clock: Clock, private val own: HostId, private val rules: MeshRules = MeshRules()) {
    private val heard = HashMap<HostId, Heard>()
    private val addresses = HashMap<InetSocketAddress, TimeMs>()

    /** Adds an address at which a host may be. */
    fun addAddress(address: InetSocketAddress) {
        addresses.putIfAbsent(address, clock())
    }

    /** Takes a message. Returns whether it is the first from this run of its host. */
    fun receive(status: HostStatus): Boolean {
        if (status.host == own) return false
        val known = heard[status.host]
        val sameRun = known?.status?.run == status.run
        if (known != null && sameRun && status.sequence <= known.status.sequence) return false
        if (known != null && known.status.meshAddress != status.meshAddress) addresses -= known.status.meshAddress
        heard[status.host] = Heard(status, clock(), known.takeIf { sameRun }?.arrivals ?: ArrayDeque())
        addresses[status.meshAddress] = clock()
        status.peers.forEach(::addAddress)
        return !sameRun
    }

    /** Where to send the own status. */
    fun destinations(): List<InetSocketAddress> {
        val oldest = clock() - rules.forgetMs
        addresses.values.removeIf { it < oldest }
        return addresses.keys.toList()
    }

    /** The latest status of every host that is alive, the own one not included. */
    fun alive(): List<HostStatus> {
        val oldest = clock() - rules.silenceMs
        return heard.values.filter { it.at >= oldest }.map { it.status }
    }

    /** The newest message that had arrived before [at], for each of up to [most] hosts that have sent one. */
    fun lastMessagesBefore(at: TimeMs, most: Int): Map<HostId, MessageId> = heard.entries.asSequence()
        .mapNotNull { (host, known) ->
            known.arrivals.lastOrNull { it.first < at }?.let { host to MessageId(known.status.run, it.second) }
        }
        .take(most)
        .toMap()

    /** The requests in flight of all hosts that are alive, by server. */
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
     * The time of day in milliseconds since 1970 by the median of all hosts' clocks, of which the own one reads
     * [ownWallMs]. A few clocks that have jumped do not move it.
     */
    fun medianWallMs(ownWallMs: Long): Long {
        val now = clock()
        val oldest = now - rules.silenceMs
        val readings = heard.values.filter { it.at >= oldest }.map { it.status.wallMs + (now - it.at) } + ownWallMs
        return readings.sorted()[(readings.size - 1) / 2]
    }

    /** The newest status of a host, and when the last messages of its run arrived. */
    private class Heard(val status: HostStatus, val at: TimeMs, val arrivals: ArrayDeque<Pair<TimeMs, Long>>) {
        init {
            arrivals.addLast(at to status.sequence)
            if (arrivals.size > MAX_ARRIVALS) arrivals.removeFirst()
        }
    }

    private companion object {
        // More than arrive while a read of the store waits.
        const val MAX_ARRIVALS = 8
    }
}
