/**
 * Follows the configuration stream and applies each accepted change in this router. While the log is unavailable, the
 * configuration is fetched from peers. The configuration in effect never returns to a lower offset.
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
 * Fetches a configuration with a higher offset than the given one from a peer, as encoded by
 * [ConfigurationTask.encodeForPeer]. Returns null if no peer has one or none responds.
 */
internal typealias FetchFromPeers = suspend (LogOffset) -> ByteArray?

/** Keeps the configuration in effect in this router. Confined to the event loop. */
internal class ConfigurationTask(
    private val read: ReadLog,
    private val keys: KeyRegistry,
    private val fetchFromPeers: FetchFromPeers = { null },
) {
    private val reader = ConfigurationReader()
    private var appliedStateReplacements = 0
    private var lastWarning = ""
    private var retryDelayMs = MIN_RETRY_DELAY_MS

    // Encoding takes about 0.1 s at 24,000 customers, and many peers may ask for the same state after a restart.
    private var encodedState: Pair<StateTransfer, ByteArray>? = null

    /** The configuration in effect; empty until one has been read. */
    val state: ConfigurationState get() = reader.state ?: EMPTY_STATE

    /**
     * Whether a configuration is known, so that requests can be resolved: the end of the stream has been reached once,
     * or a peer has sent its state.
     */
    var isReady = false
        private set

    /** Whether the last read of the log succeeded. */
    var isLogReachable = false
        private set

    /** The record of an unknown schema at which this router stopped following the stream; null while it follows. */
    val unsupportedRecord: UnsupportedRecord? get() = reader.unsupportedRecord

    /** Number of malformed or oversized records that were skipped. */
    val skippedRecords: Long get() = reader.skippedRecords

    /** Keys withdrawn in this or another router whose withdrawal was not read from the log, in order of withdrawal. */
    val withdrawalsNotOnLog: List<KeyHash>
        get() = keys.withdrawnHashes().filter { it !in state.withdrawn }

    /** Encodes the configuration in effect and [withdrawalsNotOnLog] for a peer that starts during a log outage. */
    fun encodeForPeer(): ByteArray {
        val transfer = StateTransfer(state, withdrawalsNotOnLog.toSet())
        encodedState?.let { (known, bytes) -> if (known.isSame(transfer)) return bytes }
        return encodeTransfer(transfer).also { encodedState = transfer to it }
    }

    private fun StateTransfer.isSame(other: StateTransfer) =
        state === other.state && withdrawnDirectly == other.withdrawnDirectly

    /** Follows the stream. Does not return. */
    suspend fun run(): Nothing {
        // Withdrawals that are not in the log yet have to be applied before the first request is authenticated.
        requestFromPeers(LogOffset.NONE)?.withdrawnDirectly?.forEach(keys::withdraw)
        while (true) {
            read(CONFIGURATION_STREAM, reader.nextOffset, POLL_WAIT_MS).fold({ onFailure(it) }, { onPage(it) })
            if (unsupportedRecord != null) awaitCancellation()
        }
    }

    private suspend fun onFailure(failure: LogFailure) {
        if (isLogReachable) log.warn { "log read failed: $failure; configuration ${state.offset} stays in effect" }
        isLogReachable = false
        requestFromPeers(reader.state?.offset ?: LogOffset.NONE)?.let(::install)
        delay(retryDelayMs)
        retryDelayMs = (retryDelayMs * 2).coerceAtMost(MAX_RETRY_DELAY_MS)
    }

    private suspend fun onPage(page: LogPage) {
        isLogReachable = true
        retryDelayMs = MIN_RETRY_DELAY_MS
        if (page.end < reader.nextOffset) {
            warnOnce("the log ends at offset ${page.end}, but records before ${reader.nextOffset} were read")
        }
        reader.onPage(page.earliest, page.end, page.records.map { StoredRecord(it.offset, it.data) }, ::applyRecord)
        applyStateReplacement()
        unsupportedRecord?.let { log.error { "configuration record ${it.offset} has the unknown schema ${it.schema}" } }
        if (reader.caughtUp) {
            becomeReady("the log")
        } else if (reader.nextOffset >= page.end) {
            awaitSnapshot()
        }
        // A page without progress must not lead to a busy loop.
        if (page.records.isEmpty() && reader.nextOffset < page.end) delay(MIN_RETRY_DELAY_MS)
    }

    /** Called when the log has dropped unread records and retains no complete snapshot; a peer may have the state. */
    private suspend fun awaitSnapshot() {
        if (unsupportedRecord != null) return
        warnOnce("the log retains no complete snapshot; configuration ${state.offset} stays in effect")
        requestFromPeers(reader.state?.offset ?: LogOffset.NONE)?.let(::install)
    }

    private suspend fun requestFromPeers(known: LogOffset): StateTransfer? {
        val bytes = withTimeoutOrNull(PEER_TIMEOUT_MS) { fetchFromPeers(known) } ?: return null
        return decodeTransfer(bytes).getOrElse { fault ->
            warnOnce("the configuration from a peer cannot be decoded: $fault")
            null
        }
    }

    private fun install(transfer: StateTransfer) {
        transfer.withdrawnDirectly.forEach(keys::withdraw)
        if (!reader.installState(transfer.state)) return
        applyStateReplacement()
        becomeReady("a peer")
    }

    /** Logs [text] unless it equals the last warning: these faults recur with every read until they are repaired. */
    private fun warnOnce(text: String) {
        if (text != lastWarning) log.warn { text }
        lastWarning = text
    }

    private fun becomeReady(source: String) {
        if (isReady) return
        isReady = true
        log.info { "ready with configuration offset ${state.offset} from $source" }
    }

    /** Updates [keys] if a snapshot or a peer's state has replaced the state of the reader. */
    private fun applyStateReplacement() {
        if (reader.stateReplacements == appliedStateReplacements) return
        appliedStateReplacements = reader.stateReplacements
        state.withdrawn.forEach(keys::withdraw)
        keys.replaceGrants(state.activeKeys())
    }

    private fun applyRecord(evaluated: EvaluatedRecord) {
        when (val decoded = evaluated.decoded) {
            is DecodedRecord.Malformed -> log.warn {
                "configuration record ${evaluated.offset} skipped: ${decoded.reason}"
            }
            is DecodedRecord.Valid -> applyRecord(decoded.record, evaluated)
            is DecodedRecord.UnknownSchema -> Unit
        }
    }

    private fun applyRecord(record: ConfigurationRecord, evaluated: EvaluatedRecord) {
        if (record is KeyWithdrawn) keys.withdraw(KeyHash(record.keyHash))
        keys.updateGrants(evaluated.transition.keyChanges)
    }

    private companion object {
        val log = KotlinLogging.logger {}
        val EMPTY_STATE = ConfigurationState()
        const val POLL_WAIT_MS = 1_000L
        const val MIN_RETRY_DELAY_MS = 100L
        const val MAX_RETRY_DELAY_MS = 1_000L

        /** The state is about 2 MB at 24,000 customers; a transfer between two hosts takes well under a second. */
        const val PEER_TIMEOUT_MS = 2_000L
    }
}
