/** Registry of the attempts in progress, through which an attempt is cancelled to preempt or move its request. */
package org.hickorytiller.dispatch

import kotlinx.coroutines.CancellationException
import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.ClassId
import org.hickorytiller.core.Tier
import org.hickorytiller.core.TimeMs

/** Identifier of an attempt, unique within one router process. */
@JvmInline
value class AttemptId(val value: Long)

/** An attempt in progress. */
data class RunningAttempt(
    val id: AttemptId,
    val server: BackendServer,
    val requestClass: ClassId,
    val tier: Tier,
    val isIdempotent: Boolean,
    val startedAt: TimeMs,
)

/** Cancels the coroutine of an attempt; [kind] is the reason. */
internal class AttemptCancelledException(val kind: FailureKind) :
    CancellationException("the router cancelled the attempt: ${kind.code}")

/** The attempts in progress in one router. Confined to the event loop. */
class RunningAttempts {
    private val attempts = LinkedHashMap<AttemptId, Pair<RunningAttempt, (AttemptCancelledException) -> Unit>>()
    private var nextId = 0L

    /** Returns all attempts in progress, oldest first. */
    fun all(): List<RunningAttempt> = attempts.values.map { it.first }

    /**
     * Cancels an attempt of an idempotent request, which then waits for a slot again. Returns false if the attempt has
     * ended or its request is not idempotent.
     */
    fun preempt(id: AttemptId): Boolean = cancel(id, FailureKind.PREEMPTED)

    /** Moves the idempotent requests on servers that [shouldMove] matches to other servers. Returns their number. */
    fun moveFrom(shouldMove: (BackendServer) -> Boolean): Int =
        all().filter { shouldMove(it.server) }.count { cancel(it.id, FailureKind.MOVED) }

    internal fun newId() = AttemptId(nextId++)

    internal fun add(attempt: RunningAttempt, cancel: (AttemptCancelledException) -> Unit) {
        attempts[attempt.id] = attempt to cancel
    }

    internal fun remove(id: AttemptId) {
        attempts -= id
    }

    private fun cancel(id: AttemptId, kind: FailureKind): Boolean {
        val (attempt, cancel) = attempts[id] ?: return false
        if (!attempt.isIdempotent) return false
        attempts -= id
        cancel(AttemptCancelledException(kind))
        return true
    }
}
