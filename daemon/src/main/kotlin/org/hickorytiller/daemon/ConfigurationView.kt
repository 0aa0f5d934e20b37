/** The configuration in force on this host, and how fresh it is proven to be. */
package org.hickorytiller.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.hickorytiller.core.ClockReading
import org.hickorytiller.core.LogOffset
import org.hickorytiller.platform.CONFIGURATION_KEY
import org.hickorytiller.platform.CONFIGURATION_TOPIC
import org.hickorytiller.platform.FollowRules
import org.hickorytiller.platform.IsReader
import org.hickorytiller.platform.KeyedFollower
import org.hickorytiller.platform.KeyedRecord
import org.hickorytiller.platform.KeyedTopicListener
import org.hickorytiller.platform.ProofSource
import org.hickorytiller.platform.StoreClient
import org.hickorytiller.platform.StoreFailure
import org.hickorytiller.platform.decodeConfiguration
import org.hickorytiller.routes.FreshnessProof
import org.hickorytiller.routes.RouteTable

/** Told when a read of this host has proven the configuration. */
internal typealias OnConfigurationRead = () -> Unit

/** Follows the operators' topic. Confined to the event loop. */
internal class ConfigurationView(
    store: StoreClient,
    private val proof: FreshnessProof,
    private val scope: CoroutineScope,
    private val health: DependencyHealth,
    rules: FollowRules,
    isReader: IsReader,
    private val onRead: OnConfigurationRead,
) {
    /** The newest configuration; null until one is read. */
    var table: RouteTable? = null
        private set

    private var confirming: Deferred<Unit>? = null
    private val follower =
        KeyedFollower(
            store,
            CONFIGURATION_TOPIC,
            rules,
            proof::now,
            isReader,
            KeyedTopicListener(::apply, ::apply, ::proven, ::failed),
        )
    private var isReadable = true
    private val firstProof = CompletableDeferred<Unit>()

    /** Where the topic ends as far as this host has read it; null until it has read it once. */
    val end: LogOffset? get() = follower.end

    /** The newest moment at which nothing newer than [table] was in force; null if nothing proves it. */
    var provenAt: ClockReading? = null
        private set

    /** Age of the configuration in milliseconds; null if nothing proves it. */
    val ageMs: Long? get() = proof.ageMs()

    /** Follows the topic; does not return. */
    suspend fun run(): Nothing = follower.run()

    /** Takes a peer's word that the topic ended at [end] at some time after [at]. */
    fun onPeerProgress(end: LogOffset, at: ClockReading) = follower.onPeerProgress(end, at)

    /** Whether the configuration is proven fresh; asks the store if the proof has just lapsed. */
    suspend fun isFresh(): Boolean {
        if (table == null) withTimeoutOrNull(START_WAIT_MS) { firstProof.await() }
        if (proof.isFresh()) return true
        val running = confirming ?: CompletableDeferred<Unit>().also {
            confirming = it
            scope.launch { confirm(it) }
        }
        withTimeoutOrNull(CONFIRM_TIMEOUT_MS) { running.await() }
        return proof.isFresh()
    }

    private suspend fun confirm(done: CompletableDeferred<Unit>) {
        try {
            follower.confirm()?.let(proof::recordRead)
        } finally {
            confirming = null
            done.complete(Unit)
        }
    }

    private fun apply(records: List<KeyedRecord>) {
        health.succeeded()
        val value = records.lastOrNull { it.key == CONFIGURATION_KEY }?.value ?: return
        isReadable = accept(value)
    }

    private fun proven(at: ClockReading, source: ProofSource) {
        // A store without a configuration, or with one that cannot be read, proves nothing about keys.
        if (table == null || !isReadable) return
        proof.recordRead(at)
        provenAt = at
        firstProof.complete(Unit)
        if (source == ProofSource.OWN_READ) onRead()
    }

    /** Takes a configuration unless it is older than the one in force. False if it cannot be read. */
    private fun accept(value: ByteArray): Boolean {
        val configuration = decodeConfiguration(value)
        if (configuration == null) {
            log.error { "event=configuration_unreadable bytes=${value.size}" }
            return false
        }
        val known = table?.configuration?.version
        if (known != null && configuration.version <= known) return true
        table = RouteTable(configuration)
        log.info {
            "event=configuration version=${configuration.version} previous=$known " +
                "routes=${configuration.routes.size} customers=${configuration.customers.size}"
        }
        return true
    }

    private fun failed(failure: StoreFailure) = health.failed(failure.name.lowercase())

    private companion object {
        val log = KotlinLogging.logger {}

        // A process that has just started reads its first configuration within this time; callers repeat a refused
        // request once only.
        const val START_WAIT_MS = 400L

        // A request waits so long for a proof before it is refused; the store answers within 4 ms in good health.
        const val CONFIRM_TIMEOUT_MS = 250L
    }
}
