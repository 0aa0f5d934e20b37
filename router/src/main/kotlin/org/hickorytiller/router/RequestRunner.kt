/**
 * Runs a caller's request: claims the right to run it if it must not run twice, acquires a slot, dispatches the request
 * and sends the response.
 */
package org.hickorytiller.router

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import org.hickorytiller.admission.Admission
import org.hickorytiller.admission.AdmissionRefusal
import org.hickorytiller.admission.Ticket
import org.hickorytiller.balancing.BackendServerTable
import org.hickorytiller.balancing.SelectionRequest
import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.Clock
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.Tier
import org.hickorytiller.core.Verdict
import org.hickorytiller.dispatch.AttemptId
import org.hickorytiller.dispatch.AttemptReport
import org.hickorytiller.dispatch.CompletedResponse
import org.hickorytiller.dispatch.DispatchContext
import org.hickorytiller.dispatch.DispatchFailure
import org.hickorytiller.dispatch.Dispatcher
import org.hickorytiller.dispatch.EventStreamSink
import org.hickorytiller.dispatch.FailureKind
import org.hickorytiller.dispatch.IntentRecorder
import org.hickorytiller.dispatch.IntentRefusal
import org.hickorytiller.dispatch.RecordedOutcome
import org.hickorytiller.dispatch.ServerFilter
import org.hickorytiller.usage.RequestUsage

/** Called with each piece of usage of a request as soon as it is known. */
internal typealias ReportUsage = (CallerRequest, RequestUsage) -> Unit

/**
 * The components that a request passes through.
 *
 * @property hedgeAfterMs time without a first token after which the request is also sent to a second server; null turns
 *   hedging off
 */
internal class RequestComponents(
    val admission: Admission,
    val servers: BackendServerTable,
    val dispatcher: Dispatcher,
    val intents: IntentTask,
    val topTier: (PoolId) -> Tier,
    val reportUsage: ReportUsage,
    val hedgeAfterMs: Long? = null,
)

/** Runs requests. Confined to the event loop; [scope] outlives the connections of callers. */
internal class RequestRunner(
    private val clock: Clock,
    private val components: RequestComponents,
    private val scope: CoroutineScope,
) {
    /** Runs [request] and sends its response. Returns whether the connection can be used for another request. */
    suspend fun run(request: CallerRequest, response: CallerResponse): Boolean {
        components.dispatcher.refusalMs(request.dispatchRequest)?.let {
            return response.sendError(CallerError.quarantined(it))
        }
        val result = if (request.isIdempotent) runIdempotent(request, response) else runNonIdempotent(request, response)
        val completed = result.getOrElse { failure ->
            return when (failure) {
                is RunFailure.AlreadyRan -> response.replay(failure.outcome)
                is RunFailure.Failed -> response.sendError(failure.error)
            }
        }
        response.verdict = Verdict.RAN
        val body = completed.body ?: return response.endStream()
        return response.sendResponse(completed.head, body)
    }

    private suspend fun runIdempotent(
        request: CallerRequest,
        response: CallerResponse,
    ): Either<RunFailure, CompletedResponse> {
        val sink = EventStreamSink(startStream = response::startStream, sendEvent = response::sendEvent)
        return RequestExecution(request, sink) { response.verdict = Verdict.MAY_HAVE_RUN }.run()
    }

    private suspend fun runNonIdempotent(
        request: CallerRequest,
        response: CallerResponse,
    ): Either<RunFailure, CompletedResponse> {
        val key = request.intentKey().getOrElse { return RunFailure.Failed(it).left() }
        val grant = components.intents.claim(key, request.digest()).getOrElse { return failureOf(it).left() }
        // Once a slot is granted, the request continues even if its caller disconnects, so that its outcome is recorded
        // and a retry receives it. Before that it is cancelled instead.
        val settlement = GrantSettlement(grant)
        val work = scope.async {
            RequestExecution(request, NO_STREAM, settlement::slotGranted).run().also(settlement::settle)
        }
        try {
            return work.await()
        } finally {
            if (settlement.releaseIfNoSlot()) work.cancel() else response.verdict = Verdict.MAY_HAVE_RUN
        }
    }

    /** Releases the grant of a non-idempotent request or records its outcome, exactly once. */
    private class GrantSettlement(private val grant: IntentRecorder.ExecutionGrant) {
        private var hasSlot = false
        private var isSettled = false

        fun slotGranted() {
            hasSlot = true
        }

        fun settle(result: Either<RunFailure.Failed, CompletedResponse>) {
            isSettled = true
            result.fold({ failure ->
                if (failure.error.verdict == Verdict.NOT_RUN) grant.release() else grant.recordMayHaveRun()
            }, { completed ->
                val contentType = completed.head.headers["content-type"]
                grant.recordOutcome(
                    RecordedOutcome.of(completed.head.status, contentType, completed.body ?: ByteArray(0)),
                )
            })
        }

        /** Releases the grant if the request has no slot yet. Returns whether the request is to be cancelled. */
        fun releaseIfNoSlot(): Boolean {
            if (hasSlot || isSettled) return false
            isSettled = true
            grant.release()
            return true
        }
    }

    private fun failureOf(refusal: IntentRefusal): RunFailure =
        if (refusal is IntentRefusal.Ran && !refusal.outcome.truncated) {
            RunFailure.AlreadyRan(refusal.outcome)
        } else {
            RunFailure.Failed(CallerError.of(refusal))
        }

    /** Why a request ended without a response from a backend server. */
    private sealed interface RunFailure {
        class Failed(val error: CallerError) : RunFailure

        class AlreadyRan(val outcome: RecordedOutcome) : RunFailure
    }

    /** The execution of one request: admission, server selection and dispatch. */
    private inner class RequestExecution(
        private val request: CallerRequest,
        private val sink: EventStreamSink,
        private val onSlotGranted: () -> Unit,
    ) {
        private var refusal: AdmissionRefusal? = null
        private var slot: SlotGrant? = null
        private val slots = HashMap<BackendServerId, SlotGrant>()
        private var promptTokens = 0

        suspend fun run(): Either<RunFailure.Failed, CompletedResponse> {
            val context =
                DispatchContext(
                    ::acquire,
                    ::hasServer,
                    ::release,
                    sink,
                    ::recordTokens,
                    { slot?.attemptStarted(it) },
                    ::tryAcquire,
                )
            val dispatched = request.dispatchRequest.apply { hedgeAfterMs = components.hedgeAfterMs }
            val completed = components.dispatcher.run(dispatched, context).getOrElse {
                return RunFailure.Failed(errorOf(it)).left()
            }
            if (promptTokens == 0) recordTokens(request.chat?.estimatedPromptTokens ?: 0, 0)
            reportUsage(requests = 1)
            return completed.right()
        }

        private suspend fun acquire(isEligible: ServerFilter): BackendServer? {
            refusal = null
            val grant = SlotGrant(ticket())
            val server =
                components.admission
                    .admit(
                        grant.ticket,
                        acquireSlot = {
                            components.servers.choose(selectionRequest(isEligible))?.also {
                                components.servers.started(it.id)
                            }
                        },
                        releaseSlot = { components.servers.ended(it.id) },
                        preempt = grant::preempt,
                    ).getOrElse {
                        refusal = it
                        return null
                    }
            slot = grant
            slots[server.id] = grant
            onSlotGranted()
            return server
        }

        // A hedge takes a slot only if no request waits for one, so it needs no ticket.
        private fun tryAcquire(isEligible: ServerFilter): BackendServer? {
            if (components.admission.waiting(request.route.pool) > 0) return null
            return components.servers.choose(selectionRequest(isEligible))?.also { components.servers.started(it.id) }
        }

        private fun hasServer(isEligible: ServerFilter) =
            components.servers.available(request.route.pool).any(isEligible)

        private fun release(server: BackendServer, report: AttemptReport) {
            components.servers.ended(server.id)
            components.servers.recordAttempt(server.id, report)
            reportUsage(busyMs = report.durationMs)
            val released = slots.remove(server.id)
            if (released == null) {
                components.admission.grantFreeSlots(request.route.pool)
            } else {
                components.admission.ended(released.ticket, complete = report.failure == null)
            }
        }

        private fun recordTokens(prompt: Int, generated: Int) {
            promptTokens += prompt
            slot?.let { components.admission.charge(it.ticket, prompt + generated) }
            reportUsage(prompt, generated)
        }

        private fun reportUsage(prompt: Int = 0, generated: Int = 0, requests: Long = 0, busyMs: Long = 0) =
            components.reportUsage(request, RequestUsage(prompt.toLong(), generated.toLong(), busyMs, requests))

        private fun errorOf(failure: DispatchFailure): CallerError {
            val refusal = refusal
            return if (failure.kind == FailureKind.NO_SERVER && refusal != null && failure.verdict == Verdict.NOT_RUN) {
                CallerError.of(refusal)
            } else {
                CallerError.of(failure)
            }
        }

        private fun ticket(): Ticket {
            val requestClass = request.requestClass
            val targetMs = requestClass.firstTokenTargetMs
            val medianMs = components.servers.medianTimeToFirstTokenMs(request.route.pool)
            val maxWaitMs = maxOf(targetMs / MIN_WAIT_DIVISOR, targetMs - medianMs)
            return Ticket(
                components.admission.newId(),
                request.customer,
                requestClass,
                request.route.pool,
                request.arrivedAt,
                startBy = clock() + maxWaitMs,
                idempotent = request.isIdempotent,
            )
        }

        private fun selectionRequest(isEligible: ServerFilter): SelectionRequest {
            val isTopTier = request.requestClass.tier == components.topTier(request.route.pool)
            return SelectionRequest(
                request.route.pool,
                isLossCostly = !request.isIdempotent || isTopTier,
                mayExceedQuota = isTopTier,
                prefix = request.prefix,
                isEligible = isEligible,
            )
        }
    }

    /** A granted slot and the attempt that uses it. A preemption before the attempt starts takes effect then. */
    private inner class SlotGrant(val ticket: Ticket) {
        private var attempt: AttemptId? = null
        private var isPreempted = false

        fun attemptStarted(id: AttemptId) {
            attempt = id
            if (isPreempted) components.dispatcher.running.preempt(id)
        }

        fun preempt() {
            isPreempted = true
            attempt?.let(components.dispatcher.running::preempt)
        }
    }

    private companion object {
        // A request may wait for at least a quarter of its first-token target, even if the median time to the first
        // token exceeds the target.
        const val MIN_WAIT_DIVISOR = 4
        val NO_STREAM = EventStreamSink(startStream = { false }, sendEvent = { false })
    }
}
