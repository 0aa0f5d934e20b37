package org.hickorytiller.systemtests

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.json

class ControllerSystemTest : AnnotationSpec() {
    @Test
    fun `a controller paused beyond its lease does not report different figures for a usage window`() {
        Deployment(routerCount = 1).use { deployment ->
            deployment.startStandIns("--engines", "2")
            deployment.startRouter(1)
            deployment.applyConfiguration() shouldBe 0
            deployment.awaitReady(1)
            deployment.startController(1)
            deployment.startController(2)
            Deployment.await("a holder of the usage duty") { holders(deployment).isNotEmpty() }
            val first = holders(deployment).last()
            Deployment.await("a usage report of served requests") {
                deployment.stream(deployment.callerPort(1), tokens = 2).get()
                reports(deployment).isNotEmpty()
            }
            deployment.suspendProcess("controller-${first.removePrefix("host-")}")
            Deployment.await("another holder of the usage duty") { holders(deployment).last() != first }
            val before = reports(deployment).size
            Deployment.await("a usage report of the new holder") {
                deployment.stream(deployment.callerPort(1), tokens = 2).get()
                reports(deployment).size > before
            }
            deployment.resume("controller-${first.removePrefix("host-")}")
            Deployment.await("two more usage reports") {
                deployment.stream(deployment.callerPort(1), tokens = 2).get()
                reports(deployment).size > before + 2
            }
            reports(deployment).values.forEach { figures -> figures.distinct() shouldHaveSize 1 }
            holders(deployment).size shouldBeGreaterThan 1
        }
    }

    /** Returns the holders of the usage duty in the order of their claims. */
    private fun holders(deployment: Deployment): List<String> {
        val page = json.readTree(deployment.get(deployment.logPort, "/streams/leases?from=0&max=1000").body)
        return page
            .path("records")
            .map { json.readTree(java.util.Base64.getDecoder().decode(it.path("data").textValue())) }
            .filter { it.path("type").textValue() == "Claim" && it.path("duty").textValue().startsWith("usage") }
            .map { it.path("holder").textValue() }
    }

    /** Returns by window id all bodies that were reported for the window. */
    private fun reports(deployment: Deployment): Map<String, List<String>> {
        val windows = json.readTree(deployment.get(deployment.usagePort, "/windows").body)
        return windows.properties().associate { (id, figures) -> id to figures.map { it.textValue() } }
    }
}
