package org.hickorytiller.systemtests

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.json

class RefundSystemTest : AnnotationSpec() {
    private val headers = arrayOf("Authorization", Deployment.AUTHORIZATION, "Idempotency-Key", "refund-1")

    private fun Deployment.executions() = (0..1).sumOf { json.readTree(get(backendPort(ENGINES + it), "/executions").body).path("executions").size() }

    // Status 503 means that the router does not know the backend servers yet. The router is killed during the last call.
    private fun Deployment.refundUntilAccepted() {
        while (runCatching { post(callerPort(1), "/refunds", "{}", *headers) }.getOrNull()?.status == 503) Thread.sleep(50)
    }

    @Test
    fun `a refund runs once when its router is killed and the caller retries on another host`() {
        Deployment().use { deployment ->
            deployment.startStandIns("--engines", "$ENGINES", "--services", "2")
            deployment.startRouter(1)
            deployment.startRouter(2)
            deployment.applyConfiguration() shouldBe 0
            deployment.awaitReady(1)
            deployment.awaitReady(2)
            (0..1).forEach { deployment.post(deployment.backendPort(ENGINES + it), "/control", """{"delayMs":3000}""") }
            Thread { deployment.refundUntilAccepted() }.start()
            Deployment.await("the first execution") { deployment.executions() > 0 }
            deployment.kill("router-1")
            val second = deployment.post(deployment.callerPort(2), "/refunds", "{}", *headers)
            second.verdict shouldBeIn listOf("may_have_run", "ran", null)
            deployment.executions() shouldBe 1
        }
    }

    @Test
    fun `a refund refused as not run while the log is down does not run`() {
        Deployment(routerCount = 1).use { deployment ->
            deployment.startStandIns("--engines", "$ENGINES", "--services", "2")
            deployment.startRouter(1)
            deployment.applyConfiguration() shouldBe 0
            deployment.awaitReady(1)
            deployment.post(deployment.logPort, "/control", """{"outage":true}""")
            val refused = deployment.post(deployment.callerPort(1), "/refunds", "{}", *headers)
            refused.verdict shouldBe "not_run"
            deployment.executions() shouldBe 0
            deployment.post(deployment.logPort, "/control", """{"outage":false}""")
            Deployment.await("a refund accepted after the log outage") {
                deployment.post(deployment.callerPort(1), "/refunds", "{}", *headers).status == 200
            }
            deployment.executions() shouldBe 1
        }
    }

    private companion object {
        const val ENGINES = 2
    }
}
