package org.hickorytiller.daemon

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.ClockReading
import org.hickorytiller.core.HostId
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.ProcessId
import org.hickorytiller.core.TimeMs
import org.hickorytiller.mesh.HostStatus
import org.hickorytiller.mesh.MessageId
import org.hickorytiller.mesh.PeerTable
import org.hickorytiller.mesh.StoreReadProgress
import java.net.InetSocketAddress

class ReadProgressSharingTest : AnnotationSpec() {
    private var nowMs = 0L
    private val run = ProcessId("run")

    /** One host with its peers; the test delivers the statuses. */
    private inner class Host(name: String) {
        val id = HostId(name)
        val peers = PeerTable({ TimeMs(nowMs) }, id)
        val progressSharing = ReadProgressSharing(id, run, peers) { ClockReading(TimeMs(nowMs), nowMs) }
        private var sequence = 0L

        fun status(canServe: Boolean = true): HostStatus {
            progressSharing.recordSent(++sequence)
            val address = InetSocketAddress("10.0.0.1", 7_340)
            return HostStatus(
                id,
                run,
                sequence,
                address,
                address,
                canServe,
                leaseLogEnd = null,
                wallMs = 0,
                load = emptyMap(),
                parts = emptyList(),
                usage = emptyMap(),
                readProgress = null,
                peers = emptyList(),
            )
        }

        fun progressFor(readAtMs: Long) = progressSharing.readProgress(LogOffset(5), LogOffset(6), ClockReading(TimeMs(readAtMs), readAtMs))
    }

    @BeforeEach
    fun reset() {
        nowMs = 0
    }

    @Test
    fun `the age of a read counts from the last message that the reader received before it`() {
        val reader = Host("a")
        val other = Host("b")
        nowMs = 1_000
        reader.peers.receive(other.status())
        nowMs = 2_000
        val readAtMs = nowMs
        nowMs = 2_300
        reader.peers.receive(other.status())
        nowMs = 9_000
        other.progressSharing.lastMessageSentAt(reader.progressFor(readAtMs) ?: StoreReadProgress(LogOffset(5), LogOffset(6), reader.peers.lastMessagesBefore(TimeMs(readAtMs), 9))) shouldBe
            ClockReading(TimeMs(1_000), 1_000)
    }

    @Test
    fun `progress that names a message of an earlier process run or an unknown message proves nothing`() {
        val other = Host("b")
        other.status()
        val lastReceived = { message: MessageId? -> StoreReadProgress(LogOffset(1), LogOffset(1), listOfNotNull(message).associateBy { other.id }) }
        other.progressSharing.lastMessageSentAt(lastReceived(MessageId(ProcessId("earlier"), 1))) shouldBe null
        other.progressSharing.lastMessageSentAt(lastReceived(MessageId(run, 99))) shouldBe null
        other.progressSharing.lastMessageSentAt(lastReceived(null)) shouldBe null
        other.progressSharing.lastMessageSentAt(lastReceived(MessageId(run, 1))) shouldBe ClockReading(TimeMs(0), 0)
    }

    @Test
    fun `progress is not passed on long after the read`() {
        val reader = Host("a")
        nowMs = 10_000
        (reader.progressFor(9_000) != null) shouldBe true
        reader.progressFor(8_000) shouldBe null
    }

    @Test
    fun `only the first two hosts that can serve are readers`() {
        val host = Host("d")
        host.progressSharing.isReader() shouldBe true
        host.peers.receive(Host("a").status(canServe = false))
        host.peers.receive(Host("b").status())
        host.progressSharing.isReader() shouldBe true
        host.peers.receive(Host("c").status())
        host.progressSharing.isReader() shouldBe false
        nowMs += 1_801
        host.progressSharing.isReader() shouldBe true
    }
}
