package org.hickorytiller.controller

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.HostId
import org.hickorytiller.leases.Duty
import org.hickorytiller.leases.LeaseTiming

class ControllerSettingsTest : AnnotationSpec() {
    private val validSettings = """
        host = "host-1"
        failureDomain = "zone-a"
        failureDomains = ["zone-a", "zone-b"]
        adminAddress = "127.0.0.1:7231"
        [platform]
        logAddress = "127.0.0.1:7100"
        orderAddress = "127.0.0.1:7101"
        usageAddress = "127.0.0.1:7102"
    """.trimIndent()

    @Test
    fun `uses the documented default lease times`() {
        val settings = ControllerSettings.read(validSettings).getOrNull()!!
        settings.lease shouldBe LeaseTiming(10_000, 1_000, 3_000, 500)
        settings.platform.requiredLeaseMs shouldBe 2_500
    }

    @Test
    fun `reports all invalid settings at once`() {
        val invalidSettings = validSettings.replace("127.0.0.1:7231", "localhost:7231") +
            "\nincompleteRequestTimeoutMs = 9950\n[lease]\nrenewIntervalMs = 9000\n[orders]\nbudget = 1\n"
        ControllerSettings.read(invalidSettings).leftOrNull()!!.map { it.name } shouldContainExactlyInAnyOrder
            listOf("adminAddress", "platform.incompleteRequestTimeoutMs", "lease.renewIntervalMs", "orders.budget")
    }

    @Test
    fun `spreads the claims of 360 hosts over the renewal interval`() {
        val delays = (1..360).map { claimDelayMs(HostId("host-$it"), Duty("orders/zone-a"), LeaseTiming()) }
        delays.groupBy { it / 100 }.values.maxOf { it.size } shouldBeLessThan 31
        delays.all { it in 0L..2_999L } shouldBe true
    }
}
