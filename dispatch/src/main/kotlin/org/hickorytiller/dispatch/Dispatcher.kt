/**
 * Runs requests on backend servers and relays their responses. One coroutine handles one request sequentially: it
 * acquires a slot, makes an attempt, and on failure asks [RetryPolicy] whether to retry. A streamed response is resumed
 * on another server after its last complete event.
 */
package org.hickorytiller.dispatch

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.Clock
import org.hickorytiller.core.ProcessId
import org.hickorytiller.core.TimeMs
import org.hickorytiller.core.Verdict
import org.hickorytiller.http.HttpClient
import org.hickorytiller.http.HttpFault
import org.hickorytiller.http.ResponseHead
import org.hickorytiller.http.ServerSentEvent
import org.hickorytiller.quarantine.CrashProbe
import org.hickorytiller.quarantine.CrashSuspects
import org.hickorytiller.quarantine.ObservedRun
import org.hickorytiller.quarantine.SuspectTable

/** The complete response to a request. [body] is null if it was streamed to the caller. */
class CompletedResponse(val head: ResponseHead, val body: ByteArray?, val attempts: Int)

/** Sends requests to backend servers. Confined to the event loop. */
class Dispatcher internal constructor(
    client: HttpClient,
    private val clock: Clock,
    private val processRun: ProcessId,
    val suspects: CrashSuspects,
    private val policy: RetryPolicy,
    private val onWasted: OnWasted,
    reuseRule: ReuseRule,
) {
    constructor(
        client: HttpClient,
        clock: Clock,
        processRun: ProcessId,
        suspects: CrashSuspects = CrashSuspects(),
        policy: RetryPolicy = RetryPolicy(),
        onWasted: OnWasted = {},
    ) : this(client, clock, processRun, suspects, policy, onWasted, ReuseRule.ONLY_CLEAN)

    /** Parts of prompts that crash servers whatever else a request holds. */
    val partSuspects = SuspectTable()

    /** The attempts in progress. */
    val running = RunningAttempts()

    private val exchangeContext = ExchangeContext(client, clock, reuseRule)
    private val crashProbe =
        CrashProbe(clock, ::recordCrash) { server ->
            client.connect(server.address).fold({ it != HttpFault.UNREACHABLE }, {
                it.close()
                true
            })
        }

    /** Runs [request] until it has a complete response or cannot be retried. */
    suspend fun run(request: DispatchRequest, context: DispatchContext): Either<DispatchFailure, CompletedResponse> =
        Execution(request, context).runToCompletion()

    /** An exchange and the result of opening it. */
    private data class Opened(val exchange: Exchange, val result: Either<FailureKind, ResponseStart>)

    /** The progress of one request over all its attempts. */
    private inner class Execution(private val request: DispatchRequest, private val context: DispatchContext) {
        private val progress = StreamProgress()
        private val triedServers = HashSet<BackendServerId>()
        private var counts = AttemptCounts()
        private var verdict = Verdict.NOT_RUN
        private var lastErrorResponse: ResponseStart.Complete? = null
        private var attempts = 0
        private var isStreamStarted = false
        private var chargedPromptTokens = 0
        private var firstTokenMs: Long? = null

        // The server of the exchange that won in the present attempt: the hedge's server if the hedge was faster.
        private var winningServer: BackendServer? = null
        private var completedResponse: ResponseStart? = null
        private var partRun: ObservedRun? = null

        suspend fun runToCompletion(): Either<DispatchFailure, CompletedResponse> {
            policy.recordFirstAttempt(request.requestClass.id)
            var lastFailure: DispatchFailure? = null
            while (true) {
                val server = acquire() ?: return finish(lastFailure ?: noServer())
                val failure = attemptOn(server) ?: return complete()
                verdict = maxOf(verdict, failure.verdict)
                counts = counts.plus(failure.kind)
                triedServers += server.id
                winningServer?.let { triedServers += it.id }
                lastFailure = failure
                if (!tryAcquireRetry(failure.kind)) return finish(failure)
            }
        }

        private fun tryAcquireRetry(kind: FailureKind) = refusalMs(request) == null &&
            policy.tryAcquireRetry(kind, verdict, counts, request.isIdempotent, request.requestClass.id)

        private fun complete(): Either<DispatchFailure, CompletedResponse> {
            suspects.completed(request.fingerprint)
            partRun?.let { partSuspects.answered(it, clock()) }
            val responseStart = checkNotNull(completedResponse)
            return CompletedResponse(
                responseStart.head,
                (responseStart as? ResponseStart.Complete)?.body,
                attempts,
            ).right()
        }

        // An error response of a server is more useful to the caller than none.
        private fun finish(failure: DispatchFailure): Either<DispatchFailure, CompletedResponse> {
            val error = lastErrorResponse
            if (failure.kind == FailureKind.SERVER_ERROR && error != null && !isStreamStarted) {
                return CompletedResponse(error.head, error.body, attempts).right()
            }
            return failure.copy(verdict = maxOf(verdict, failure.verdict)).left()
        }

        private fun noServer() = DispatchFailure(FailureKind.NO_SERVER, "no backend server is available")

        private suspend fun acquire(): BackendServer? {
            if (attempts == 0 && !suspects.isSuspect(request.fingerprint)) return context.acquire { isAllowed(it) }
            val waitUntil = minOf(clock() + RETRY_WAIT_MS, request.deadline)
            while (clock() < waitUntil && context.exists { it.id !in triedServers }) {
                context.acquire { it.id !in triedServers && isAllowed(it) }?.let { return it }
                delay(RETRY_DELAY_MS)
            }
            // If no other server had a free slot in time, a server that already failed is tried again.
            return if (clock() < request.deadline) context.acquire(::isAllowed) else null
        }

        private fun isAllowed(server: BackendServer) = suspects.mayRunOn(server, request.fingerprint, clock())

        /** Makes one attempt. Returns null if the request has its complete response. */
        private suspend fun attemptOn(server: BackendServer): DispatchFailure? {
            attempts++
            val startedAt = clock()
            val tokensBefore = progress.tokens
            var kind: FailureKind? = FailureKind.CALLER_GONE
            firstTokenMs = null
            suspects.started(server.id, request.fingerprint)
            val run = partSuspects.started(server.id, request.parts).also { partRun = it }
            try {
                kind = attemptWithReconnect(server)
                return kind?.let { DispatchFailure(it, "${server.id}: ${it.code}", server = server.id) }
            } finally {
                suspects.ended(server.id, request.fingerprint)
                partSuspects.ended(run)
                val durationMs = clock() - startedAt
                context.release(server, AttemptReport(firstTokenMs, progress.tokens - tokensBefore, durationMs, kind))
                kind?.let { onWasted(WastedWork(it, if (it in WASTED_TOKEN_KINDS) progress.tokens else 0, durationMs)) }
            }
        }

        // A server may close a pooled connection because it was idle. That is not a server failure, so the attempt
        // is made again on a new connection.
        private suspend fun attemptWithReconnect(server: BackendServer): FailureKind? {
            winningServer = null
            val kind = cancellable(server) { relay(newExchange(server), useNewConnection = false) }
            if (kind != FailureKind.STALE_CONNECTION && kind != FailureKind.LOST) return kind
            if (crashProbe.detectCrash(winningServer ?: server)) return FailureKind.LOST
            if (kind == FailureKind.LOST) return kind
            return cancellable(server) { relay(newExchange(server), useNewConnection = true) }
        }

        private fun newExchange(server: BackendServer) =
            Exchange(exchangeContext, request, server, "$processRun-${nextExchangeNumber++}")

        private suspend fun cancellable(server: BackendServer, attempt: suspend () -> FailureKind?): FailureKind? =
            coroutineScope {
                val work = async { attempt() }
                val requestClass = request.requestClass
                val id = running.newId()
                val inProgress =
                    RunningAttempt(id, server, requestClass.id, requestClass.tier, request.isIdempotent, clock())
                running.add(inProgress) { work.cancel(it) }
                context.onAttempt(id)
                try {
                    work.await()
                } catch (e: AttemptCancelledException) {
                    e.kind
                } finally {
                    running.remove(id)
                }
            }

        private suspend fun relay(exchange: Exchange, useNewConnection: Boolean): FailureKind? {
            progress.resume()
            val opened = mutableListOf(exchange)
            try {
                val (winner, result) = openFastest(opened, useNewConnection)
                winningServer = winner.server
                return when (val responseStart = result.getOrElse { return it }) {
                    is ResponseStart.Complete -> relayComplete(responseStart)
                    is ResponseStart.Streamed -> relayStream(winner, responseStart)
                }
            } finally {
                firstTokenMs = exchange.firstTokenMs
                opened.forEach { it.end() }
                opened.drop(1).forEach(::releaseHedge)
            }
        }

        /**
         * Opens the exchange in [opened] and, if it is slow, a hedge, which is added to the list. The exchange whose
         * response starts first wins, and the other one is cancelled.
         */
        private suspend fun openFastest(opened: MutableList<Exchange>, useNewConnection: Boolean): Opened =
            coroutineScope {
                val exchange = opened.single()
                val first = async { exchange.open(progress.tokens, useNewConnection) }
                val afterMs = request.hedgeAfterMs?.takeIf { request.isIdempotent }
                if (afterMs == null || withTimeoutOrNull(afterMs) { first.join() } != null) {
                    return@coroutineScope Opened(exchange, first.await())
                }
                val hedge = openHedge(exchange.server) ?: return@coroutineScope Opened(exchange, first.await())
                opened += hedge
                val second = async { hedge.open(progress.tokens, useNewConnection = false) }
                val firstEnded = select {
                    first.onJoin { true }
                    second.onJoin { false }
                }
                val attempts = listOf(exchange to first, hedge to second).let { if (firstEnded) it else it.reversed() }
                // A failure does not win over an attempt that is still open.
                val (winner, loser) = if (attempts[0].second.await().isRight()) attempts else attempts.reversed()
                val result = winner.second.await()
                loser.second.cancel()
                loser.first.end()
                Opened(winner.first, result)
            }

        private fun openHedge(except: BackendServer): Exchange? {
            if (!policy.tryAcquireHedge(request.requestClass.id)) return null
            val server =
                context.tryAcquire { it.id != except.id && it.id !in triedServers && isAllowed(it) } ?: return null
            suspects.started(server.id, request.fingerprint)
            return newExchange(server)
        }

        private fun releaseHedge(hedge: Exchange) {
            suspects.ended(hedge.server.id, request.fingerprint)
            context.release(hedge.server, AttemptReport(hedge.firstTokenMs, 0, hedge.durationMs, failure = null))
        }

        private fun relayComplete(responseStart: ResponseStart.Complete): FailureKind? {
            if (isStreamStarted) return FailureKind.BAD_RESPONSE
            if (request.isIdempotent && isServerError(responseStart.head)) {
                lastErrorResponse = responseStart
                return FailureKind.SERVER_ERROR
            }
            parseUsage(responseStart.body)?.let { context.onTokens(it.promptTokens, it.completionTokens) }
            completedResponse = responseStart
            return null
        }

        private suspend fun relayStream(exchange: Exchange, responseStart: ResponseStart.Streamed): FailureKind? {
            completedResponse = responseStart
            if (!isStreamStarted) {
                isStreamStarted = true
                if (!context.sink.startStream(responseStart.head)) return FailureKind.CALLER_GONE
            }
            var events: List<ServerSentEvent>? = responseStart.events
            while (events != null) {
                for (event in events) relayEvent(event)?.let { return it }
                events = exchange.nextEvents().getOrElse { return if (progress.isDone) null else it }
            }
            return if (progress.isDone || progress.isFinished) null else FailureKind.LOST
        }

        private suspend fun relayEvent(event: ServerSentEvent): FailureKind? {
            val parsed = parseCompletionEvent(event.data)
            if (parsed.isError) return FailureKind.SERVER_ERROR
            partRun?.let { partSuspects.answerContinued(it, clock()) }
            if (!progress.accept(parsed)) return null
            val promptTokens = progress.promptTokens - chargedPromptTokens
            chargedPromptTokens = progress.promptTokens
            if (parsed.tokens > 0 || promptTokens > 0) context.onTokens(promptTokens, parsed.tokens)
            return if (context.sink.sendEvent(event.bytes)) null else FailureKind.CALLER_GONE
        }

        private fun isServerError(head: ResponseHead) = head.status >= SERVER_ERRORS || head.status == TOO_MANY_REQUESTS
    }

    /** Returns for how long [request] is refused because it, or a part of its prompt, crashes servers; or null. */
    fun refusalMs(request: DispatchRequest): Long? =
        suspects.quarantineMs(request.fingerprint, clock()) ?: partSuspects.refusalMs(request.parts, clock())

    private fun recordCrash(server: BackendServer, now: TimeMs) {
        suspects.crashed(server, now)
        partSuspects.crashed(server, now)
    }

    private var nextExchangeNumber = 0L

    private companion object {
        const val SERVER_ERRORS = 500
        const val TOO_MANY_REQUESTS = 429

        // Longer than the time for which a suspect request is kept from a failure domain that lost a server.
        const val RETRY_WAIT_MS = 2_500L
        const val RETRY_DELAY_MS = 100L

        // These failures end the request, so the tokens relayed so far are wasted. After any other one the request may
        // be retried and its response resumed after these tokens.
        val WASTED_TOKEN_KINDS = setOf(FailureKind.CALLER_GONE, FailureKind.DEADLINE, FailureKind.RESPONSE_TOO_LARGE)
    }
}
