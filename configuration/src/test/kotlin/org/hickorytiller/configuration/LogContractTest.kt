package org.hickorytiller.configuration

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.hickorytiller.core.LogOffset
import org.hickorytiller.http.EventLoop
import org.hickorytiller.http.HttpClient
import org.hickorytiller.http.HttpLimits
import org.hickorytiller.keys.hashKey
import org.hickorytiller.platform.LogClient
import org.hickorytiller.platform.LogFailure
import org.hickorytiller.standins.LogControl
import org.hickorytiller.standins.LogStandIn
import java.net.InetSocketAddress

/** The configuration stream over HTTP against the stand-in of the log service. */
class LogContractTest : AnnotationSpec() {
    private val clinic = "[customers.clinic]\nweight = 2\n"

    private fun withLog(test: suspend (LogStandIn, LogClient) -> Unit) = EventLoop().use { loop ->
        // The clock advances with each reading, so the append rate does not depend on the wall clock.
        var nowMs = 0L
        val standIn = LogStandIn { nowMs.also { nowMs += 1_000 } }
        val server = standIn.start(loop.group, loop.scope, InetSocketAddress("127.0.0.1", 0))
        val client = LogClient(HttpClient(loop.group, HttpLimits()), server.address)
        runBlocking { loop.scope.async { test(standIn, client) }.await() }
    }

    private suspend fun LogClient.publish(record: ConfigurationRecord) = append(CONFIGURATION_STREAM, encodeConfigurationRecord(record)).getOrNull()!!

    private suspend fun LogClient.readAll(reader: ConfigurationReader = ConfigurationReader()): ConfigurationReader {
        do {
            val page = read(CONFIGURATION_STREAM, reader.nextOffset, 0).getOrNull()!!
            reader.onPage(page.earliest, page.end, page.records.map { StoredRecord(it.offset, it.data) })
        } while (reader.nextOffset < page.end && reader.unsupportedRecord == null)
        return reader
    }

    @Test
    fun `all readers skip malformed and oversized records`() = withLog { _, log ->
        val early = ConfigurationReader()
        log.publish(proposal(Section.CUSTOMERS, -1, clinic))
        log.readAll(early)
        listOf("", "{", "[]", "{\"schema\":1,\"type\":\"X\"}").forEach { log.append(CONFIGURATION_STREAM, it.toByteArray()) }
        log.append(CONFIGURATION_STREAM, ByteArray(MAX_RECORD_BYTES) { 'x'.code.toByte() })
        log.append(CONFIGURATION_STREAM, ByteArray(MAX_RECORD_BYTES + 1)) shouldBe arrow.core.Either.Left(LogFailure.TOO_LARGE)
        log.publish(KeyWithdrawn(hashKey("k").value))
        log.readAll(early)
        val late = log.readAll()
        late.state shouldBe early.state
        late.skippedRecords shouldBe 5
        early.skippedRecords shouldBe 5
        late.state!!.offset shouldBe LogOffset(6)
        late.caughtUp shouldBe true
    }

    @Test
    fun `a snapshot and a proposal in parts can be read back over HTTP`() = withLog { standIn, log ->
        val document = parseDocument(customersText(24_000)).getOrNull()!!.document
        val change = diff(ConfigurationDocument(), document, Section.CUSTOMERS)
        val parts = sectionProposals("big", Section.CUSTOMERS, LogOffset.NONE, "o", change)
        parts.forEach { log.publish(it) }
        val follower = log.readAll()
        follower.state!!.document shouldBe document
        val snapshot = snapshotRecords(follower.state!!, "s")
        snapshot.forEach { log.publish(it) }
        // Retention drops the records of the proposal; the stand-in applies it at the next append.
        standIn.control = LogControl(retainedRecords = snapshot.size + 1)
        log.publish(KeyWithdrawn(hashKey("key-1").value))
        val startedReader = log.readAll()
        log.readAll(follower)
        startedReader.state shouldBe follower.state
        startedReader.stateReplacements shouldBe 1
        startedReader.state!!.customerOf(hashKey("key-1")) shouldBe null
    }

    @Test
    fun `an outage or a lost response does not change which proposals are accepted`() = withLog { standIn, log ->
        val first = proposal(Section.CUSTOMERS, -1, clinic)
        standIn.control = LogControl(outage = true)
        log.append(CONFIGURATION_STREAM, encodeConfigurationRecord(first)) shouldBe arrow.core.Either.Left(LogFailure.UNAVAILABLE)
        log.read(CONFIGURATION_STREAM, LogOffset(0), 0).isLeft() shouldBe true
        standIn.control = LogControl(loseAnswers = 1)
        log.append(CONFIGURATION_STREAM, encodeConfigurationRecord(first)) shouldBe arrow.core.Either.Left(LogFailure.UNKNOWN)
        // The operator does not know that the record took effect and retries it after a concurrent proposal.
        log.publish(proposal(Section.CUSTOMERS, -1, "[customers.other]\n", "racing"))
        log.publish(first)
        val reader = log.readAll()
        reader.state!!.offsetOf(Section.CUSTOMERS) shouldBe LogOffset(0)
        reader.state!!.document.customers.keys.map { it.value } shouldBe listOf("clinic")
        reader.state!!.offset shouldBe LogOffset(2)
    }

    @Test
    fun `all readers stop at a record with a newer schema`() = withLog { _, log ->
        log.publish(proposal(Section.CUSTOMERS, -1, clinic))
        val early = log.readAll()
        log.append(CONFIGURATION_STREAM, "{\"schema\":2,\"type\":\"SectionProposed\"}".toByteArray())
        log.publish(KeyWithdrawn(hashKey("k").value))
        listOf(log.readAll(early), log.readAll()).forAll {
            it.unsupportedRecord shouldBe UnsupportedRecord(LogOffset(1), 2)
            it.state!!.offset shouldBe LogOffset(0)
        }
        decodeConfigurationRecord(encodeConfigurationRecord(KeyWithdrawn(hashKey("k").value))).shouldBeInstanceOf<DecodedRecord.Valid>()
    }
}
