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
import org.hickorytiller.admission.Refusal
import org.hickorytiller.admission.Ticket
import org.hickorytiller.balancing.BackendServerTable
import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.ClassId
import org.hickorytiller.core.Clock
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.Verdict
import org.hickorytiller.dispatch.AnswerSink
import org.hickorytiller.dispatch.AttemptReport
import org.hickorytiller.dispatch.Completed
import org.hickorytiller.dispatch.DispatchContext
import org.hickorytiller.dispatch.DispatchFailure
import org.hickorytiller.dispatch.Dispatcher
import org.hickorytiller.dispatch.FailureKind
import org.hickorytiller.dispatch.IntentRecorder
import org.hickorytiller.dispatch.IntentRefusal
import org.hickorytiller.dispatch.RecordedOutcome
import org.hickorytiller.dispatch.ServerFilter

/** What a request used; [requests] is 1 once for each request that got its answer. */
internal data class RequestUse(
    val customer: CustomerId,
    val requestClass: ClassId,
    val pool: PoolId,
    val promptTokens: Int,
    val generatedTokens: Int,
    val requests: Int,
)

/** Receives what requests use, as they use it. */
internal typealias ReportUse = (RequestUse) -> Unit

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
    val hedgeAfterMs: Long? = null,
    val reportUse: ReportUse = {},
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
            return if (refused is Ended.Before) {
                answer.repeat(
                    refused.outcome,
                )
            } else {
                answer.fail((refused as Ended.Failed).error)
            }
        }
        answer.verdict = Verdict.RAN
        val body = completed.body ?: return answer.end()
        return answer.whole(completed.head, body)
    }

    private suspend fun runRepeatable(request: CallerRequest, answer: CallerAnswer): Either<Ended, Completed> {
        val sink = AnswerSink(start = answer::start, event = answer::event)
        return Dispatch(request, sink) { answer.verdict = Verdict.MAY_HAVE_RUN }.run()
    }

    private suspend fun runOnce(request: CallerRequest, answer: CallerAnswer): Either<Ended, Completed> {
        val key = request.intentKey().getOrElse { return Ended.Failed(it).left() }
        val claim = slices.intents.claim(key, request.digest()).getOrElse { return ended(it).left() }
        // The request goes on without its caller once it has the right to run, so that its outcome is recorded and a
        // caller that sends it again learns it. Before a byte is sent, the caller's leaving still stops it.
        val progress = OnceProgress(claim)
        val work = scope.async { Dispatch(request, NO_STREAM, progress::sending).run().also(progress::settle) }
        try {
            return work.await()
        } finally {
            if (progress.leave()) work.cancel() else answer.verdict = Verdict.MAY_HAVE_RUN
        }
    }

    /** Where a request that holds the right to run stands. It settles its claim exactly once. */
    private class OnceProgress(private val claim: IntentRecorder.Claim) {
        private var isSending = false
        private var isSettled = false

        fun sending() {
            isSending = true
        }

        fun settle(result: Either<Ended.Failed, Completed>) {
            isSettled = true
            result.fold({ ended ->
                if (ended.error.verdict == Verdict.NOT_RUN) claim.release() else claim.mayHaveRun()
            }, { completed ->
                val contentType = completed.head.headers["content-type"]
                claim.ran(RecordedOutcome.of(completed.head.status, contentType, completed.body ?: ByteArray(0)))
            })
        }

        /** Called when nobody waits for the result any more. Returns whether the request is not to be sent. */
        fun leave(): Boolean {
            if (isSending || isSettled) return false
            isSettled = true
            claim.release()
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
        private val sink: AnswerSink,
        private val onSlot: () -> Unit,
    ) {
        private var refusal: Refusal? = null
        private var promptTokens = 0

        suspend fun run(): Either<Ended.Failed, Completed> {
            val context = DispatchContext(::acquire, ::exists, ::release, sink, ::use, ::acquireNow)
            val dispatched = request.toDispatch.apply { hedgeAfterMs = slices.hedgeAfterMs }
            val completed = slices.dispatcher.run(dispatched, context).getOrElse {
                return Ended.Failed(errorOf(it)).left()
            }
            if (promptTokens == 0) use(request.chat?.estimatedPromptTokens ?: 0, 0)
            report(0, 0, requests = 1)
            return completed.right()
        }

        private suspend fun acquire(mayUse: ServerFilter): BackendServer? {
            val pool = request.route.pool
            var server: BackendServer? = null
            try {
                slices.admission
                    .admit(ticket()) { slices.servers.choose(pool, mayUse)?.also { slices.servers.started(it.id) } }
                    .fold({ refusal = it }, { server = it })
            } finally {
                // The slot that was granted is not used, since no free server may run this request or it was cancelled.
                if (server == null) slices.admission.grantFreeSlots(pool)
            }
            if (server != null) onSlot()
            return server
        }

        private fun acquireNow(mayUse: ServerFilter): BackendServer? {
            if (slices.admission.waiting(request.route.pool) > 0) return null
            return slices.servers.choose(request.route.pool, mayUse)?.also { slices.servers.started(it.id) }
        }

        private fun exists(mayUse: ServerFilter) = slices.servers.available(request.route.pool).any(mayUse)

        @Suppress("UnusedParameter") // the report is for the balancing slice, which judges stragglers by it
        private fun release(server: BackendServer, report: AttemptReport) {
            slices.servers.ended(server.id)
            slices.admission.grantFreeSlots(request.route.pool)
        }

        private fun use(prompt: Int, generated: Int) {
            promptTokens += prompt
            slices.admission.charge(request.route.pool, request.customer, prompt + generated)
            report(prompt, generated, requests = 0)
        }

        private fun report(prompt: Int, generated: Int, requests: Int) = slices.reportUse(
            RequestUse(request.customer, request.requestClass.id, request.route.pool, prompt, generated, requests),
        )

        private fun errorOf(failure: DispatchFailure): CallerError {
            val refused = refusal
            return if (failure.kind == FailureKind.NO_SERVER && refused != null && failure.verdict == Verdict.NOT_RUN) {
                CallerError.of(refused)
            } else {
                CallerError.of(failure)
            }
        }

        private fun ticket() = Ticket(
            slices.admission.newId(),
            request.customer,
            request.requestClass,
            request.route.pool,
            request.arrivedAt,
            request.deadline,
        )
    }

    private companion object {
        val NO_STREAM = AnswerSink(start = { false }, event = { false })
    }
}
