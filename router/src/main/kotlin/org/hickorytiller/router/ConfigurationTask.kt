/**
 * Follows the configuration stream and puts each accepted change into force in this router. While the log is down it
 * takes the configuration from peers. The configuration in force never goes back to a lower offset.
 */
package org.hickorytiller.router

import arrow.core.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.hickorytiller.configuration.CONFIGURATION_STREAM
import org.hickorytiller.configuration.ConfigurationReader
import org.hickorytiller.configuration.ConfigurationRecord
import org.hickorytiller.configuration.ConfigurationState
import org.hickorytiller.configuration.DecodedRecord
import org.hickorytiller.configuration.EvaluatedRecord
import org.hickorytiller.configuration.KeyWithdrawn
import org.hickorytiller.configuration.StateTransfer
import org.hickorytiller.configuration.StoredRecord
import org.hickorytiller.configuration.UnsupportedRecord
import org.hickorytiller.configuration.decodeTransfer
import org.hickorytiller.configuration.encodeTransfer
import org.hickorytiller.core.KeyHash
import org.hickorytiller.core.LogOffset
import org.hickorytiller.keys.KeyRegistry
import org.hickorytiller.platform.LogFailure
import org.hickorytiller.platform.LogPage
import org.hickorytiller.platform.ReadLog

/**
 * Asks peers for a configuration with a higher offset than the given one, in the form of
 * [ConfigurationTask.encodeForPeer]. Returns null if no peer has one or none answers.
 */
internal typealias FetchFromPeers = suspend (LogOffset) -> ByteArray?

/** The configuration in force in this router. Confined to the event loop. */
internal class ConfigurationTask(
    private val read: ReadLog,
    private val keys: KeyRegistry,
    private val fetchFromPeers: FetchFromPeers = { null },
) {
    private val reader = ConfigurationReader()
    private var seenReplacements = 0
    private var lastWarning = ""
    private var retryDelayMs = FIRST_DELAY_MS

    // Encoding takes about 0.1 s at 24,000 customers, and many peers may ask for the same state after a restart.
    private var encoded: Pair<StateTransfer, ByteArray>? = null

    /** The accepted configuration; an empty one until it is known. */
    val state: ConfigurationState get() = reader.state ?: NOTHING

    /**
     * Whether a configuration is known, so that requests can be judged: the end of the stream has been reached once,
     * or a peer has given its state.
     */
    var ready = false
        private set

    /** Whether the last read of the log succeeded. */
    var logReachable = false
        private set

    /** The record of an unknown schema at which this router stopped following the stream; null while it follows. */
    val unsupportedRecord: UnsupportedRecord? get() = reader.unsupportedRecord

    /** Number of malformed or oversized records that were skipped. */
    val skippedRecords: Long get() = reader.skippedRecords

    /** Keys that were withdrawn directly, in the order of the withdrawals, and that the log does not know as such. */
    val withdrawalsNotOnLog: List<KeyHash>
        get() = keys.withdrawnHashes().filter { it !in state.withdrawn }

    /** The configuration in force and the direct withdrawals, for a peer that starts while the log is down. */
    fun encodeForPeer(): ByteArray {
        val transfer = StateTransfer(state, withdrawalsNotOnLog.toSet())
        encoded?.let { (known, bytes) -> if (known.isSame(transfer)) return bytes }
        return encodeTransfer(transfer).also { encoded = transfer to it }
    }

    private fun StateTransfer.isSame(other: StateTransfer) =
        state === other.state && withdrawnDirectly == other.withdrawnDirectly

    /** Follows the stream; does not return. */
    suspend fun run(): Nothing {
        // Withdrawals that the log does not know yet have to be known before the first request is judged.
        askPeers(LogOffset.NONE)?.withdrawnDirectly?.forEach(keys::withdraw)
        while (true) {
            read(CONFIGURATION_STREAM, reader.nextOffset, POLL_WAIT_MS).fold({ onFailure(it) }, { onPage(it) })
            if (unsupportedRecord != null) awaitCancellation()
        }
    }

    private suspend fun onFailure(failure: LogFailure) {
        if (logReachable) log.warn { "the log cannot be read: $failure; configuration ${state.offset} stays in force" }
        logReachable = false
        askPeers(reader.state?.offset ?: LogOffset.NONE)?.let(::install)
        delay(retryDelayMs)
        retryDelayMs = (retryDelayMs * 2).coerceAtMost(LAST_DELAY_MS)
    }

    private suspend fun onPage(page: LogPage) {
        logReachable = true
        retryDelayMs = FIRST_DELAY_MS
        if (page.end < reader.nextOffset) {
            warnOnce("the log ends at ${page.end}, before ${reader.nextOffset} that was read")
        }
        reader.onPage(page.earliest, page.end, page.records.map { StoredRecord(it.offset, it.data) }, ::enforce)
        enforceJump()
        unsupportedRecord?.let { log.error { "configuration record ${it.offset} has the unknown schema ${it.schema}" } }
        if (reader.caughtUp) {
            becomeReady("the log")
        } else if (reader.nextOffset >= page.end) {
            awaitSnapshot()
        }
        // An answer without progress must not turn into a loop without a pause.
        if (page.records.isEmpty() && reader.nextOffset < page.end) delay(FIRST_DELAY_MS)
    }

    /** The log has dropped records that were not read, and retains no snapshot of them; a peer may have read them. */
    private suspend fun awaitSnapshot() {
        if (unsupportedRecord != null) return
        warnOnce("the log retains no complete snapshot; configuration ${state.offset} stays in force")
        askPeers(reader.state?.offset ?: LogOffset.NONE)?.let(::install)
    }

    private suspend fun askPeers(known: LogOffset): StateTransfer? {
        val bytes = withTimeoutOrNull(PEER_TIMEOUT_MS) { fetchFromPeers(known) } ?: return null
        return decodeTransfer(bytes).getOrElse { fault ->
            warnOnce("a peer's configuration is unusable: $fault")
            null
        }
    }

    private fun install(transfer: StateTransfer) {
        transfer.withdrawnDirectly.forEach(keys::withdraw)
        if (!reader.installState(transfer.state)) return
        enforceJump()
        becomeReady("a peer")
    }

    /** Logs [text] unless it repeats the last one: these faults come back with every read until they are repaired. */
    private fun warnOnce(text: String) {
        if (text != lastWarning) log.warn { text }
        lastWarning = text
    }

    private fun becomeReady(source: String) {
        if (ready) return
        ready = true
        log.info { "ready with configuration offset ${state.offset} from $source" }
    }

    private fun enforceJump() {
        if (reader.stateReplacements == seenReplacements) return
        seenReplacements = reader.stateReplacements
        state.withdrawn.forEach(keys::withdraw)
        keys.replaceGrants(state.activeKeys())
    }

    private fun enforce(evaluated: EvaluatedRecord) {
        when (val decoded = evaluated.decoded) {
            is DecodedRecord.Malformed -> log.warn {
                "configuration record ${evaluated.offset} skipped: ${decoded.reason}"
            }
            is DecodedRecord.Valid -> enforce(decoded.record, evaluated)
            is DecodedRecord.UnknownSchema -> Unit
        }
    }

    private fun enforce(record: ConfigurationRecord, evaluated: EvaluatedRecord) {
        if (record is KeyWithdrawn) keys.withdraw(KeyHash(record.keyHash))
        keys.updateGrants(evaluated.transition.keyChanges)
    }

    private companion object {
        val log = KotlinLogging.logger {}
        val NOTHING = ConfigurationState()
        const val POLL_WAIT_MS = 1_000L
        const val FIRST_DELAY_MS = 100L
        const val LAST_DELAY_MS = 1_000L

        /** A peer's state is about 2 MB at 24,000 customers, which takes well under a second between two hosts. */
        const val PEER_TIMEOUT_MS = 2_000L
    }
}
