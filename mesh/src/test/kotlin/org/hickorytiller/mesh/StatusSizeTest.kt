package org.hickorytiller.mesh

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.HostId
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.ProcessId
import org.hickorytiller.placement.PromptPartId
import org.hickorytiller.placement.PromptPartLocation
import org.hickorytiller.placement.ServerLoad
import java.net.InetSocketAddress
import kotlin.random.Random

/** Size and coding time of a reader's status, the longest kind, with all lists as long as the daemon permits. */
class StatusSizeTest : AnnotationSpec() {
    private class Size(val hosts: Int, val servers: Int, val customers: Int)

    private val sizes = listOf(Size(8, 13, 10), Size(65, 63, 24), Size(128, 330, 1_000), Size(360, 940, 24_000))

    // In the long-running load test, a host serves 21 requests per second and has about as many in flight.
    private fun status(size: Size): HostStatus {
        val random = Random(7)
        val servers = List(size.servers) { BackendServerId("i-%010x".format(random.nextLong(1L shl 40))) }
        val address = InetSocketAddress("10.200.100.100", 65_000)
        return HostStatus(
            HostId("edge-cl-central-a-123"),
            ProcessId("edge-cl-central-a-123-miqd0vxz"),
            sequence = 1_000_000,
            address,
            address,
            canServe = true,
            leaseLogEnd = LogOffset(1_000_000),
            wallMs = 1_796_387_703_962,
            load = servers.take(25).associateWith { ServerLoad(3, 50_000) },
            parts = List(64) { PromptPartLocation(PromptPartId(random.nextLong()), servers.random(random), random.nextLong(1_600)) },
            usage = (0L..2L).associate { window -> WindowNumber(358_065_716 + window) to counts(size) },
            readProgress = StoreReadProgress(LogOffset(1_000), LogOffset(100_000), lastReceived(minOf(size.hosts, 128))),
            peers = List(16) { address },
        )
    }

    // A host counts about 100 requests in a window of 5 s, most of them from different customers.
    private fun counts(size: Size) = (1..minOf(size.customers, 70)).associate { CustomerId("customer-$it") to 3L }

    private fun lastReceived(hosts: Int) = (1..hosts).associate { host ->
        HostId("edge-cl-central-a-$host") to MessageId(ProcessId("edge-cl-central-a-$host-miqd0vxz"), 1_000L + host)
    }

    @Test
    fun `a status fits into a datagram for every size of the system`() {
        sizes.forAll { size ->
            val status = status(size)
            val bytes = encodeStatus(status)
            repeat(ROUNDS) { decodeStatus(encodeStatus(status)) }
            val encodeUs = microseconds { encodeStatus(status) }
            val decodeUs = microseconds { decodeStatus(bytes) }
            println("status of ${size.hosts} hosts: ${bytes.size} bytes, encode $encodeUs us, decode $decodeUs us")
            withClue(size.hosts) { bytes.size shouldBeLessThanOrEqual 16_384 }
        }
    }

    private fun microseconds(work: () -> Unit): Long {
        val begin = System.nanoTime()
        repeat(ROUNDS) { work() }
        return (System.nanoTime() - begin) / ROUNDS / 1_000
    }

    private companion object {
        const val ROUNDS = 300
    }
}
