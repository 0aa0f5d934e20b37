package org.hickorytiller.daemon

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.runBlocking

class EssentialTasksTest : AnnotationSpec() {
    private fun endsAfter(task: suspend () -> Unit): Boolean = runBlocking {
        var ended = false
        val job = Job()
        EssentialTasks(CoroutineScope(coroutineContext + job)) { ended = true }.start("task", task)
        job.children.forEach { it.join() }
        job.cancel()
        ended
    }

    @Test
    fun `the process ends when an essential task fails or returns`() {
        val failures = listOf<Throwable>(IllegalStateException("x"), NoClassDefFoundError("y"))
        failures.forAll { failure -> endsAfter { throw failure } shouldBe true }
        endsAfter { } shouldBe true
    }

    @Test
    fun `cancelling an essential task does not count as a failure`() = runBlocking {
        var ended = false
        val scope = CoroutineScope(coroutineContext + Job())
        val started = CompletableDeferred<Unit>()
        EssentialTasks(scope) { ended = true }.start("task") {
            started.complete(Unit)
            CompletableDeferred<Unit>().await()
        }
        started.await()
        scope.coroutineContext[Job]!!.cancel()
        scope.coroutineContext[Job]!!.children.forEach { it.join() }
        ended shouldBe false
    }
}
