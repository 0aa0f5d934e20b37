package org.hickorytiller.router

import arrow.core.left
import arrow.core.right
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.hickorytiller.configuration.ConfigurationRecord
import org.hickorytiller.configuration.ConfigurationState
import org.hickorytiller.configuration.KeyGranted
import org.hickorytiller.configuration.KeyWithdrawn
import org.hickorytiller.configuration.Section
import org.hickorytiller.configuration.SectionProposed
import org.hickorytiller.configuration.StateTransfer
import org.hickorytiller.configuration.encodeConfigurationRecord
import org.hickorytiller.configuration.encodeTransfer
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.LogOffset
import org.hickorytiller.keys.KeyRegistry
import org.hickorytiller.keys.hashKey
import org.hickorytiller.platform.LogFailure
import org.hickorytiller.platform.LogPage
import org.hickorytiller.platform.LogRecord
import org.hickorytiller.platform.ReadLog

@OptIn(ExperimentalCoroutinesApi::class)
class ConfigurationTaskTest : AnnotationSpec() {
    private val hash = hashKey("key")
    private val clinic = CustomerId("clinic")
    private val section = SectionProposed("p", Section.CUSTOMERS.key, -1, "o", "[customers.clinic]\nkeyHashes = [\"${hash.value}\"]\n")

    /** A log in virtual time. */
    private class FakeLog {
        val records = mutableListOf<ByteArray>()
        var isDown = false
        var reads = 0
        var earliest = 0

        fun append(record: ConfigurationRecord) {
            records += encodeConfigurationRecord(record)
        }

        val read: ReadLog = { _, from, waitMs ->
            reads++
            if (from.value >= records.size) delay(waitMs)
            if (isDown) {
                LogFailure.UNAVAILABLE.left()
            } else {
                val start = maxOf(from.value.toInt(), earliest)
                val page = records.drop(start).mapIndexed { i, data -> LogRecord(LogOffset(start.toLong() + i), data) }
                LogPage(LogOffset(earliest.toLong()), LogOffset(records.size.toLong()), page).right()
            }
        }
    }

    private fun test(run: suspend TestScope.(FakeLog, KeyRegistry, CoroutineScope) -> Unit) = runTest {
        run(FakeLog(), KeyRegistry(), backgroundScope)
    }

    private fun stateWith(vararg records: ConfigurationRecord): ConfigurationState = records.fold(ConfigurationState()) { state, record -> state.apply(record, state.offset.next()) }

    @Test
    fun `the router is not ready before a configuration is known`() = test { log, keys, scope ->
        log.isDown = true
        log.append(section)
        val task = ConfigurationTask(log.read, keys)
        scope.launch { task.run() }
        advanceTimeBy(30_000)
        task.isReady shouldBe false
        log.isDown = false
        advanceTimeBy(3_000)
        task.isReady shouldBe true
        keys.customerOf(hash) shouldBe clinic
    }

    @Test
    fun `a router starts during a log outage with the configuration of a peer`() = test { log, keys, scope ->
        log.append(section)
        val offered = StateTransfer(stateWith(section), setOf(hash))
        log.isDown = true
        val task = ConfigurationTask(log.read, keys, fetchFromPeers = { known -> if (known < offered.state.offset) encodeTransfer(offered) else null })
        scope.launch { task.run() }
        advanceTimeBy(2_000)
        task.isReady shouldBe true
        task.isLogReachable shouldBe false
        task.state shouldBe offered.state
        // The peer received the withdrawal directly; it is not in the log yet.
        keys.customerOf(hash) shouldBe null
        task.withdrawalsNotOnLog shouldBe listOf(hash)
        log.append(KeyWithdrawn(hash.value))
        log.isDown = false
        advanceTimeBy(3_000)
        task.state.offset shouldBe LogOffset(1)
        task.withdrawalsNotOnLog shouldBe emptyList()
    }

    @Test
    fun `a router starts with the state of a peer if the log dropped records before a snapshot was written`() = test { log, keys, scope ->
        log.append(section)
        log.append(KeyGranted("clinic", hashKey("second").value, ""))
        log.append(KeyWithdrawn(hash.value))
        log.earliest = 2
        var offered: ByteArray? = null
        val task = ConfigurationTask(log.read, keys, fetchFromPeers = { offered })
        scope.launch { task.run() }
        advanceTimeBy(20_000)
        task.isReady shouldBe false
        (log.reads < 30) shouldBe true
        offered = encodeTransfer(StateTransfer(stateWith(section, KeyGranted("clinic", hashKey("second").value, "")), emptySet()))
        advanceTimeBy(3_000)
        task.isReady shouldBe true
        task.state.offset shouldBe LogOffset(2)
        keys.customerOf(hash) shouldBe null
        keys.customerOf(hashKey("second")) shouldBe clinic
    }

    @Test
    fun `a starting router rejects a key that was withdrawn during a log outage`() = test { log, keys, scope ->
        log.append(section)
        val offered = StateTransfer(ConfigurationState(), setOf(hash))
        val task = ConfigurationTask(log.read, keys, fetchFromPeers = { encodeTransfer(offered) })
        scope.launch { task.run() }
        advanceTimeBy(3_000)
        task.isReady shouldBe true
        keys.customerOf(hash) shouldBe null
    }

    @Test
    fun `a peer that hangs or sends a malformed or older state neither blocks the start nor changes the configuration`() = test { log, keys, scope ->
        log.append(section)
        log.append(KeyGranted("clinic", hashKey("second").value, ""))
        var peerState: ByteArray? = null
        val task = ConfigurationTask(log.read, keys, fetchFromPeers = {
            if (peerState == null) delay(1_000_000)
            peerState
        })
        scope.launch { task.run() }
        advanceTimeBy(4_000)
        task.isReady shouldBe true
        log.isDown = true
        for (bad in listOf("x".toByteArray(), ByteArray(0), encodeTransfer(StateTransfer(stateWith(section), emptySet())))) {
            peerState = bad
            advanceTimeBy(5_000)
            task.state.offset shouldBe LogOffset(1)
            keys.customerOf(hashKey("second")) shouldBe clinic
        }
    }

    @Test
    fun `a withdrawal ends running requests, whether made directly or read from the log`() = test { log, keys, scope ->
        log.append(section)
        log.append(KeyGranted("clinic", hashKey("second").value, ""))
        val task = ConfigurationTask(log.read, keys)
        scope.launch { task.run() }
        advanceTimeBy(2_000)
        val ended = mutableListOf<String>()
        keys.register(hash) { ended += "first" }
        keys.register(hashKey("second")) { ended += "second" }
        keys.withdraw(hash)
        task.withdrawalsNotOnLog shouldBe listOf(hash)
        log.append(KeyWithdrawn(hashKey("second").value))
        advanceTimeBy(2_000)
        ended shouldBe listOf("first", "second")
        task.encodeForPeer() shouldBe task.encodeForPeer()
    }

    @Test
    fun `the router stops at a record of an unknown schema and does not read it again`() = test { log, keys, scope ->
        log.append(section)
        log.records += "{\"schema\":7}".toByteArray()
        log.append(KeyWithdrawn(hash.value))
        val task = ConfigurationTask(log.read, keys)
        scope.launch { task.run() }
        advanceTimeBy(60_000)
        task.unsupportedRecord?.offset shouldBe LogOffset(1)
        task.isReady shouldBe false
        log.reads shouldBe 1
    }

    @Test
    fun `the configuration stays in effect if the log loses records`() = test { log, keys, scope ->
        log.append(section)
        log.append(KeyGranted("clinic", hashKey("second").value, ""))
        val task = ConfigurationTask(log.read, keys)
        scope.launch { task.run() }
        advanceTimeBy(2_000)
        log.records.clear()
        log.append(section.copy(content = "[customers.other]\n"))
        advanceTimeBy(10_000)
        task.state.offset shouldBe LogOffset(1)
        keys.customerOf(hash) shouldBe clinic
    }
}
