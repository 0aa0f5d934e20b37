package org.hickorytiller.mesh

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.HostId
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.ProcessId
import org.hickorytiller.core.TimeMs
import org.hickorytiller.placement.PromptPartId
import org.hickorytiller.placement.PromptPartLocation
import org.hickorytiller.placement.ServerLoad
import java.net.InetSocketAddress

class PeerTableTest : AnnotationSpec() {
    private var nowMs = 0L
    private val server = BackendServerId("s1")

    private fun table() = PeerTable({ TimeMs(nowMs) }, HostId("own"))

    private fun status(host: String, sequence: Long, run: String = "run", wallMs: Long = 1_000_000, port: Int = 7_340) = HostStatus(
        HostId(host),
        ProcessId(run),
        sequence,
        InetSocketAddress("10.0.0.1", port),
        InetSocketAddress("10.0.0.1", 8_000),
        canServe = true,
        leaseLogEnd = LogOffset(12),
        wallMs,
        load = mapOf(server to ServerLoad(2, 100)),
        parts = listOf(PromptPartLocation(PromptPartId(-7), server, 20)),
        usage = mapOf(WindowNumber(5) to mapOf(CustomerId("c") to 3L)),
        readProgress = StoreReadProgress(LogOffset(3), LogOffset(4), mapOf(HostId("own") to MessageId(ProcessId("p"), 8))),
        peers = listOf(InetSocketAddress("10.0.0.9", 7_340)),
    )

    @Test
    fun `a host without recent messages is not alive and adds no load`() {
        val table = table()
        table.receive(status("a", 1)) shouldBe true
        table.alive().size shouldBe 1
        nowMs += 1_801
        table.alive().shouldBeEmpty()
        table.load() shouldBe emptyMap()
    }

    @Test
    fun `an older message is ignored, but the first message after a restart is not`() {
        val table = table()
        table.receive(status("a", 9))
        table.receive(status("a", 3, wallMs = 5)) shouldBe false
        table.alive().single().sequence shouldBe 9
        table.receive(status("a", 1, run = "next")) shouldBe true
        table.alive().single().run.value shouldBe "next"
    }

    @Test
    fun `the host's own messages are ignored`() {
        val table = table()
        table.receive(status("own", 1)) shouldBe false
        table.alive().shouldBeEmpty()
    }

    @Test
    fun `nothing is sent to the previous address of a host that has moved`() {
        val table = table()
        table.receive(status("a", 1, port = 7_340))
        table.receive(status("a", 1, run = "next", port = 7_341))
        table.destinations().map { it.port to it.address.hostAddress } shouldContainExactlyInAnyOrder
            listOf(7_341 to "10.0.0.1", 7_340 to "10.0.0.9")
    }

    @Test
    fun `the median wall clock ignores a clock that has jumped`() {
        val table = table()
        listOf("a", "b", "c", "d").forEach { table.receive(status(it, 1, wallMs = 1_000_000)) }
        table.receive(status("e", 1, wallMs = 1_002_400))
        table.medianWallMs(localWallMs = 1_002_400) shouldBe 1_000_000
        nowMs += 500
        table.medianWallMs(localWallMs = 1_000_500) shouldBe 1_000_500
        table().medianWallMs(localWallMs = 77) shouldBe 77
    }

    @Test
    fun `only messages of the current process run that arrived before the given time are named`() {
        val table = table()
        nowMs = 0
        table.receive(status("a", 1))
        nowMs = 100
        table.receive(status("a", 2))
        table.lastMessagesBefore(TimeMs(0), 9) shouldBe emptyMap()
        table.lastMessagesBefore(TimeMs(100), 9) shouldBe mapOf(HostId("a") to MessageId(ProcessId("run"), 1))
        table.lastMessagesBefore(TimeMs(101), 9) shouldBe mapOf(HostId("a") to MessageId(ProcessId("run"), 2))
        table.receive(status("a", 1, run = "next"))
        table.lastMessagesBefore(TimeMs(101), 9) shouldBe mapOf(HostId("a") to MessageId(ProcessId("next"), 1))
        repeat(99) { table.receive(status("a", 2L + it, run = "next")) }
        table.lastMessagesBefore(TimeMs(100), 9) shouldBe emptyMap()
        nowMs = 200
        repeat(20) { table.receive(status("host-$it", 1)) }
        table.lastMessagesBefore(TimeMs(201), 9).size shouldBe 9
    }

    @Test
    fun `a status is unchanged by encoding and decoding`() {
        val sent = status("a", 4)
        decodeStatus(encodeStatus(sent)) shouldBe sent
    }

    @Test
    fun `invalid and truncated datagrams decode to null`() {
        val whole = encodeStatus(status("a", 4))
        val cases = listOf("", "[]", "null", "{}", "{\"host\":1}", "\u0000\u0001", String(whole).replace("\"seq\":4", "\"seq\":\"x\""))
        cases.forAll { decodeStatus(it.toByteArray()) shouldBe null }
        (1 until whole.size).toList().forAll { decodeStatus(whole.copyOf(it)) shouldBe null }
    }
}
