package org.hickorytiller.daemon

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.hickorytiller.core.SettingsFault
import java.io.File
import java.net.InetSocketAddress

class DaemonSettingsTest : AnnotationSpec() {
    /** The template filled in like the platform does it. */
    private val text =
        File("../platform/daemon.template.toml").readText()
            .replace(Regex("\\{\\{#seeds}}.*\\{\\{/seeds}}"), "\"10.1.0.1:8229\",\"10.2.0.1:8229\"")
            .replace("{{node}}", "edge-a-1")
            .replace("{{zone}}", "a")
            .replace("{{platform.addr}}", "10.200.1.7:8223")
            .replace("{{cloud-api.addr}}", "10.200.0.61:8223")
            .replace(Regex("\\{\\{listen\\.\\w+}}"), "10.1.0.19:8227")
            .replace("{{ip}}", "10.1.0.19")
            .replace("{{port-range.0}}", "7340")
            .replace("{{bounds.revoke-ms}}", "5000")
            .replace("{{bounds.grace-s}}", "7.5")
            .replace("{{bounds.lease-ms}}", "3000")
            .replace("{{bounds.report-window-s}}", "5")
            .replace("{{bounds.budget-ratio}}", "0.25")
            .replace("{{bounds.budget-slack}}", "56")
            .replace("{{bounds.budget-window-s}}", "10")
            .replace("{{bounds.ttl_max_s}}", "5")
            .replace("{{bounds.retry-after-s}}", "6.3")

    @Test
    fun `the platform's template yields settings that the daemon accepts`() {
        val settings = DaemonSettings.read(text).getOrNull()!!
        settings.bounds.keyWithdrawalMs shouldBe 5_000
        settings.bounds.graceMs shouldBe 7_500
        settings.bounds.usageWindowMs shouldBe 5_000
        settings.bounds.retryRatio shouldBe 0.25
        settings.bounds.retrySlack shouldBe 56
        settings.bounds.partReuseMs shouldBe 6_300
        settings.listen.mesh.port shouldBe 7_340
        settings.contacts.size shouldBe 2
    }

    @Test
    fun `invalid settings are rejected with the name and the reason`() {
        val cases =
            listOf(
                "host = \"edge-a-1\"" to "" to "host: missing",
                "host = \"edge-a-1\"" to "host = 7" to "host: expected a non-empty string",
                "keyWithdrawalMs = 5000" to "keyWithdrawalMs = 10" to "bounds.keyWithdrawalMs: expected a value",
                "retryRatio = 0.25" to "retryRatio = \"x\"" to "bounds.retryRatio: expected a number",
                "retryRatio = 0.25" to "retryRatio = 11" to "bounds.retryRatio: expected a value from 0.0 to 10.0, found 11.0",
                "retryRatio = 0.25" to "" to "bounds.retryRatio: missing",
                "store = \"10.200.1.7:8223\"" to "store = \"store.example:1\"" to "store: expected IP:PORT",
                "[listen]" to "[listen]\nunknown = 1" to "listen.unknown: unknown name",
                "[bounds]" to "[bounds" to "line",
            )
        cases.forAll { (change, message) ->
            val faults = DaemonSettings.read(text.replace(change.first, change.second)).leftOrNull()!!
            faults.joinToString("\n") shouldContain message
        }
    }

    @Test
    fun `an invalid file changes nothing in a running process, and changed contacts are applied`() {
        val first = DaemonSettings.read(text).getOrNull()!!
        var next: Either<List<SettingsFault>, DaemonSettings> = first.right()
        val taken = mutableListOf<List<InetSocketAddress>>()
        val reload = SettingsReload(first, { next }) { taken += it }
        reload.reload(isRequested = true)
        next = listOf(SettingsFault("host", "missing")).left()
        reload.reload(isRequested = true)
        taken.size shouldBe 0
        next = first.copy(contacts = emptyList()).right()
        reload.reload(isRequested = false)
        reload.reload(isRequested = false)
        taken shouldBe listOf(emptyList())
    }
}
