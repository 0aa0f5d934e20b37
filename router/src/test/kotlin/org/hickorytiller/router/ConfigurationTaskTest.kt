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
        var down = false
        var reads = 0
        var earliest = 0

        fun append(record: ConfigurationRecord) {
            records += encodeConfigurationRecord(record)
        }

        val read: ReadLog = { _, from, waitMs ->
            reads++
            if (from.value >= records.size) delay(waitMs)
            if (down) {
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
    fun `guards against requests that are judged before a configuration is known`() = test { log, keys, scope ->
        log.down = true
        log.append(section)
        val task = ConfigurationTask(log.read, keys)
        scope.launch { task.run() }
        advanceTimeBy(30_000)
        task.ready shouldBe false
        log.down = false
        advanceTimeBy(3_000)
        task.ready shouldBe true
        keys.customerOf(hash) shouldBe clinic
    }

    @Test
    fun `guards against a router that cannot start during an outage although its peers know the configuration`() = test { log, keys, scope ->
        log.append(section)
        val offered = StateTransfer(stateWith(section), setOf(hash))
        log.down = true
        val task = ConfigurationTask(log.read, keys, fetchFromPeers = { known -> if (known < offered.state.offset) encodeTransfer(offered) else null })
        scope.launch { task.run() }
        advanceTimeBy(2_000)
        task.ready shouldBe true
        task.logReachable shouldBe false
        task.state shouldBe offered.state
        // The peer learnt of the withdrawal directly; the log does not know it yet.
        keys.customerOf(hash) shouldBe null
        task.withdrawalsNotOnLog shouldBe listOf(hash)
        log.append(KeyWithdrawn(hash.value))
        log.down = false
        advanceTimeBy(3_000)
        task.state.offset shouldBe LogOffset(1)
        task.withdrawalsNotOnLog shouldBe emptyList()
    }

    @Test
    fun `guards against a router that cannot start because the log dropped records before a snapshot was written`() = test { log, keys, scope ->
        log.append(section)
        log.append(KeyGranted("clinic", hashKey("second").value, ""))
        log.append(KeyWithdrawn(hash.value))
        log.earliest = 2
        var offered: ByteArray? = null
        val task = ConfigurationTask(log.read, keys, fetchFromPeers = { offered })
        scope.launch { task.run() }
        advanceTimeBy(20_000)
        task.ready shouldBe false
        (log.reads < 30) shouldBe true
        offered = encodeTransfer(StateTransfer(stateWith(section, KeyGranted("clinic", hashKey("second").value, "")), emptySet()))
        advanceTimeBy(3_000)
        task.ready shouldBe true
        task.state.offset shouldBe LogOffset(2)
        keys.customerOf(hash) shouldBe null
        keys.customerOf(hashKey("second")) shouldBe clinic
    }

    @Test
    fun `guards against a starting router that accepts a key withdrawn while the log was down`() = test { log, keys, scope ->
        log.append(section)
        val offered = StateTransfer(ConfigurationState(), setOf(hash))
        val task = ConfigurationTask(log.read, keys, fetchFromPeers = { encodeTransfer(offered) })
        scope.launch { task.run() }
        advanceTimeBy(3_000)
        task.ready shouldBe true
        keys.customerOf(hash) shouldBe null
    }

    @Test
    fun `guards against peers that hold up the start or give a broken or older state`() = test { log, keys, scope ->
        log.append(section)
        log.append(KeyGranted("clinic", hashKey("second").value, ""))
        var answer: ByteArray? = null
        val task = ConfigurationTask(log.read, keys, fetchFromPeers = {
            if (answer == null) delay(1_000_000)
            answer
        })
        scope.launch { task.run() }
        advanceTimeBy(4_000)
        task.ready shouldBe true
        log.down = true
        for (bad in listOf("x".toByteArray(), ByteArray(0), encodeTransfer(StateTransfer(stateWith(section), emptySet())))) {
            answer = bad
            advanceTimeBy(5_000)
            task.state.offset shouldBe LogOffset(1)
            keys.customerOf(hashKey("second")) shouldBe clinic
        }
    }

    @Test
    fun `guards against a withdrawal that does not end what runs, on the log or directly`() = test { log, keys, scope ->
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
    fun `guards against an unknown schema that is passed over or read in a loop`() = test { log, keys, scope ->
        log.append(section)
        log.records += "{\"schema\":7}".toByteArray()
        log.append(KeyWithdrawn(hash.value))
        val task = ConfigurationTask(log.read, keys)
        scope.launch { task.run() }
        advanceTimeBy(60_000)
        task.unsupportedRecord?.offset shouldBe LogOffset(1)
        task.ready shouldBe false
        log.reads shouldBe 1
    }

    @Test
    fun `guards against a log that loses records and takes the configuration back`() = test { log, keys, scope ->
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
