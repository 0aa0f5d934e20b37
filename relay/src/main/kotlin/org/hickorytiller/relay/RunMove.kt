/**
 * Moves the runs of streams off servers that are about to stop. The engine copies the memory of the run to another
 * server and ends it on the first one, so the stream goes on as the same run, even if it may not be resumed.
 */
package org.hickorytiller.relay

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.PoolId
import org.hickorytiller.placement.ServerRun
import org.hickorytiller.placement.run
import org.hickorytiller.routes.ResponseMode

/** Names a copy of the memory of a run on the server that made it. */
@JvmInline
value class RunHandle(val value: String)

/** A run that [source] has stopped, and that continues on [target] with the copy called [handle]. */
class MovedRun(val source: BackendServer, val target: BackendServer, val handle: RunHandle)

/** What is known about a run after its server was told to move it. */
sealed interface MoveResult {
    /** The server has stopped the run and copied it. */
    data class Moved(val run: MovedRun) : MoveResult

    /** The run had ended by itself before. */
    data object RunEnded : MoveResult

    /** The run may have been stopped. */
    data object Unknown : MoveResult
}

/** Stops the run of a request on the first server and copies it to the second. */
typealias MoveRun = suspend (RequestId, BackendServer, BackendServer) -> MoveResult

/** Returns whether the engines of a pool can move runs. */
typealias CanMoveRuns = (PoolId) -> Boolean

/**
 * How runs are moved.
 *
 * @property leadMs time before a server stops at which its runs are moved; longer than copies of all its runs take
 * @property defaultNoticeMs time from the notice to the stop of a server that does not state it
 */
class RunMoves(
    val departures: Departures,
    val move: MoveRun,
    val canMoveRuns: CanMoveRuns,
    val leadMs: Long = 1_300,
    val defaultNoticeMs: Long = 2_000,
) {
    /** Time to wait after the notice of [server] before its runs are moved, in which most of them end by themselves. */
    fun delayMs(server: BackendServer): Long = ((server.noticeMs ?: defaultNoticeMs) - leadMs).coerceAtLeast(0)

    /**
     * Starts to wait in [scope] until [server] is about to stop, and then moves the run of [request] to the server that
     * [chooseTarget] returns, if any. Returns null if the response is no stream or its engine cannot move runs.
     */
    internal fun startIfSupported(
        scope: CoroutineScope,
        request: RelayRequest,
        server: BackendServer,
        chooseTarget: () -> BackendServer?,
    ): PendingMove? {
        if (request.route.responseMode != ResponseMode.STREAM || !canMoveRuns(request.pool)) return null
        return PendingMove(scope) { begin ->
            delay(delayMs(departures.await(server)))
            chooseTarget()?.let { target ->
                begin()
                move(request.id, server, target)
            }
        }
    }
}

/** A move that begins when the server of a run is about to stop. */
internal class PendingMove(scope: CoroutineScope, work: suspend (begin: () -> Unit) -> MoveResult?) {
    private var hasBegun = false
    private val run = scope.async { work { hasBegun = true } }

    /** Returns the result of the move once it is known; null if the move has not begun. */
    suspend fun awaitIfBegun(): MoveResult? = if (hasBegun) run.await() else null

    /** Ends the move. */
    fun cancel() = run.cancel()
}

/**
 * The servers that are about to stop. Confined to the event loop.
 *
 * @property isLeaving whether the run of a server has stated that it leaves, whatever its entry says
 */
class Departures(private val isLeaving: (ServerRun) -> Boolean = { false }) {
    private val known = HashMap<BackendServerId, BackendServer>()
    private val waiting = HashMap<BackendServerId, CompletableDeferred<BackendServer>>()

    /** Replaces the listed servers. A server that is no longer listed may still serve for a while. */
    fun replace(current: Collection<BackendServer>) {
        val listed = current.associateBy { it.id }
        known.filterKeys { it !in listed }.values.forEach(::depart)
        known.clear()
        known += listed
        current.filter { it.state == BackendServerState.LEAVING }.forEach(::depart)
    }

    /** Records that [run] has stated that it leaves. */
    fun stated(run: ServerRun) {
        known[run.id]?.takeIf { it.run == run }?.let(::depart)
    }

    /** Suspends until [server] is about to stop; returns its entry. */
    suspend fun await(server: BackendServer): BackendServer {
        known[server.id]?.takeIf { it.state == BackendServerState.LEAVING }?.let { return it }
        if (isLeaving(server.run)) return known[server.id] ?: server
        return waiting.getOrPut(server.id) { CompletableDeferred() }.await()
    }

    private fun depart(server: BackendServer) {
        waiting.remove(server.id)?.complete(server)
    }
}
