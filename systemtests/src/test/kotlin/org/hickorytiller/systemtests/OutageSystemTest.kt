package org.hickorytiller.systemtests

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import org.hickorytiller.keys.hashKey

class OutageSystemTest : AnnotationSpec() {
    @Test
    fun `a router that starts while the log is down serves requests`() {
        Deployment().use { deployment ->
            deployment.startStandIns("--engines", "$ENGINES")
            deployment.startRouter(1)
            deployment.applyConfiguration() shouldBe 0
            deployment.awaitReady(1)
            deployment.post(deployment.logPort, "/control", """{"outage":true}""")
            deployment.startRouter(2)
            deployment.awaitReady(2)
            Deployment.await("a response of the router that started last") {
                deployment.stream(deployment.callerPort(2), tokens = 3).get().body.contains("[DONE]")
            }
        }
    }

    @Test
    fun `a key withdrawn on one router while the log is down is rejected by the other routers`() {
        Deployment().use { deployment ->
            deployment.startStandIns("--engines", "$ENGINES", "--between-tokens-ms", "100")
            deployment.startRouter(1)
            deployment.startRouter(2)
            deployment.applyConfiguration() shouldBe 0
            deployment.awaitReady(1)
            deployment.awaitReady(2)
            Deployment.await("both routers to know the engines") {
                deployment.stream(deployment.callerPort(1), tokens = 1).get().status == 200 &&
                    deployment.stream(deployment.callerPort(2), tokens = 1).get().status == 200
            }
            val running = deployment.stream(deployment.callerPort(2), tokens = 600)
            Deployment.await("the stream to start") { deployment.startedOnEngines(ENGINES) > 2 }
            deployment.post(deployment.logPort, "/control", """{"outage":true}""")
            val hash = hashKey(Deployment.KEY).value
            deployment.post(deployment.adminPort(1), "/keys/withdraw", hash).status shouldBe 200
            // Without the withdrawal the stream would run for a minute.
            val truncatedBody = runCatching { running.get().body }.getOrDefault("")
            truncatedBody shouldNotContain "[DONE]"
            Deployment.await("the other router to reject the key") {
                deployment.stream(deployment.callerPort(2), tokens = 1).get().status == 401
            }
            val refused = deployment.stream(deployment.callerPort(1), tokens = 1).get()
            refused.status shouldBe 401
            refused.body shouldContain "not_run"
        }
    }

    private companion object {
        const val ENGINES = 2
    }
}
