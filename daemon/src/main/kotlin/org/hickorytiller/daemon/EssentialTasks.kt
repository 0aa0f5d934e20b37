/**
 * Tasks that keep a host's state in step with the platform. If one of them ends, the process ends too and is started
 * again, instead of serving on with stale state.
 */
package org.hickorytiller.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/** Ends the process after a task failed. */
internal typealias EndProcess = () -> Unit

/** Runs essential tasks in [scope] and calls [end] when one of them ends. */
internal class EssentialTasks(private val scope: CoroutineScope, private val end: EndProcess) {
    /** Starts [task], called [name] in the log. */
    fun start(name: String, task: suspend () -> Unit) {
        scope.launch {
            try {
                task()
                failed(name, "returned")
            } catch (e: CancellationException) {
                throw e
            } catch (e: Throwable) {
                failed(name, e.toString())
            }
        }
    }

    private fun failed(name: String, reason: String) {
        end()
        log.error { "event=task_failed task=$name reason=$reason" }
    }

    private companion object {
        val log = KotlinLogging.logger {}
    }
}
