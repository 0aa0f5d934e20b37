package org.hickorytiller.systemtests

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain

class PlannedStopSystemTest : AnnotationSpec() {
    @Test
    fun `a planned stop completes running streams and serves callers that still use the address`() {
        Deployment().use { deployment ->
            deployment.startStandIns("--engines", "2", "--between-tokens-ms", "50")
            deployment.startRouter(1)
            deployment.startRouter(2)
            deployment.applyConfiguration() shouldBe 0
            deployment.awaitReady(1)
            deployment.awaitReady(2)
            Deployment.await("the router to know the engines") {
                deployment.stream(deployment.callerPort(1), tokens = 1).get().status == 200
            }
            Deployment.await("both addresses in the response") { addresses(deployment).size == 2 }
            val running = deployment.stream(deployment.callerPort(1), tokens = 100)
            Deployment.await("the stream to start") { deployment.startedOnEngines(2) > 1 }
            deployment.terminate("router-1")
            Deployment.await("the leaving host to be missing from the response") { addresses(deployment).size == 1 }
            val late = deployment.stream(deployment.callerPort(1), tokens = 2).get()
            late.body shouldContain "[DONE]"
            running.get().body shouldContain "[DONE]"
            deployment.awaitExit("router-1") shouldBe 0
        }
    }

    private fun addresses(deployment: Deployment): List<String> {
        val body = deployment.get(deployment.callerPort(2), "/v1/address").body
        return org.hickorytiller.core.json.readTree(body).path("addresses").map { it.textValue() }
    }
}
