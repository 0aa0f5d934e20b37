/**
 * Sends requests to backend servers and relays their responses. One coroutine handles one request sequentially: it
 * chooses a server, sends the request, and on failure decides whether to try another server. A request that is not
 * idempotent is sent to another server only if no server can have run it so far.
 */
package org.hickorytiller.relay

import arrow.core.getOrElse
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.Clock
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.Verdict
import org.hickorytiller.http.BodyBuffer
import org.hickorytiller.http.HttpStatus
import org.hickorytiller.http.MemoryBudget
import org.hickorytiller.http.ResponseHead
import org.hickorytiller.placement.Placement
import org.hickorytiller.placement.PlacementRequest
import org.hickorytiller.quarantine.CrashProbe
import org.hickorytiller.quarantine.ObservedRun
import org.hickorytiller.quarantine.SuspectTable
import org.hickorytiller.routes.ResponseMode
import java.net.InetSocketAddress

/** Called once a server has started to run a request or may have, at most once for each request. */
typealias OnRun = (RelayRequest) -> Unit

/** Called for each failed attempt. */
typealias OnAttemptFailed = (RelayRequest, BackendServerId, ExchangeFailure) -> Unit

/**
 * @property bufferedHeadTimeoutMs time to the response head of a plain service for a request that may be retried, after
 *   which another server is tried; the body may take until the deadline
 * @property streamHeadTimeoutMs time to the response head of a stream that may be resumed
 * @property eventGapTimeoutMs pause between complete events after which a server counts as lost, whatever other bytes
 *   it sends; callers disconnect after 2 s
 * @property maxBodyBytes size of a response without events above which it is abandoned; a faulty server may send bytes
 *   without end
 * @property minRemainingMs time before the deadline below which a request is not sent
 * @property maxWaitShare part of the time to the deadline for which a request waits while all servers have asked for
 *   time; the rest is for its run and for requests that wait as well
 * @property maxWaitStepMs time after which a waiting request looks for a server again, since one may have started
 * @property maxUnreachableServers number of unreachable servers after which a request is abandoned
 */
data class RelayRules(
    val bufferedHeadTimeoutMs: Long = 600,
    val streamHeadTimeoutMs: Long = 4_000,
    val eventGapTimeoutMs: Long = 1_700,
    val maxBodyBytes: Int = 4_194_304,
    val minRemainingMs: Long = 5,
    val maxUnreachableServers: Int = 4,
    val maxWaitShare: Double = 0.5,
    val maxWaitStepMs: Long = 100,
)

/** Callbacks through which the relay reports to the rest of the process. */
class RelayCallbacks(val onRun: OnRun, val onAttemptFailed: OnAttemptFailed)

/** How the relay reaches backend servers; [runMoves] is null if runs are not moved. */
class ServerAccess(
    val sendAttempt: SendAttempt,
    val crashProbe: CrashProbe,
    val suspects: SuspectTable,
    val runMoves: RunMoves? = null,
)

private fun ResponseHead.mayContinueStream() = status == HttpStatus.OK &&
    headers["content-type"]?.trimStart()?.startsWith("text/event-stream", ignoreCase = true) ?: true

/** Relays the requests of one host. Confined to the event loop. */
class Relay(
    private val clock: Clock,
    private val hostDomain: FailureDomain,
    private val placement: Placement,
    private val servers: ServerAccess,
    private val retryBudget: HostRetryBudget,
    private val callbacks: RelayCallbacks,
    private val rules: RelayRules = RelayRules(),
    private val memory: MemoryBudget = MemoryBudget.unlimited(),
) {
    private val suspects get() = servers.suspects

    /**
     * Runs [request] until its response is relayed, it cannot be retried, or [abandonment] completes with the reason to
     * give it up, which also ends the work of its server.
     */
    suspend fun run(
        request: RelayRequest,
        sink: ResponseSink,
        abandonment: Deferred<OutcomeReason> = CompletableDeferred(),
    ): RelayOutcome = coroutineScope {
        val execution = Execution(request, sink)
        val work = async { execution.runToCompletion() }
        val cancellation = abandonment.invokeOnCompletion { work.cancel() }
        try {
            work.await()
        } catch (e: CancellationException) {
            ensureActive()
            if (!abandonment.isCompleted) throw e
            execution.abandon(abandonment.await())
        } finally {
            cancellation.dispose()
        }
    }

    /** Result of one attempt. [failure] is null if the response was complete or the caller disconnected. */
    private class AttemptResult(val failure: ExchangeFailure?, val isCallerGone: Boolean = false)

    /** The progress of one request over all its attempts. */
    private inner class Execution(private val request: RelayRequest, private val sink: ResponseSink) {
        private val triedServers = HashSet<BackendServerId>()
        private val triedAddresses = HashSet<InetSocketAddress>()
        private val eventBuffer = EventBuffer()
        private var sendCount = 0
        private var unreachableCount = 0
        private var verdict = Verdict.NOT_RUN
        private var hasResponseStarted = false
        private var hasRun = false
        private var lastServer: BackendServerId? = null
        private var firstByteMs: Long? = null
        private var failure: ExchangeFailure? = null
        private var errorResponse: Pair<ResponseHead, ByteArray>? = null
        private var movedRun: MovedRun? = null
        private val reservation = memory.reservation()

        // Whether an attempt was begun whose result is not part of the verdict yet.
        private var isAttemptPending = false

        suspend fun runToCompletion(): RelayOutcome {
            retryBudget.recordRequest(request.pool)
            var finalOutcome: RelayOutcome? = null
            try {
                while (finalOutcome == null) finalOutcome = attemptNext()
            } finally {
                reservation.close()
            }
            return finalOutcome
        }

        /** Returns the outcome of the request, which was cancelled for [reason]. */
        fun abandon(reason: OutcomeReason): RelayOutcome {
            if (isAttemptPending) verdict = maxOf(verdict, Verdict.MAY_HAVE_RUN)
            return outcome(reason)
        }

        /** Makes the next attempt if it is allowed. Returns null if another attempt may follow. */
        private suspend fun attemptNext(): RelayOutcome? {
            if (request.deadline - clock() < rules.minRemainingMs) return finish(OutcomeReason.DEADLINE)
            if (suspects.isQuarantined(request.fingerprints, clock())) return finish(OutcomeReason.QUARANTINED)
            val moved = movedRun.also { movedRun = null }
            val server =
                moved?.target ?: placement.choose(placementRequestOf(request, triedServers))
                    ?: return if (awaitServer(request, triedServers)) null else finish(reasonOf(failure))
            // The budget was charged for a moved run before the move.
            if (moved == null &&
                sendCount > 0 &&
                !retryBudget.tryAcquire(request.pool)
            ) {
                return finish(reasonOf(failure))
            }
            val result = attemptWithMove(server, moved)
            failure = result.failure
            // A server that refused the request and asked for time may get it again afterwards.
            if (failure != ExchangeFailure.REFUSED || !placement.isWithdrawn(server)) triedServers += server.id
            return if (result.isCallerGone) outcome(OutcomeReason.CALLER_GONE) else evaluate(server, result.failure)
        }

        private suspend fun evaluate(server: BackendServer, failure: ExchangeFailure?): RelayOutcome? {
            isAttemptPending = false
            if (failure != null) {
                if (movedRun == null) callbacks.onAttemptFailed(request, server.id, failure)
                verdict = maxOf(verdict, failure.verdict)
                return if (movedRun != null || recordAndCheckRetry(failure)) null else finish(reasonOf(failure))
            }
            // The error response of a server is relayed at the end if no other server responds without an error.
            if (errorResponse == null) return outcome(OutcomeReason.ANSWERED)
            return if (canRetry()) null else finish(OutcomeReason.SERVER_ERROR)
        }

        // A stream whose events have no ids cannot be resumed.
        private fun canRetry() = request.route.isRetryable &&
            sendCount < request.route.maxAttempts &&
            (!hasResponseStarted || eventBuffer.lastEventId != null)

        private fun recordAndCheckRetry(failure: ExchangeFailure): Boolean = when (failure) {
            // A moved run that cannot reach its target has run already.
            ExchangeFailure.UNREACHABLE ->
                ++unreachableCount < rules.maxUnreachableServers && (verdict == Verdict.NOT_RUN || canRetry())
            ExchangeFailure.REFUSED, ExchangeFailure.WRONG_SERVER ->
                sendCount < request.route.maxAttempts && (verdict == Verdict.NOT_RUN || canRetry())
            ExchangeFailure.LOST, ExchangeFailure.TIMEOUT -> canRetry()
        }

        private suspend fun finish(reason: OutcomeReason): RelayOutcome {
            val error = errorResponse
            if (error != null && !hasResponseStarted) {
                hasResponseStarted = true
                if (!sink.sendResponse(error.first, error.second)) return outcome(OutcomeReason.CALLER_GONE)
                return outcome(OutcomeReason.SERVER_ERROR)
            }
            if (hasResponseStarted) return outcome(OutcomeReason.STREAM_BROKEN)
            return outcome(reason).copy(retryAfterMs = placement.returnMs(placementRequestOf(request, emptySet())))
        }

        private fun outcome(reason: OutcomeReason) =
            RelayOutcome(reason, verdict, hasResponseStarted, sendCount, lastServer, firstByteMs)

        /** Makes an attempt on [server] and moves its run elsewhere if the server is about to stop. */
        private suspend fun attemptWithMove(server: BackendServer, moved: MovedRun?): AttemptResult = coroutineScope {
            val pending = servers.runMoves?.startIfSupported(this, request, server) {
                placement.choose(placementRequestOf(request, triedServers + server.id))
                    ?.takeIf { retryBudget.tryAcquire(request.pool) }
            }
            try {
                val result = attemptOn(server, moved, pending)
                if (result.failure != null) {
                    movedRun = (pending?.awaitIfBegun() as? MoveResult.Moved)?.run?.takeIf(::mayContinue)
                }
                result
            } finally {
                pending?.cancel()
            }
        }

        private suspend fun attemptOn(
            server: BackendServer,
            moved: MovedRun?,
            pendingMove: PendingMove?,
        ): AttemptResult {
            lastServer = server.id
            // What an earlier attempt received is dropped, except for its error response.
            reservation.lowerTo(errorResponse?.second?.size?.toLong() ?: 0)
            val prefillTokens = placement.started(server.id, placementRequestOf(request, triedServers))
            val run = suspects.started(server.id, request.fingerprints)
            var isPrefilling = true
            try {
                val timeoutMs = request.deadline - clock()
                val resumeAfter = eventBuffer.lastEventId ?: request.resumeAfter
                val attempt =
                    Attempt(
                        server,
                        request,
                        timeoutMs,
                        responseHeadTimeoutMs(timeoutMs),
                        resumeAfter,
                        moved,
                        isAddressRepeated = !triedAddresses.add(server.address),
                    )
                isAttemptPending = true
                val response = servers.sendAttempt(attempt).getOrElse {
                    return probeIfLost(server, recordFailure(server, it))
                }
                // A moved run is still the same run.
                if (moved == null) sendCount++
                verdict = Verdict.RAN
                if (firstByteMs == null) firstByteMs = clock() - request.receivedAt
                placement.prefillEnded(server.id, prefillTokens)
                isPrefilling = false
                try {
                    return probeIfLost(server, relayResponse(server, response, run, pendingMove))
                } finally {
                    response.release()
                }
            } finally {
                if (isPrefilling) placement.prefillEnded(server.id, prefillTokens)
                placement.ended(server.id)
                suspects.ended(run)
            }
        }

        /** Probes [server] after a lost connection, while the request still counts as in flight on it. */
        private suspend fun probeIfLost(server: BackendServer, result: AttemptResult): AttemptResult {
            if (result.failure == ExchangeFailure.LOST) servers.crashProbe.detectCrash(server)
            return result
        }

        private fun recordFailure(server: BackendServer, failure: ExchangeFailure): AttemptResult {
            if (failure != ExchangeFailure.UNREACHABLE) sendCount++
            if (failure != ExchangeFailure.REFUSED) placement.failed(server.id)
            if (failure.verdict != Verdict.NOT_RUN) markRunning()
            return AttemptResult(failure)
        }

        private fun markRunning() {
            if (hasRun) return
            hasRun = true
            callbacks.onRun(request)
        }

        private fun responseHeadTimeoutMs(timeoutMs: Long): Long {
            val canRetryIfNextFails = request.route.isRetryable && sendCount + 1 < request.route.maxAttempts
            return when {
                !canRetryIfNextFails -> timeoutMs
                request.route.responseMode == ResponseMode.STREAM -> minOf(timeoutMs, rules.streamHeadTimeoutMs)
                else -> minOf(timeoutMs, rules.bufferedHeadTimeoutMs)
            }
        }

        private suspend fun relayResponse(
            server: BackendServer,
            response: StartedResponse,
            run: ObservedRun,
            pendingMove: PendingMove?,
        ): AttemptResult {
            val head = response.head
            // Once a part of a stream was relayed, only a response with events can continue it.
            val isStream =
                request.route.responseMode == ResponseMode.STREAM &&
                    head.status in SUCCESS &&
                    (!hasResponseStarted || head.mayContinueStream())
            return if (isStream) {
                relayStream(server, response, run, pendingMove)
            } else {
                relayComplete(server, response, run)
            }
        }

        private suspend fun relayComplete(
            server: BackendServer,
            response: StartedResponse,
            run: ObservedRun,
        ): AttemptResult {
            markRunning()
            val body = response.collectBody(
                clock,
                request.deadline,
                BodyBuffer(rules.maxBodyBytes, reservation),
            ).getOrElse {
                return failDuringResponse(server, it)
            }
            if (!isEndReliable(server, response)) return failDuringResponse(server, ExchangeFailure.LOST)
            // A response that is not a stream cannot continue the stream that the caller has received a part of.
            if (hasResponseStarted) return failDuringResponse(server, ExchangeFailure.LOST)
            if (response.head.status >= SERVER_ERRORS) {
                errorResponse = response.head to body
                return AttemptResult(failure = null)
            }
            placement.succeeded(server.id)
            if (response.head.status in SUCCESS) suspects.answered(run, clock())
            errorResponse = null
            hasResponseStarted = true
            return AttemptResult(null, isCallerGone = !sink.sendResponse(response.head, body))
        }

        private fun failDuringResponse(server: BackendServer, failure: ExchangeFailure): AttemptResult {
            placement.failed(server.id)
            return AttemptResult(failure)
        }

        private suspend fun relayStream(
            server: BackendServer,
            response: StartedResponse,
            run: ObservedRun,
            pendingMove: PendingMove?,
        ): AttemptResult {
            eventBuffer.startResponse()
            val gapMs = if (canRetry()) rules.eventGapTimeoutMs else null
            val reader = EventReader(clock, response, eventBuffer, request.deadline, gapMs, reservation)
            while (true) {
                val events = reader.next().getOrElse { return failDuringResponse(server, it) } ?: break
                markRunning()
                suspects.answerContinued(run, clock())
                if (!relayEvents(response.head, events)) return AttemptResult(null, isCallerGone = true)
            }
            if (eventBuffer.hasPartialEvent || !isEndReliable(server, response, pendingMove)) {
                return failDuringResponse(server, ExchangeFailure.LOST)
            }
            placement.succeeded(server.id)
            suspects.answered(run, clock())
            val blankLines = eventBuffer.takeBlankLines()
            // A stream without events is a response too.
            if (!relayEvents(response.head, blankLines)) return AttemptResult(null, isCallerGone = true)
            return AttemptResult(null, isCallerGone = !sink.endStream())
        }

        private suspend fun relayEvents(head: ResponseHead, events: ByteArray): Boolean {
            if (!hasResponseStarted) {
                hasResponseStarted = true
                errorResponse = null
                if (!sink.startStream(head)) return false
            }
            return events.isEmpty() || sink.sendEvents(events)
        }
    }

    /**
     * Whether the end of [response] is its real end. If only the end of the connection shows it, the server may as
     * well have stopped the run for a move, or have crashed between two events.
     */
    private suspend fun isEndReliable(
        server: BackendServer,
        response: StartedResponse,
        pendingMove: PendingMove? = null,
    ): Boolean {
        if (!response.endsWithConnection) return true
        val move = pendingMove?.awaitIfBegun()
        return (move == null || move == MoveResult.RunEnded) && servers.crashProbe.isReachable(server)
    }

    /** Whether [moved] may go on where it was copied to. Without room elsewhere it continues on its own server. */
    private fun mayContinue(moved: MovedRun) = moved.target == moved.source || !placement.isWithdrawn(moved.target)

    /**
     * Waits if all servers have asked for time and the first one returns early enough for [request]. Returns whether to
     * look for a server again.
     */
    private suspend fun awaitServer(request: RelayRequest, triedServers: Set<BackendServerId>): Boolean {
        val returnMs = placement.returnMs(placementRequestOf(request, triedServers)) ?: return false
        if (returnMs > (request.deadline - clock()) * rules.maxWaitShare) return false
        delay(returnMs.coerceIn(1, rules.maxWaitStepMs))
        return true
    }

    private fun placementRequestOf(request: RelayRequest, exclude: Set<BackendServerId>) =
        PlacementRequest(request.pool, request.prompt, hostDomain, exclude, request.route.eventGapTargetMs)

    private fun reasonOf(failure: ExchangeFailure?): OutcomeReason = when (failure) {
        null -> OutcomeReason.NO_SERVER
        ExchangeFailure.UNREACHABLE -> OutcomeReason.UNREACHABLE
        ExchangeFailure.REFUSED, ExchangeFailure.WRONG_SERVER -> OutcomeReason.REFUSED
        ExchangeFailure.LOST -> OutcomeReason.LOST
        ExchangeFailure.TIMEOUT -> OutcomeReason.DEADLINE
    }

    private companion object {
        val SUCCESS = 200..299
        const val SERVER_ERRORS = 500
    }
}
