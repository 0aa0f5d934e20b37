/** Serves caller connections: receives each request, resolves its route, relays it and sends the response. */
package org.hickorytiller.daemon

import arrow.core.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import org.hickorytiller.core.Clock
import org.hickorytiller.core.Verdict
import org.hickorytiller.http.Headers
import org.hickorytiller.http.HttpFault
import org.hickorytiller.http.HttpStatus
import org.hickorytiller.http.MemoryBudget
import org.hickorytiller.http.MemoryReservation
import org.hickorytiller.http.RequestHead
import org.hickorytiller.http.ResponseHead
import org.hickorytiller.http.ServerConnection
import org.hickorytiller.http.errorBody
import org.hickorytiller.platform.CallerHeaders
import org.hickorytiller.platform.decodeCallerHeaders
import org.hickorytiller.quarantine.crc32Fingerprint
import org.hickorytiller.relay.ForwardedCall
import org.hickorytiller.relay.OutcomeReason
import org.hickorytiller.relay.Relay
import org.hickorytiller.relay.RelayOutcome
import org.hickorytiller.relay.RelayRequest
import org.hickorytiller.relay.RequestId
import org.hickorytiller.relay.ResponseSink
import org.hickorytiller.routes.Resolution
import org.hickorytiller.routes.choosePool
import java.util.Locale

/** Serves callers. Confined to the event loop. */
internal class CallerTask(
    private val clock: Clock,
    private val configuration: ConfigurationView,
    private val relay: Relay,
    private val metrics: DaemonMetrics,
    private val inFlight: InFlight,
    private val stop: StopTask,
    private val memory: MemoryBudget,
) {
    private val recentDurations = RecentDurations()

    /** Serves [connection] until it ends. */
    suspend fun serve(connection: ServerConnection) {
        while (true) {
            val head = connection.receive().getOrElse { return rejectInvalid(connection, it) }
            val canReuse = inFlight.track(connection) { tracked ->
                memory.reservation().use { serveRequest(connection, head, tracked, it) }
            }
            if (!canReuse || connection.closeAfterResponse) return
        }
    }

    /** Serves one request. Returns whether the connection can be used for another one. */
    private suspend fun serveRequest(
        connection: ServerConnection,
        head: RequestHead,
        tracked: InFlightRequest,
        memory: MemoryReservation,
    ): Boolean {
        val receivedAt = tracked.receivedAt
        val caller = decodeCallerHeaders(head)
        tracked.id = caller.id
        val body = connection.receiveBody(memory = memory).getOrElse {
            rejectInvalid(connection, it, caller.id)
            return false
        }
        tracked.phase = RequestPhase.RELAYING
        val isFresh = configuration.isFresh()
        val table = configuration.table
        val resolution = table?.resolve(caller.host, head.path, caller.key)
        val needsFreshConfiguration = resolution !is Resolution.Allowed || resolution.customer != null
        if (resolution == null || (needsFreshConfiguration && !isFresh)) {
            return reject(connection, caller, Rejection.CONFIGURATION_UNPROVEN)
        }
        return when (resolution) {
            is Resolution.NoRoute -> reject(connection, caller, Rejection.NO_ROUTE)
            is Resolution.UnknownKey -> reject(connection, caller, Rejection.UNKNOWN_KEY)
            is Resolution.Allowed -> {
                val pool = choosePool(resolution.route, hashFraction(caller.id))
                    ?: return reject(connection, caller, Rejection.NO_POOL)
                val waitMs = minOf(caller.waitMs ?: resolution.route.timeoutMs, resolution.route.timeoutMs)
                val request =
                    RelayRequest(
                        id = caller.id ?: RequestId(""),
                        route = resolution.route,
                        pool = pool,
                        customer = resolution.customer?.id,
                        priority = resolution.customer?.priority ?: resolution.route.priority,
                        call = ForwardedCall(RequestHead(head.method, head.target, caller.forwardedHeaders), body),
                        prompt = caller.prompt,
                        resumeAfter = caller.resumeAfter,
                        receivedAt = receivedAt,
                        deadline = receivedAt + waitMs,
                        fingerprint = crc32Fingerprint(resolution.customer?.id, head.target, body),
                    )
                tracked.deadline = request.deadline
                tracked.expectedMs = recentDurations.longestMs(resolution.route.id)
                if (!stop.accepts(request.deadline, tracked.expectedMs)) {
                    return reject(connection, caller, Rejection.STOPPING)
                }
                relayAndRespond(connection, request, tracked)
            }
        }
    }

    /**
     * Relays [request] and responds. The relay, and with it the work of the server, ends early if the caller closes its
     * connection, or if the process ends, which the caller is told.
     */
    private suspend fun relayAndRespond(
        connection: ServerConnection,
        request: RelayRequest,
        tracked: InFlightRequest,
    ): Boolean {
        val outcome = relayUntilAbandoned(connection, request, tracked)
        val status = statusOf(outcome)
        logEnd(request, outcome, status)
        if (status == 0) {
            // Part of the response is already sent, so only an aborted connection shows that it is incomplete.
            if (outcome.reason == OutcomeReason.STREAM_BROKEN) connection.abort()
            return outcome.reason == OutcomeReason.ANSWERED || outcome.reason == OutcomeReason.SERVER_ERROR
        }
        return respondError(connection, status, outcome.reason.code, outcome.verdict, retryAfterS(outcome))
    }

    private suspend fun relayUntilAbandoned(
        connection: ServerConnection,
        request: RelayRequest,
        tracked: InFlightRequest,
    ): RelayOutcome {
        val abandonment = CompletableDeferred<OutcomeReason>()
        val registrations =
            listOf(
                connection.closed.invokeOnCompletion { abandonment.complete(OutcomeReason.CALLER_GONE) },
                stop.ending.invokeOnCompletion { abandonment.complete(OutcomeReason.STOPPING) },
            )
        try {
            return relay.run(request, sinkOf(connection, tracked), abandonment)
        } finally {
            registrations.forEach { it.dispose() }
        }
    }

    private fun sinkOf(connection: ServerConnection, tracked: InFlightRequest) = ResponseSink(
        sendResponse = { head, body ->
            tracked.phase = RequestPhase.RESPONDING
            announceStop(connection)
            connection.respond(head.status, head.headers, body)
        },
        startStream = { head: ResponseHead ->
            tracked.phase = RequestPhase.RESPONDING
            announceStop(connection)
            connection.startResponse(head.status, head.headers)
        },
        sendEvents = connection::writeChunk,
        endStream = connection::endResponse,
    )

    // Looked up when the response begins, since the stop may have begun after the request was received.
    private fun announceStop(connection: ServerConnection) {
        if (stop.isStopping) connection.closeAfterResponse = true
    }

    /** Status of the error response for [outcome]; 0 if a response has been started or the caller has left. */
    private fun statusOf(outcome: RelayOutcome): Int = when {
        outcome.hasResponseStarted || outcome.reason == OutcomeReason.CALLER_GONE -> 0
        outcome.reason == OutcomeReason.ANSWERED -> 0
        outcome.verdict == Verdict.NOT_RUN -> HttpStatus.SERVICE_UNAVAILABLE
        outcome.reason == OutcomeReason.DEADLINE -> HttpStatus.GATEWAY_TIMEOUT
        else -> HttpStatus.BAD_GATEWAY
    }

    private fun retryAfterS(outcome: RelayOutcome): String = when {
        outcome.reason == OutcomeReason.QUARANTINED -> QUARANTINE_RETRY_AFTER_S
        else -> outcome.retryAfterMs?.let { (it / MS_PER_S).toString() } ?: RETRY_AFTER_S
    }

    private suspend fun reject(connection: ServerConnection, caller: CallerHeaders, rejection: Rejection): Boolean {
        metrics.rejected(rejection.code)
        log.info {
            "event=rejected id=${caller.id} reason=${rejection.code} status=${rejection.status} host=${caller.host} " +
                "configuration=${configuration.table?.configuration?.version} ageMs=${configuration.ageMs}"
        }
        return respondError(connection, rejection.status, rejection.code, Verdict.NOT_RUN)
    }

    private suspend fun respondError(
        connection: ServerConnection,
        status: Int,
        code: String,
        verdict: Verdict,
        retryAfterS: String = RETRY_AFTER_S,
    ): Boolean {
        announceStop(connection)
        val headers = mutableListOf(Headers.Field("content-type", "application/json"))
        if (status == HttpStatus.SERVICE_UNAVAILABLE) headers += Headers.Field("Retry-After", retryAfterS)
        return connection.respond(status, Headers(headers), errorBody(code, code.replace('_', ' '), verdict))
    }

    private suspend fun rejectInvalid(connection: ServerConnection, fault: HttpFault, id: RequestId? = null) {
        val status =
            when (fault) {
                HttpFault.CLOSED, HttpFault.UNREACHABLE -> return
                HttpFault.TIMEOUT -> if (connection.isReceiving) HttpStatus.REQUEST_TIMEOUT else return
                HttpFault.HEAD_TOO_LARGE -> HttpStatus.HEADER_FIELDS_TOO_LARGE
                HttpFault.BODY_TOO_LARGE -> HttpStatus.CONTENT_TOO_LARGE
                HttpFault.UNKNOWN_EXPECTATION -> HttpStatus.EXPECTATION_FAILED
                HttpFault.MALFORMED -> HttpStatus.BAD_REQUEST
                HttpFault.NO_MEMORY -> HttpStatus.SERVICE_UNAVAILABLE
            }
        connection.closeAfterResponse = true
        metrics.rejected(fault.name.lowercase())
        log.info {
            "event=rejected id=$id reason=${fault.name.lowercase()} status=$status from=${connection.remoteAddress}"
        }
        respondError(connection, status, fault.name.lowercase(), Verdict.NOT_RUN, MEMORY_RETRY_AFTER_S)
    }

    private fun logEnd(request: RelayRequest, outcome: RelayOutcome, status: Int) {
        val tookMs = clock() - request.receivedAt
        if (outcome.reason == OutcomeReason.ANSWERED) recentDurations.record(request.route.id, tookMs)
        metrics.ended(request.route.id.value, outcome.reason.code, tookMs, outcome.firstByteMs)
        log.info {
            "event=request id=${request.id} route=${request.route.id} pool=${request.pool} " +
                "customer=${request.customer} outcome=${outcome.reason.code} verdict=${outcome.verdict.code} " +
                "status=$status server=${outcome.server} sends=${outcome.sendCount} " +
                "firstByteMs=${outcome.firstByteMs} tookMs=$tookMs " +
                "configuration=${configuration.table?.configuration?.version} ageMs=${configuration.ageMs}"
        }
    }

    // Derived from the request id, so that every attempt at a request chooses the same pool.
    private fun hashFraction(id: RequestId?): Double =
        Math.floorMod((id?.value?.hashCode() ?: 0) * HASH_FACTOR, HASH_BUCKETS).toDouble() / HASH_BUCKETS

    /** Why a request is rejected before it is relayed. */
    private enum class Rejection(val status: Int) {
        CONFIGURATION_UNPROVEN(HttpStatus.SERVICE_UNAVAILABLE),
        NO_POOL(HttpStatus.SERVICE_UNAVAILABLE),

        /** The process stops before the request would have ended. */
        STOPPING(HttpStatus.SERVICE_UNAVAILABLE),
        NO_ROUTE(HttpStatus.NOT_FOUND),
        UNKNOWN_KEY(HttpStatus.UNAUTHORIZED),
        ;

        val code: String get() = name.lowercase(Locale.ROOT)
    }

    private companion object {
        val log = KotlinLogging.logger {}

        // Long enough for another host or server to accept the request, short relative to callers' deadlines.
        const val RETRY_AFTER_S = "0.2"

        // Large requests free their memory within seconds; an early retry would be refused again.
        const val MEMORY_RETRY_AFTER_S = "1"

        // A quarantined request stays rejected for a while, so an early retry would get the same response.
        const val QUARANTINE_RETRY_AFTER_S = "60"
        const val MS_PER_S = 1000.0
        const val HASH_BUCKETS = 10_007
        const val HASH_FACTOR = 31
    }
}
