/**
 * Sends requests to backend servers and passes their answers on. One coroutine runs one request straight down: choose
 * a server, send, and on failure decide whether the request may go to another one. A request that is not idempotent
 * goes to a second server only if the first one says that it has not run it.
 */
package org.hickorytiller.relay

import arrow.core.getOrElse
import kotlinx.coroutines.CancellationException
import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.Clock
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.Verdict
import org.hickorytiller.http.ResponseHead
import org.hickorytiller.placement.Placement
import org.hickorytiller.placement.PlacementRequest
import org.hickorytiller.quarantine.CrashProbe
import org.hickorytiller.routes.AnswerForm
import java.io.ByteArrayOutputStream

/** Told when a server has begun to run a request; called at most once for each request. */
typealias OnRun = (RelayRequest) -> Unit

/** Told of each failed attempt. */
typealias OnAttemptFailed = (RelayRequest, BackendServerId, ExchangeFailure) -> Unit

/**
 * @property wholeAnswerTimeoutMs time for the whole answer of a plain service to an idempotent request, after which
 *   another server is asked
 * @property firstEventTimeoutMs time for the first event of a stream that may be resumed
 * @property eventGapTimeoutMs pause between events after which a server is taken for lost; callers leave after 2 s
 * @property leastTimeMs time below which a request is not sent any more
 * @property maxUnreachable servers that may turn out unreachable before a request is refused
 */
data class RelayRules(
    val wholeAnswerTimeoutMs: Long = 600,
    val firstEventTimeoutMs: Long = 4_000,
    val eventGapTimeoutMs: Long = 1_700,
    val leastTimeMs: Long = 5,
    val maxUnreachable: Int = 4,
)

/** Told where a request stood when it was cancelled because its caller has left. */
typealias OnAbandoned = (RelayRequest, RelayOutcome) -> Unit

/** What the relay tells the rest of the process. */
class RelayCallbacks(val onRun: OnRun, val onAttemptFailed: OnAttemptFailed, val onAbandoned: OnAbandoned)

/** Relays requests of one host. Confined to the event loop. */
class Relay(
    private val clock: Clock,
    private val hostDomain: FailureDomain,
    private val placement: Placement,
    private val open: SendAttempt,
    private val retries: HostRetryBudget,
    private val callbacks: RelayCallbacks,
    private val crashes: CrashProbe,
    private val rules: RelayRules = RelayRules(),
) {
    private val suspects get() = crashes.suspects

    /** Runs [request] until its answer is passed on or it cannot be sent again. */
    suspend fun run(request: RelayRequest, sink: ResponseSink): RelayOutcome = Run(request, sink).toEnd()

    /** How one attempt ended: null [failure] means that the answer has been passed on. */
    private class AttemptEnd(val failure: ExchangeFailure?, val callerGone: Boolean = false)

    /** The progress of one request over all its attempts. */
    private inner class Run(private val request: RelayRequest, private val sink: ResponseSink) {
        private val tried = HashSet<BackendServerId>()
        private val cutter = EventCutter()
        private var sends = 0
        private var unreachable = 0
        private var verdict = Verdict.NOT_RUN
        private var responseStarted = false
        private var hasRun = false
        private var last: BackendServerId? = null
        private var firstByteMs: Long? = null
        private var failure: ExchangeFailure? = null
        private var serverError: Pair<ResponseHead, ByteArray>? = null

        suspend fun toEnd(): RelayOutcome {
            retries.requested(request.pool)
            var ended: RelayOutcome? = null
            try {
                while (ended == null) ended = oneMore()
            } catch (e: CancellationException) {
                callbacks.onAbandoned(request, outcome(OutcomeReason.CALLER_GONE))
                throw e
            }
            return ended
        }

        /** Sends the request once more, if it may; null if another attempt may follow. */
        private suspend fun oneMore(): RelayOutcome? {
            if (request.deadline - clock() < rules.leastTimeMs) return giveUp(OutcomeReason.DEADLINE)
            if (suspects.quarantineMs(request.fingerprint, clock()) != null) return giveUp(OutcomeReason.QUARANTINED)
            val candidates = PlacementRequest(request.pool, request.prompt, hostDomain, tried)
            val server = placement.choose(candidates) ?: return giveUp(reasonOf(failure))
            if (sends > 0 && !retries.take(request.pool)) return giveUp(reasonOf(failure))
            val end = attemptOn(server)
            tried += server.id
            failure = end.failure
            return if (end.callerGone) outcome(OutcomeReason.CALLER_GONE) else settle(server, end.failure)
        }

        private suspend fun settle(server: BackendServer, failure: ExchangeFailure?): RelayOutcome? {
            if (failure != null) {
                callbacks.onAttemptFailed(request, server.id, failure)
                verdict = maxOf(verdict, failure.verdict)
                return if (maySendAfter(failure)) null else giveUp(reasonOf(failure))
            }
            // A server's error is passed on in the end if no other server gave a better answer.
            if (serverError == null) return outcome(OutcomeReason.ANSWERED)
            return if (mayRepeat()) null else giveUp(OutcomeReason.SERVER_ERROR)
        }

        private fun mayRepeat() = request.route.isRetryable && sends < request.route.maxAttempts

        private fun maySendAfter(failure: ExchangeFailure): Boolean = when (failure) {
            ExchangeFailure.UNREACHABLE -> ++unreachable < rules.maxUnreachable
            ExchangeFailure.REFUSED, ExchangeFailure.WRONG_SERVER ->
                sends < request.route.maxAttempts && (verdict == Verdict.NOT_RUN || mayRepeat())
            ExchangeFailure.LOST, ExchangeFailure.TIMEOUT -> mayRepeat()
        }

        private suspend fun giveUp(reason: OutcomeReason): RelayOutcome {
            val error = serverError
            if (error != null && !responseStarted) {
                responseStarted = true
                if (!sink.sendResponse(error.first, error.second)) return outcome(OutcomeReason.CALLER_GONE)
                return outcome(OutcomeReason.SERVER_ERROR)
            }
            return outcome(if (responseStarted) OutcomeReason.STREAM_BROKEN else reason)
        }

        private fun outcome(reason: OutcomeReason) =
            RelayOutcome(reason, verdict, responseStarted, sends, last, firstByteMs)

        private suspend fun attemptOn(server: BackendServer): AttemptEnd {
            last = server.id
            placement.started(server.id, request.prompt)
            suspects.started(server.id, request.fingerprint)
            var isReading = true
            try {
                val timeoutMs = request.deadline - clock()
                val resumeAfter = cutter.lastId ?: request.resumeAfter
                val attempt = Attempt(server, request, timeoutMs, answerTimeoutMs(timeoutMs), resumeAfter)
                val answer = open(attempt).getOrElse { return lost(server, failed(server, it)) }
                sends++
                verdict = Verdict.RAN
                if (firstByteMs == null) firstByteMs = clock() - request.receivedAt
                placement.prefillEnded(server.id, request.prompt)
                isReading = false
                try {
                    return lost(server, pass(server, answer))
                } finally {
                    answer.release()
                }
            } finally {
                if (isReading) placement.prefillEnded(server.id, request.prompt)
                placement.ended(server.id)
                suspects.ended(server.id, request.fingerprint)
            }
        }

        /** Looks, while the request still counts as in flight, whether [server] has crashed under it. */
        private suspend fun lost(server: BackendServer, end: AttemptEnd): AttemptEnd {
            if (end.failure == ExchangeFailure.LOST) crashes.probe(server)
            return end
        }

        private fun failed(server: BackendServer, failure: ExchangeFailure): AttemptEnd {
            if (failure != ExchangeFailure.UNREACHABLE) sends++
            if (failure != ExchangeFailure.REFUSED) placement.failed(server.id)
            if (failure.verdict != Verdict.NOT_RUN) began()
            return AttemptEnd(failure)
        }

        private fun began() {
            if (hasRun) return
            hasRun = true
            callbacks.onRun(request)
        }

        private fun answerTimeoutMs(timeoutMs: Long): Long = when {
            !mayRepeatOnce() -> timeoutMs
            request.route.form == AnswerForm.STREAM -> minOf(timeoutMs, rules.firstEventTimeoutMs)
            else -> minOf(timeoutMs, rules.wholeAnswerTimeoutMs)
        }

        private fun mayRepeatOnce() = request.route.isRetryable && sends + 1 < request.route.maxAttempts

        private suspend fun pass(server: BackendServer, answer: OpenAnswer): AttemptEnd {
            val isStream = request.route.form == AnswerForm.STREAM && answer.head.status in SUCCESS
            return if (isStream) passStream(server, answer) else passWhole(server, answer)
        }

        private suspend fun passWhole(server: BackendServer, answer: OpenAnswer): AttemptEnd {
            began()
            val body = ByteArrayOutputStream()
            while (true) {
                val bytes =
                    answer.receive(request.deadline - clock()).getOrElse { return brokenOff(server, it) } ?: break
                body.write(bytes)
            }
            if (responseStarted) return brokenOff(server, ExchangeFailure.LOST)
            if (answer.head.status >= SERVER_ERRORS) {
                serverError = answer.head to body.toByteArray()
                return AttemptEnd(failure = null)
            }
            succeeded(server, request)
            serverError = null
            responseStarted = true
            return AttemptEnd(null, callerGone = !sink.sendResponse(answer.head, body.toByteArray()))
        }

        private fun brokenOff(server: BackendServer, failure: ExchangeFailure): AttemptEnd {
            placement.failed(server.id)
            return AttemptEnd(failure)
        }

        private suspend fun passStream(server: BackendServer, answer: OpenAnswer): AttemptEnd {
            cutter.restart()
            while (true) {
                val waitMs = minOf(request.deadline - clock(), gapTimeoutMs())
                val bytes = answer.receive(waitMs).getOrElse { return brokenOff(server, it) } ?: break
                val whole = cutter.feed(bytes)
                if (whole.isEmpty()) continue
                began()
                if (!passEvents(answer.head, whole)) return AttemptEnd(null, callerGone = true)
            }
            if (cutter.isInsideEvent) return brokenOff(server, ExchangeFailure.LOST)
            succeeded(server, request)
            if (!responseStarted && !sink.startStream(answer.head)) return AttemptEnd(null, callerGone = true)
            responseStarted = true
            return AttemptEnd(null, callerGone = !sink.endStream())
        }

        private suspend fun passEvents(head: ResponseHead, events: ByteArray): Boolean {
            if (!responseStarted) {
                responseStarted = true
                if (!sink.startStream(head)) return false
            }
            return sink.sendEvents(events)
        }

        private fun gapTimeoutMs() = if (mayRepeat()) rules.eventGapTimeoutMs else Long.MAX_VALUE
    }

    private fun succeeded(server: BackendServer, request: RelayRequest) {
        placement.succeeded(server.id)
        suspects.completed(request.fingerprint)
    }

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
