/**
 * Runs a caller's request: the right to run it if it must not run twice, a slot, the dispatch, the answer.
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

/** Receives what a request was served, as it is served. */
internal typealias ReportUsage = (CallerRequest, RequestUsage) -> Unit

/**
 * The slices that a request passes through.
 *
 * @property hedgeAfterMs time to the first token after which a second server is asked too; null for never
 */
internal class RequestSlices(
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
    private val slices: RequestSlices,
    private val scope: CoroutineScope,
) {
    /** Runs [request] and sends its answer. Returns whether the connection can be used for another request. */
    suspend fun run(request: CallerRequest, answer: CallerAnswer): Boolean {
        slices.dispatcher.suspects.quarantineMs(request.toDispatch.fingerprint, clock())?.let {
            return answer.fail(CallerError.quarantined(it))
        }
        val result = if (request.isIdempotent) runRepeatable(request, answer) else runOnce(request, answer)
        val completed = result.getOrElse { refused ->
            return when (refused) {
                is Ended.Before -> answer.repeat(refused.outcome)
                is Ended.Failed -> answer.fail(refused.error)
            }
        }
        answer.verdict = Verdict.RAN
        val body = completed.body ?: return answer.end()
        return answer.whole(completed.head, body)
    }

    private suspend fun runRepeatable(request: CallerRequest, answer: CallerAnswer): Either<Ended, CompletedResponse> {
        val sink = EventStreamSink(startStream = answer::start, sendEvent = answer::event)
        return Dispatch(request, sink) { answer.verdict = Verdict.MAY_HAVE_RUN }.run()
    }

    private suspend fun runOnce(request: CallerRequest, answer: CallerAnswer): Either<Ended, CompletedResponse> {
        val key = request.intentKey().getOrElse { return Ended.Failed(it).left() }
        val grant = slices.intents.claim(key, request.digest()).getOrElse { return ended(it).left() }
        // The request goes on without its caller once it has the right to run, so that its outcome is recorded and a
        // caller that sends it again learns it. Before a byte is sent, the caller's leaving still stops it.
        val progress = OnceProgress(grant)
        val work = scope.async { Dispatch(request, NO_STREAM, progress::sending).run().also(progress::settle) }
        try {
            return work.await()
        } finally {
            if (progress.leave()) work.cancel() else answer.verdict = Verdict.MAY_HAVE_RUN
        }
    }

    /** Where a request that holds the right to run stands. It settles its grant exactly once. */
    private class OnceProgress(private val grant: IntentRecorder.ExecutionGrant) {
        private var isSending = false
        private var isSettled = false

        fun sending() {
            isSending = true
        }

        fun settle(result: Either<Ended.Failed, CompletedResponse>) {
            isSettled = true
            result.fold({ ended ->
                if (ended.error.verdict == Verdict.NOT_RUN) grant.release() else grant.recordMayHaveRun()
            }, { completed ->
                val contentType = completed.head.headers["content-type"]
                grant.recordOutcome(
                    RecordedOutcome.of(completed.head.status, contentType, completed.body ?: ByteArray(0)),
                )
            })
        }

        /** Called when nobody waits for the result any more. Returns whether the request is not to be sent. */
        fun leave(): Boolean {
            if (isSending || isSettled) return false
            isSettled = true
            grant.release()
            return true
        }
    }

    private fun ended(refusal: IntentRefusal): Ended = if (refusal is IntentRefusal.Ran && !refusal.outcome.truncated) {
        Ended.Before(refusal.outcome)
    } else {
        Ended.Failed(CallerError.of(refusal))
    }

    /** How a request ended without an answer of its own. */
    private sealed interface Ended {
        class Failed(val error: CallerError) : Ended

        class Before(val outcome: RecordedOutcome) : Ended
    }

    /** One request on its way through admission, the choice of servers and the dispatcher. */
    private inner class Dispatch(
        private val request: CallerRequest,
        private val sink: EventStreamSink,
        private val onSlot: () -> Unit,
    ) {
        private var refused: AdmissionRefusal? = null
        private var slot: Slot? = null
        private val slots = HashMap<BackendServerId, Slot>()
        private var promptTokens = 0

        suspend fun run(): Either<Ended.Failed, CompletedResponse> {
            val context =
                DispatchContext(::acquire, ::exists, ::release, sink, ::use, { slot?.began(it) }, ::tryAcquire)
            val dispatched = request.toDispatch.apply { hedgeAfterMs = slices.hedgeAfterMs }
            val completed = slices.dispatcher.run(dispatched, context).getOrElse {
                return Ended.Failed(errorOf(it)).left()
            }
            if (promptTokens == 0) use(request.chat?.estimatedPromptTokens ?: 0, 0)
            report(requests = 1)
            return completed.right()
        }

        private suspend fun acquire(isEligible: ServerFilter): BackendServer? {
            refused = null
            val next = Slot(ticket())
            val server =
                slices.admission
                    .admit(
                        next.ticket,
                        acquireSlot = {
                            slices.servers.choose(selectionRequest(isEligible))?.also { slices.servers.started(it.id) }
                        },
                        releaseSlot = { slices.servers.ended(it.id) },
                        preempt = next::preempt,
                    ).getOrElse {
                        refused = it
                        return null
                    }
            slot = next
            slots[server.id] = next
            onSlot()
            return server
        }

        // A hedge takes a slot only if nobody waits for one, so it needs no ticket.
        private fun tryAcquire(isEligible: ServerFilter): BackendServer? {
            if (slices.admission.waiting(request.route.pool) > 0) return null
            return slices.servers.choose(selectionRequest(isEligible))?.also { slices.servers.started(it.id) }
        }

        private fun exists(isEligible: ServerFilter) = slices.servers.available(request.route.pool).any(isEligible)

        private fun release(server: BackendServer, report: AttemptReport) {
            slices.servers.ended(server.id)
            slices.servers.observe(server.id, report)
            report(busyMs = report.durationMs)
            val released = slots.remove(server.id)
            if (released == null) {
                slices.admission.grantFreeSlots(request.route.pool)
            } else {
                slices.admission.ended(released.ticket, complete = report.failure == null)
            }
        }

        private fun use(prompt: Int, generated: Int) {
            promptTokens += prompt
            slot?.let { slices.admission.charge(it.ticket, prompt + generated) }
            report(prompt, generated)
        }

        private fun report(prompt: Int = 0, generated: Int = 0, requests: Long = 0, busyMs: Long = 0) =
            slices.reportUsage(request, RequestUsage(prompt.toLong(), generated.toLong(), busyMs, requests))

        private fun errorOf(failure: DispatchFailure): CallerError {
            val refusal = refused
            return if (failure.kind == FailureKind.NO_SERVER && refusal != null && failure.verdict == Verdict.NOT_RUN) {
                CallerError.of(refusal)
            } else {
                CallerError.of(failure)
            }
        }

        private fun ticket(): Ticket {
            val requestClass = request.requestClass
            val targetMs = requestClass.firstTokenTargetMs
            val medianMs = slices.servers.medianTimeToFirstTokenMs(request.route.pool)
            val spareMs = maxOf(targetMs / LEAST_WAIT_PART, targetMs - medianMs)
            return Ticket(
                slices.admission.newId(),
                request.customer,
                requestClass,
                request.route.pool,
                request.arrivedAt,
                startBy = clock() + spareMs,
                idempotent = request.isIdempotent,
            )
        }

        private fun selectionRequest(isEligible: ServerFilter): SelectionRequest {
            val isMostUrgent = request.requestClass.tier == slices.topTier(request.route.pool)
            return SelectionRequest(
                request.route.pool,
                lossSensitive = !request.isIdempotent || isMostUrgent,
                mayExceedQuota = isMostUrgent,
                prefix = request.prefix,
                isEligible = isEligible,
            )
        }
    }

    /** A slot from its grant on, with the attempt that uses it once it has begun. */
    private inner class Slot(val ticket: Ticket) {
        private var attempt: AttemptId? = null
        private var isPreempted = false

        fun began(id: AttemptId) {
            attempt = id
            if (isPreempted) slices.dispatcher.running.preempt(id)
        }

        fun preempt() {
            isPreempted = true
            attempt?.let(slices.dispatcher.running::preempt)
        }
    }

    private companion object {
        // Part of the target that a request may wait even where the first token usually takes longer than the target.
        const val LEAST_WAIT_PART = 4
        val NO_STREAM = EventStreamSink(startStream = { false }, sendEvent = { false })
    }
}
