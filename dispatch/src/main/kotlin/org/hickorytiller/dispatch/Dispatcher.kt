/**
 * Runs requests on backend servers and relays their answers. One coroutine runs one request straight down: get a
 * slot, attempt, and on failure let [RetryPolicy] decide. A streamed answer goes on from the last whole event on
 * another server.
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
import org.hickorytiller.core.Verdict
import org.hickorytiller.http.HttpClient
import org.hickorytiller.http.HttpFault
import org.hickorytiller.http.ResponseHead
import org.hickorytiller.http.ServerSentEvent
import org.hickorytiller.quarantine.CrashProbe
import org.hickorytiller.quarantine.CrashSuspects

/** A request that got its whole answer. [body] is null if the answer was streamed to the caller. */
class CompletedResponse(val head: ResponseHead, val body: ByteArray?, val attempts: Int)

/** Sends requests to backend servers. Confined to the event loop. */
class Dispatcher internal constructor(
    client: HttpClient,
    private val clock: Clock,
    private val run: ProcessId,
    val suspects: CrashSuspects,
    private val policy: RetryPolicy,
    private val onWasted: OnWasted,
    reuseRule: ReuseRule,
) {
    constructor(
        client: HttpClient,
        clock: Clock,
        run: ProcessId,
        suspects: CrashSuspects = CrashSuspects(),
        policy: RetryPolicy = RetryPolicy(),
        onWasted: OnWasted = {},
    ) : this(client, clock, run, suspects, policy, onWasted, ReuseRule.ONLY_CLEAN)

    /** The attempts in progress. */
    val running = RunningAttempts()

    private val exchangeContext = ExchangeContext(client, clock, reuseRule)
    private val crashProbe =
        CrashProbe(suspects, clock) { server ->
            client.connect(server.address).fold({ it != HttpFault.UNREACHABLE }, {
                it.close()
                true
            })
        }

    /** Runs [request] until it has its whole answer or cannot be retried. */
    suspend fun run(request: DispatchRequest, context: DispatchContext): Either<DispatchFailure, CompletedResponse> =
        Run(request, context).toEnd()

    /** How an exchange began. */
    private data class Opened(val exchange: Exchange, val opening: Either<FailureKind, Opening>)

    /** The progress of one request over all its attempts. */
    private inner class Run(private val request: DispatchRequest, private val context: DispatchContext) {
        private val progress = StreamProgress()
        private val tried = HashSet<BackendServerId>()
        private var counts = AttemptCounts()
        private var verdict = Verdict.NOT_RUN
        private var lastError: Opening.Whole? = null
        private var attempts = 0
        private var started = false
        private var chargedPrompt = 0
        private var firstTokenMs: Long? = null

        // The server whose answer was relayed; another one than the attempt's if a hedge was faster.
        private var relayedBy: BackendServer? = null
        private var completed: Opening? = null

        suspend fun toEnd(): Either<DispatchFailure, CompletedResponse> {
            policy.firstAttempt(request.requestClass.id)
            var last: DispatchFailure? = null
            while (true) {
                val server = acquire() ?: return giveUp(last ?: noServer())
                val failure = attemptOn(server) ?: return complete()
                verdict = maxOf(verdict, failure.verdict)
                counts = counts.plus(failure.kind)
                tried += server.id
                relayedBy?.let { tried += it.id }
                last = failure
                if (!allowsRetry(failure.kind)) return giveUp(failure)
            }
        }

        private fun allowsRetry(kind: FailureKind) = suspects.quarantineMs(request.fingerprint, clock()) == null &&
            policy.allowsRetry(kind, verdict, counts, request.isIdempotent, request.requestClass.id)

        private fun complete(): Either<DispatchFailure, CompletedResponse> {
            suspects.completed(request.fingerprint)
            val opening = checkNotNull(completed)
            return CompletedResponse(opening.head, (opening as? Opening.Whole)?.body, attempts).right()
        }

        // The answer of a server that could not serve the request is better for the caller than none.
        private fun giveUp(failure: DispatchFailure): Either<DispatchFailure, CompletedResponse> {
            val error = lastError
            if (failure.kind == FailureKind.SERVER_ERROR && error != null && !started) {
                return CompletedResponse(error.head, error.body, attempts).right()
            }
            return failure.copy(verdict = maxOf(verdict, failure.verdict)).left()
        }

        private fun noServer() = DispatchFailure(FailureKind.NO_SERVER, "no backend server is available")

        private suspend fun acquire(): BackendServer? {
            if (attempts == 0 && !suspects.isSuspect(request.fingerprint)) return context.acquire { isAllowed(it) }
            val waitUntil = minOf(clock() + RETRY_WAIT_MS, request.deadline)
            while (clock() < waitUntil && context.exists { it.id !in tried }) {
                context.acquire { it.id !in tried && isAllowed(it) }?.let { return it }
                delay(RETRY_DELAY_MS)
            }
            // A server that failed before is better than none, once the others had time to become free.
            return if (clock() < request.deadline) context.acquire(::isAllowed) else null
        }

        private fun isAllowed(server: BackendServer) = suspects.mayRunOn(server, request.fingerprint, clock())

        /** Null if the request has its whole answer. */
        private suspend fun attemptOn(server: BackendServer): DispatchFailure? {
            attempts++
            val startedAt = clock()
            val tokensBefore = progress.tokens
            var kind: FailureKind? = FailureKind.CALLER_GONE
            firstTokenMs = null
            suspects.started(server.id, request.fingerprint)
            try {
                kind = onCurrentConnections(server)
                return kind?.let { DispatchFailure(it, "${server.id}: ${it.code}", server = server.id) }
            } finally {
                suspects.ended(server.id, request.fingerprint)
                val durationMs = clock() - startedAt
                context.release(server, AttemptReport(firstTokenMs, progress.tokens - tokensBefore, durationMs, kind))
                kind?.let { onWasted(WastedWork(it, if (it in ENDS_REQUEST) progress.tokens else 0, durationMs)) }
            }
        }

        // A pooled connection may have been closed by the server while it was idle, which says nothing about it.
        private suspend fun onCurrentConnections(server: BackendServer): FailureKind? {
            relayedBy = null
            val kind = interruptible(server) { relay(newExchange(server), onNewConnection = false) }
            if (kind != FailureKind.STALE_CONNECTION && kind != FailureKind.LOST) return kind
            if (crashProbe.probe(relayedBy ?: server)) return FailureKind.LOST
            if (kind == FailureKind.LOST) return kind
            return interruptible(server) { relay(newExchange(server), onNewConnection = true) }
        }

        private fun newExchange(server: BackendServer) =
            Exchange(exchangeContext, request, server, "$run-${nextExchange++}")

        private suspend fun interruptible(server: BackendServer, attempt: suspend () -> FailureKind?): FailureKind? =
            coroutineScope {
                val work = async { attempt() }
                val requestClass = request.requestClass
                val id = running.newId()
                val shown =
                    RunningAttempt(id, server, requestClass.id, requestClass.tier, request.isIdempotent, clock())
                running.add(shown) { work.cancel(it) }
                context.onAttempt(id)
                try {
                    work.await()
                } catch (e: AttemptEndedException) {
                    e.kind
                } finally {
                    running.remove(id)
                }
            }

        private suspend fun relay(exchange: Exchange, onNewConnection: Boolean): FailureKind? {
            progress.resume()
            val opened = mutableListOf(exchange)
            try {
                val (winner, opening) = openFastest(opened, onNewConnection)
                relayedBy = winner.server
                return when (val answer = opening.getOrElse { return it }) {
                    is Opening.Whole -> passWhole(answer)
                    is Opening.Streamed -> passStream(winner, answer)
                }
            } finally {
                firstTokenMs = exchange.firstTokenMs
                opened.forEach { it.end() }
                opened.drop(1).forEach(::releaseHedge)
            }
        }

        /**
         * Opens the exchange in [opened], and if it is slow a second one, which is added to the list. The one whose
         * answer begins first wins, and the other one is cancelled.
         */
        private suspend fun openFastest(opened: MutableList<Exchange>, onNewConnection: Boolean): Opened =
            coroutineScope {
                val exchange = opened.single()
                val first = async { exchange.open(progress.tokens, onNewConnection) }
                val afterMs = request.hedgeAfterMs?.takeIf { request.isIdempotent }
                if (afterMs == null || withTimeoutOrNull(afterMs) { first.join() } != null) {
                    return@coroutineScope Opened(exchange, first.await())
                }
                val hedge = openHedge(exchange.server) ?: return@coroutineScope Opened(exchange, first.await())
                opened += hedge
                val second = async { hedge.open(progress.tokens, onNewConnection = false) }
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
            if (!policy.allowsHedge(request.requestClass.id)) return null
            val server = context.tryAcquire { it.id != except.id && it.id !in tried && isAllowed(it) } ?: return null
            suspects.started(server.id, request.fingerprint)
            return newExchange(server)
        }

        private fun releaseHedge(hedge: Exchange) {
            suspects.ended(hedge.server.id, request.fingerprint)
            context.release(hedge.server, AttemptReport(hedge.firstTokenMs, 0, hedge.durationMs, failure = null))
        }

        private fun passWhole(opening: Opening.Whole): FailureKind? {
            if (started) return FailureKind.BAD_ANSWER
            if (request.isIdempotent && isServerError(opening.head)) {
                lastError = opening
                return FailureKind.SERVER_ERROR
            }
            readUsage(opening.body)?.let { context.onTokens(it.promptTokens, it.completionTokens) }
            completed = opening
            return null
        }

        private suspend fun passStream(exchange: Exchange, opening: Opening.Streamed): FailureKind? {
            completed = opening
            if (!started) {
                started = true
                if (!context.sink.startStream(opening.head)) return FailureKind.CALLER_GONE
            }
            var events: List<ServerSentEvent>? = opening.events
            while (events != null) {
                for (event in events) passEvent(event)?.let { return it }
                events = exchange.nextEvents().getOrElse { return if (progress.isDone) null else it }
            }
            return if (progress.isDone || progress.isFinished) null else FailureKind.LOST
        }

        private suspend fun passEvent(event: ServerSentEvent): FailureKind? {
            val meaning = readCompletionEvent(event.data)
            if (meaning.isError) return FailureKind.SERVER_ERROR
            if (!progress.accept(meaning)) return null
            val prompt = progress.promptTokens - chargedPrompt
            chargedPrompt = progress.promptTokens
            if (meaning.tokens > 0 || prompt > 0) context.onTokens(prompt, meaning.tokens)
            return if (context.sink.sendEvent(event.bytes)) null else FailureKind.CALLER_GONE
        }

        private fun isServerError(head: ResponseHead) = head.status >= SERVER_ERRORS || head.status == TOO_MANY_REQUESTS
    }

    private var nextExchange = 0L

    private companion object {
        const val SERVER_ERRORS = 500
        const val TOO_MANY_REQUESTS = 429

        // Longer than the time for which a suspect avoids a failure domain that lost a server.
        const val RETRY_WAIT_MS = 2_500L
        const val RETRY_DELAY_MS = 100L
        val ENDS_REQUEST = setOf(FailureKind.CALLER_GONE, FailureKind.DEADLINE, FailureKind.ANSWER_TOO_LARGE)
    }
}
