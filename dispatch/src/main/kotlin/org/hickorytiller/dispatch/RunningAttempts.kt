/** The attempts in progress, so that others can end one to preempt its request or to move it to another server. */
package org.hickorytiller.dispatch

import kotlinx.coroutines.CancellationException
import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.ClassId
import org.hickorytiller.core.Tier
import org.hickorytiller.core.TimeMs

/** Identifier of an attempt within one router. */
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

/** Ends the task of an attempt. */
internal class AttemptEndedException(val kind: FailureKind) :
    CancellationException("the attempt was ended: ${kind.code}")

/** Attempts of one router. Confined to the event loop. */
class RunningAttempts {
    private val attempts = LinkedHashMap<AttemptId, Pair<RunningAttempt, (AttemptEndedException) -> Unit>>()
    private var nextId = 0L

    /** All attempts in progress, oldest first. */
    fun all(): List<RunningAttempt> = attempts.values.map { it.first }

    /** Preempts an attempt of an idempotent request, which then waits for a slot again. False if it cannot be. */
    fun preempt(id: AttemptId): Boolean = end(id, FailureKind.PREEMPTED)

    /** Moves the idempotent requests on servers that [leave] matches to other servers. Returns their number. */
    fun moveFrom(leave: (BackendServer) -> Boolean): Int =
        all().filter { leave(it.server) }.count { end(it.id, FailureKind.MOVED) }

    internal fun newId() = AttemptId(nextId++)

    internal fun add(attempt: RunningAttempt, end: (AttemptEndedException) -> Unit) {
        attempts[attempt.id] = attempt to end
    }

    internal fun remove(id: AttemptId) {
        attempts -= id
    }

    private fun end(id: AttemptId, kind: FailureKind): Boolean {
        val (attempt, end) = attempts[id] ?: return false
        if (!attempt.isIdempotent) return false
        attempts -= id
        end(AttemptEndedException(kind))
        return true
    }
}
