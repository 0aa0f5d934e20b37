/**
 * Keeps requests away from servers that have stated that they leave, or that have refused a request and asked for time.
 *
 * A statement belongs to one run of a server and not to its address or id. That a server leaves holds for every host,
 * so hosts tell each other; a refusal holds for the host that was refused.
 */
package org.hickorytiller.placement

import org.hickorytiller.core.Clock
import org.hickorytiller.core.HostId
import org.hickorytiller.core.TimeMs
import kotlin.math.max

/** [run] stated that it leaves; [ageMs] is the time from its latest statement to the sending of the message. */
data class LeavingNotice(val run: ServerRun, val ageMs: Long)

/** A change of what the host assumes about a server. */
sealed interface ServerStatementChange {
    /** The server has stated that it leaves: to this host if [isOwn], otherwise to a peer. */
    data class Leaves(val isOwn: Boolean) : ServerStatementChange

    /** The server wants no requests from this host for the next [pauseMs]. */
    data class Pauses(val pauseMs: Long) : ServerStatementChange

    /** The server is used again after it asked for time. */
    data object Returns : ServerStatementChange
}

/** Called for each change of what the host assumes about a server. */
typealias OnServerStatementChange = (ServerRun, ServerStatementChange) -> Unit

/**
 * @property spreadMs time after the end of a pause within which the hosts begin to use the server, each at its own time
 * @property rampStepMs time for each further request after the first one that follows a pause
 * @property rampMs time from the first request after a pause to the unlimited use of the server
 * @property forgetMs time after the latest statement for which a server that is not listed is remembered; it spans the
 *   times for which an entry may be missing near an outage of the store
 * @property sharingMs time after the latest statement for which peers are told; it spans the loss of several messages
 *   and the cut of a host from its peers
 * @property maxShared maximum number of notices in a message; the oldest are omitted
 * @property maxServers maximum number of servers that are remembered; peers could name any number
 */
data class ServerStatementRules(
    val spreadMs: Long = 250,
    val rampStepMs: Long = 25,
    val rampMs: Long = 500,
    val forgetMs: Long = 120_000,
    val sharingMs: Long = 10_000,
    val maxShared: Int = 200,
    val maxServers: Int = 10_000,
)

/** The servers that leave or have asked for time, as known to [localHost]. Confined to the event loop. */
class ServerStatements(
    private val clock: Clock,
    private val localHost: HostId,
    private val rules: ServerStatementRules = ServerStatementRules(),
    private val onChange: OnServerStatementChange = { _, _ -> },
) {
    private val leaving = HashMap<ServerRun, Leaving>()
    private val pauses = HashMap<ServerRun, Pause>()
    private var listed: Set<ServerRun> = emptySet()

    /** Records what [run] stated in an answer to this host. */
    fun stated(run: ServerRun, statement: ServerStatement) {
        if (statement.isLeaving) leaves(run, clock(), isOwn = true)
        statement.pauseMs?.let { pause(run, it) }
    }

    /** Applies what servers stated to peers. */
    fun applyPeerNotices(notices: List<LeavingNotice>) =
        notices.filter { it.ageMs <= rules.forgetMs }.forEach { leaves(it.run, clock() - it.ageMs, isOwn = false) }

    /** Returns the servers that have recently stated that they leave, to be sent to peers. */
    fun recentNotices(): List<LeavingNotice> {
        if (leaving.isEmpty() && pauses.isEmpty()) return emptyList()
        forgetOld()
        val now = clock()
        return leaving.entries.filter { now - it.value.statedAt <= rules.sharingMs }
            .sortedByDescending { it.value.statedAt }
            .take(rules.maxShared)
            .map { (run, leaving) -> LeavingNotice(run, now - leaving.statedAt) }
    }

    /** Replaces the listed servers. What a listed server has stated is not forgotten. */
    fun replaceListed(runs: Set<ServerRun>) {
        listed = runs
        forgetOld()
    }

    /** Whether [run] has stated that it leaves. */
    fun isLeaving(run: ServerRun): Boolean = leaving.isNotEmpty() && run in leaving

    /** Whether this host may send a request to [run] now. */
    fun allows(run: ServerRun): Boolean = !isLeaving(run) && waitMs(run) == 0L

    /** Time in milliseconds until this host may send a request to [run] as far as its refusals go; 0 if it may now. */
    fun waitMs(run: ServerRun): Long {
        if (pauses.isEmpty()) return 0
        val pause = pauses[run] ?: return 0
        return max(0, pause.nextAt() - clock())
    }

    /** Records that this host sends a request to [run]. */
    fun sent(run: ServerRun) {
        if (pauses.isNotEmpty()) pauses[run]?.sent(run)
    }

    /** Returns the servers that have stated that they leave. */
    fun leaving(): Set<ServerRun> = leaving.keys

    /** Returns the servers that have asked for time, with the time in milliseconds until they are used again. */
    fun pausing(): Map<ServerRun, Long> = pauses.keys.associateWith(::waitMs).filterValues { it > 0 }

    private fun leaves(run: ServerRun, at: TimeMs, isOwn: Boolean) {
        val known = leaving[run]
        if (known != null) {
            known.statedAt = maxOf(known.statedAt, at)
        } else if (leaving.size < rules.maxServers) {
            leaving[run] = Leaving(at)
            onChange(run, ServerStatementChange.Leaves(isOwn))
        }
    }

    private fun pause(run: ServerRun, durationMs: Long) {
        val endsAt = clock() + durationMs
        val known = pauses[run]
        // Of several refusals the one that ends last counts.
        if (known != null && endsAt <= known.endsAt) return
        pauses[run] = Pause(endsAt, spreadOf(run))
        onChange(run, ServerStatementChange.Pauses(durationMs))
    }

    /** The delay with which this host returns to [run], which differs by host. */
    private fun spreadOf(run: ServerRun): Long =
        Math.floorMod(rendezvousWeight(localHost.value.hashCode().toLong(), run.id), rules.spreadMs)

    private fun forgetOld() {
        val now = clock()
        leaving.entries.removeIf { it.key !in listed && now - it.value.statedAt > rules.forgetMs }
        pauses.entries.removeIf { it.key !in listed && now - it.value.endsAt > rules.forgetMs }
    }

    private class Leaving(var statedAt: TimeMs)

    /** A time without requests, followed by a time in which their number grows, counted from the first one. */
    private inner class Pause(val endsAt: TimeMs, spreadMs: Long) {
        private val returnsAt = endsAt + spreadMs
        private var firstSentAt: TimeMs? = null
        private var sent = 0

        fun nextAt(): TimeMs = firstSentAt?.let { it + sent * rules.rampStepMs } ?: returnsAt

        fun sent(run: ServerRun) {
            val now = clock()
            // A moved run may continue on a server that wants no new requests.
            if (now < returnsAt) return
            if (firstSentAt == null) {
                firstSentAt = now
                onChange(run, ServerStatementChange.Returns)
            }
            sent++
            if (firstSentAt?.let { now - it >= rules.rampMs } == true) pauses.remove(run, this)
        }
    }
}
