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

    /** One host with its peers; statuses are handed over by the test. */
    private inner class Host(name: String) {
        val id = HostId(name)
        val peers = PeerTable({ TimeMs(nowMs) }, id)
        val progressSharing = ReadProgressSharing(id, run, peers) { ClockReading(TimeMs(nowMs), nowMs) }
        private var sequence = 0L

        fun status(canServe: Boolean = true): HostStatus {
            progressSharing.sent(++sequence)
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
                crashReports = emptyList(),
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
    fun `guards against an age that is counted from a message which the reader got after it had asked`() {
        val reader = Host("a")
        val other = Host("b")
        nowMs = 1_000
        reader.peers.receive(other.status())
        nowMs = 2_000
        val readAtMs = nowMs
        nowMs = 2_300
        reader.peers.receive(other.status())
        nowMs = 9_000
        other.progressSharing.readingOf(reader.progressFor(readAtMs) ?: StoreReadProgress(LogOffset(5), LogOffset(6), reader.peers.lastMessagesBefore(TimeMs(readAtMs), 9))) shouldBe
            ClockReading(TimeMs(1_000), 1_000)
    }

    @Test
    fun `guards against the word about a message of an earlier run, or of none`() {
        val other = Host("b")
        other.status()
        val heard = { message: MessageId? -> StoreReadProgress(LogOffset(1), LogOffset(1), listOfNotNull(message).associateBy { other.id }) }
        other.progressSharing.readingOf(heard(MessageId(ProcessId("earlier"), 1))) shouldBe null
        other.progressSharing.readingOf(heard(MessageId(run, 99))) shouldBe null
        other.progressSharing.readingOf(heard(null)) shouldBe null
        other.progressSharing.readingOf(heard(MessageId(run, 1))) shouldBe ClockReading(TimeMs(0), 0)
    }

    @Test
    fun `guards against a word that is passed on long after the read`() {
        val reader = Host("a")
        nowMs = 10_000
        (reader.progressFor(9_000) != null) shouldBe true
        reader.progressFor(8_000) shouldBe null
    }

    @Test
    fun `guards against readers that cannot read, and against more of them than needed`() {
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
