/**
 * A model of a deployment for property tests: a log with outages, lost responses and retention, concurrent operators,
 * and routers that start at different times and fetch states from each other. Mechanisms can be disabled, in the test
 * only, to show that the invariants detect the faults that the mechanisms prevent.
 */
package org.hickorytiller.configuration

import org.hickorytiller.core.KeyHash
import org.hickorytiller.core.LogOffset
import org.hickorytiller.keys.KeyRegistry
import org.hickorytiller.keys.hashKey
import kotlin.random.Random

/** Mechanisms that a test may disable. */
internal data class Mechanisms(
    val compareAndSet: Boolean = true,
    val permanentWithdrawal: Boolean = true,
    val monotonicState: Boolean = true,
)

/** A violated invariant. */
internal class InvariantViolation(val invariant: String, message: String) : AssertionError("$invariant: $message")

internal class SimulatedDeployment(seed: Int, private val mechanisms: Mechanisms = Mechanisms()) {
    private val random = Random(seed)
    private val records = mutableListOf<ByteArray>()
    private var earliest = 0L
    private var isLogDown = false
    private val keys = (0 until KEYS).map { hashKey("key-$it") }
    private val withdrawn = mutableSetOf<KeyHash>()
    private val operators = List(2 + random.nextInt(2)) { Operator(it) }
    private val routers = mutableListOf(Router(), Router())

    /** Reads every record when it is appended, before retention can drop it. */
    private val referenceReader = ConfigurationReader()
    private val statesByOffset = HashMap<LogOffset, ConfigurationState>()
    private val baseOfOffset = HashMap<LogOffset, Pair<Section, Long>>()

    /** Number of accepted proposals. The test checks the counters to ensure that a run covers these cases. */
    var accepted = 0
        private set
    var conflicts = 0
        private set
    var installedStates = 0
        private set
    var snapshotStarts = 0
        private set

    fun run(steps: Int) = repeat(steps) {
        step()
        check()
    }

    private val actions: List<() -> Unit> =
        listOf(
            3 to { operators.random(random).readLatest() },
            4 to { operators.random(random).propose() },
            1 to { append(KeyGranted("c${random.nextInt(CUSTOMERS)}", keys.random(random).value, "")) },
            1 to { withdraw(keys.random(random)) },
            1 to { append(malformed()) },
            1 to { isLogDown = random.nextInt(3) == 0 },
            1 to ::applyRetention,
            1 to ::writeSnapshot,
            1 to ::restart,
            2 to { routers.random(random).let { if (isLogDown) it.fetchFromPeer() else it.read(random.nextInt(6)) } },
            2 to { routers.forEach { if (!isLogDown) it.read(random.nextInt(20)) } },
        ).flatMap { (weight, action) -> List(weight) { { action() } } }

    private fun step() = actions.random(random)()

    private fun append(record: ConfigurationRecord) = append(encodeConfigurationRecord(record))

    private fun append(data: ByteArray): Long? {
        if (isLogDown) return null
        val offset = records.size.toLong()
        records += data
        referenceReader.onPage(LogOffset(0), LogOffset(offset + 1), listOf(StoredRecord(LogOffset(offset), data))) { evaluated ->
            statesByOffset[evaluated.offset] = evaluated.state
            val record = (evaluated.decoded as? DecodedRecord.Valid)?.record
            if (record is SectionProposed) {
                if (evaluated.outcome == ApplyOutcome.Accepted) {
                    accepted++
                    baseOfOffset[evaluated.offset] = Section.of(record.section)!! to record.baseOffset
                } else {
                    conflicts++
                }
            }
        }
        return offset
    }

    private fun malformed() = listOf(
        "x".toByteArray(),
        "{\"type\":\"KeyWithdrawn\",\"schema\":1}".toByteArray(),
        ByteArray(MAX_RECORD_BYTES + 1),
        encodeConfigurationRecord(SectionProposed("bad", "customers", referenceReader.nextOffset.value, "o", "[customers.x]\nweight = 0\n")),
    ).random(random)

    private fun withdraw(key: KeyHash) {
        // Like hickoryctl, withdraws the key at one router directly and on the log; either is sufficient.
        val reachable = routers.random(random).takeIf { random.nextInt(4) > 0 }
        reachable?.withdraw(key)
        val offset = append(KeyWithdrawn(key.value))
        if (reachable != null || offset != null) withdrawn += key
        // Routers forward a direct withdrawal to their peers at once; all of them receive it before the next step.
        if (reachable != null) routers.forEach { it.withdraw(key) }
    }

    private fun applyRetention() {
        // Retention drops only records that a complete snapshot covers if snapshots are written when they are due.
        val covered = referenceReader.lastSnapshot?.throughOffset?.next()?.value ?: return
        if (covered > earliest) earliest = random.nextLong(earliest, covered + 1)
    }

    private fun writeSnapshot() {
        // Any router may believe that it holds the lease, and may lag.
        val state = routers.random(random).reader.state ?: return
        if (state.offset.next().value < earliest) return
        val parts = snapshotRecords(state, "s-${records.size}")
        val written = if (random.nextInt(4) == 0) parts.dropLast(1) else parts
        written.forEach { append(it) }
        if (random.nextInt(3) == 0) parts.firstOrNull()?.let { append(it) }
    }

    private fun restart() {
        if (routers.size < MAX_ROUTERS) {
            routers += Router()
        } else {
            routers[random.nextInt(routers.size)] = Router()
        }
        val started = routers.last()
        if (isLogDown) started.fetchFromPeer()
    }

    private fun check() {
        routers.forEach { it.check() }
        statesByOffset.keys.maxOrNull()?.let { checkBase(statesByOffset.getValue(it)) }
    }

    private fun checkBase(state: ConfigurationState) = state.sectionOffsets.forEach { (section, offset) ->
        val previous = statesByOffset[LogOffset(offset.value - 1)]?.offsetOf(section)?.value ?: -1L
        val (_, base) = baseOfOffset[offset] ?: return@forEach
        checkInvariant(base == previous, "lost change") { "$section at $offset is based on $base instead of $previous" }
    }

    /** An operator who edits the version that they last read. */
    private inner class Operator(private val number: Int) {
        private var seen = ConfigurationState()
        private var count = 0

        fun readLatest() {
            if (!isLogDown) seen = referenceReader.state ?: seen
        }

        fun propose() {
            val section = if (random.nextInt(3) > 0) Section.CUSTOMERS else Section.CLASSES
            val name = "c${random.nextInt(CUSTOMERS)}"
            val removed = if (random.nextInt(6) == 0 && section == Section.CUSTOMERS) listOf(name) else emptyList()
            val content = if (removed.isEmpty()) content(section, name) else ""
            val base = if (mechanisms.compareAndSet) seen.offsetOf(section) else referenceReader.state?.offsetOf(section) ?: LogOffset.NONE
            val whole = SectionProposed("$number-${count++}", section.key, base.value, "operator-$number", content, removed)
            // Without compareAndSet the record has the newest base instead of the one that the operator last read.
            val before = seen.offsetOf(section).value
            splitAtRandom(whole).forEach { publish(it, section, before) }
        }

        private fun publish(part: SectionProposed, section: Section, before: Long) {
            val offset = append(part)
            if (!mechanisms.compareAndSet && offset != null && LogOffset(offset) in baseOfOffset) {
                baseOfOffset[LogOffset(offset)] = section to before
            }
            // After a lost response the operator appends the same record again.
            if (random.nextInt(4) == 0) append(part)
            if (random.nextInt(4) == 0) step()
        }

        private fun splitAtRandom(whole: SectionProposed) = if (random.nextInt(4) > 0) {
            listOf(whole)
        } else {
            listOf(whole.copy(parts = 2), whole.copy(content = "", removed = emptyList(), part = 1, parts = 2))
        }

        private fun content(section: Section, name: String) = if (section == Section.CLASSES) {
            "[classes.$name]\ntier = 1\nfirstTokenTargetMs = 5\ntimeoutMs = ${1 + random.nextInt(99)}\n"
        } else {
            "[customers.$name]\nkeyHashes = [${someKeys()}]\n"
        }

        private fun someKeys() = keys.shuffled(random).take(random.nextInt(3)).joinToString { "\"${it.value}\"" }
    }

    /** A router reduced to its [ConfigurationReader] and [KeyRegistry], without connections. */
    private inner class Router {
        val reader = ConfigurationReader()
        private var registry = KeyRegistry()
        private var lastOffset = LogOffset.NONE
        private var seenReplacements = 0
        private var state: ConfigurationState? = null
        private val registrations = HashMap<KeyHash, KeyRegistry.Registration>()
        private val running = HashSet<KeyHash>()

        init {
            // A starting router fetches direct withdrawals from its peers before it is ready.
            withdrawn.filter { key -> referenceReader.state?.withdrawn?.contains(key) != true }.forEach { registry.withdraw(it) }
        }

        fun withdraw(key: KeyHash) {
            registry.withdraw(key)
        }

        fun read(max: Int) {
            val from = maxOf(reader.nextOffset.value, earliest)
            val until = minOf(from + max, records.size.toLong())
            val page = (from until until).map { StoredRecord(LogOffset(it), records[it.toInt()]) }
            val wasEmpty = reader.state == null
            reader.onPage(LogOffset(earliest), LogOffset(records.size.toLong()), page) { evaluated ->
                if (!mechanisms.permanentWithdrawal) return@onPage
                val record = (evaluated.decoded as? DecodedRecord.Valid)?.record
                if (record is KeyWithdrawn) registry.withdraw(KeyHash(record.keyHash))
                registry.updateGrants(evaluated.transition.keyChanges)
            }
            if (wasEmpty && reader.state != null && earliest > 0) snapshotStarts++
            reader.state?.let(::activate)
        }

        fun fetchFromPeer() {
            val peer = routers.filter { it !== this }.random(random)
            val peerState = peer.state ?: return
            val transfer = decodeTransfer(encodeTransfer(StateTransfer(peerState, peer.registry.withdrawnHashes()))).getOrNull()!!
            transfer.withdrawnDirectly.forEach { registry.withdraw(it) }
            if (reader.installState(transfer.state)) installedStates++
            val next = if (mechanisms.monotonicState) reader.state else transfer.state
            next?.let(::activate)
        }

        private fun activate(next: ConfigurationState) {
            state = next
            if (!mechanisms.permanentWithdrawal) {
                // Models a router that applies the newest grant: a later grant reactivates a withdrawn key.
                registry = KeyRegistry()
                registry.replaceGrants(next.owners + next.grants.mapValues { it.value.customer })
            } else if (reader.stateReplacements != seenReplacements) {
                seenReplacements = reader.stateReplacements
                next.withdrawn.forEach { registry.withdraw(it) }
                registry.replaceGrants(next.activeKeys())
            }
            keys.filter { it !in running && registry.customerOf(it) != null }.forEach { key ->
                running += key
                registrations[key] = registry.register(key) { running -= key }
            }
        }

        fun check() {
            val now = state ?: return
            checkInvariant(now.offset >= lastOffset, "went back") { "from $lastOffset to ${now.offset}" }
            lastOffset = now.offset
            val other = statesByOffset[now.offset]
            checkInvariant(other == null || now == other, "disagree") { "two readers differ at ${now.offset}" }
            checkKeys(now)
        }

        private fun checkKeys(now: ConfigurationState) {
            // A withdrawal that is only on the log takes effect at a router when it has read the record.
            val known = now.withdrawn + registry.withdrawnHashes()
            val active = keys.filter { registry.customerOf(it) != null }
            checkInvariant(active.none { it in known }, "withdrawn key active") { "one of $active at ${now.offset}" }
            checkInvariant(running.none { it in known }, "withdrawn key runs") { "one of $running at ${now.offset}" }
            if (!mechanisms.permanentWithdrawal) return
            val wanted = now.activeKeys().filterKeys { it !in known }
            val actual = active.associateWith { registry.customerOf(it) }
            checkInvariant(wanted == actual, "registry") { "keys differ from the state at ${now.offset}" }
        }
    }

    private fun checkInvariant(isSatisfied: Boolean, invariant: String, message: () -> String) {
        if (!isSatisfied) throw InvariantViolation(invariant, message())
    }

    private companion object {
        const val KEYS = 6
        const val CUSTOMERS = 4
        const val MAX_ROUTERS = 5
    }
}
