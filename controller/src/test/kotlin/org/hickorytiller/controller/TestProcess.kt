/** A simulated process whose tasks run in virtual time and can be frozen at any suspension point. */
package org.hickorytiller.controller

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.test.TestCoroutineScheduler
import kotlinx.coroutines.test.TestDispatcher
import org.hickorytiller.core.Clock
import org.hickorytiller.core.TimeMs
import kotlin.coroutines.CoroutineContext
import kotlin.coroutines.resume

/** Dispatches tasks to [inner] and queues them while the process is frozen. */
@OptIn(InternalCoroutinesApi::class)
internal class FreezableDispatcher(private val inner: TestDispatcher) :
    CoroutineDispatcher(),
    Delay {
    private val queued = ArrayDeque<Pair<CoroutineContext, Runnable>>()

    var isFrozen = false
        set(value) {
            field = value
            while (!field) {
                val (context, block) = queued.removeFirstOrNull() ?: break
                inner.dispatch(context, block)
            }
        }

    override fun dispatch(context: CoroutineContext, block: Runnable) {
        if (isFrozen) {
            queued.addLast(context to block)
        } else {
            inner.dispatch(context) { if (isFrozen) queued.addLast(context to block) else block.run() }
        }
    }

    override fun scheduleResumeAfterDelay(timeMillis: Long, continuation: CancellableContinuation<Unit>) {
        val handle = inner.invokeOnTimeout(timeMillis, { continuation.resume(Unit) }, continuation.context)
        continuation.invokeOnCancellation { handle.dispose() }
    }

    override fun invokeOnTimeout(timeMillis: Long, block: Runnable, context: CoroutineContext): DisposableHandle = inner.invokeOnTimeout(timeMillis, { dispatch(context, block) }, context)
}

/** A process called [name]; [rate] is the speed of its clock relative to virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class TestProcess(
    val name: String,
    private val scheduler: TestCoroutineScheduler,
    private val rate: Double,
    inner: TestDispatcher,
) {
    val dispatcher = FreezableDispatcher(inner)
    val scope = CoroutineScope(dispatcher + SupervisorJob())
    val clock: Clock = { TimeMs((scheduler.currentTime * rate).toLong()) }
    lateinit var leases: LeaseTask
}
