/** The configuration in effect on this host, and how fresh it is proven to be. */
package org.hickorytiller.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.hickorytiller.core.ClockReading
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.PoolId
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

/** Called when a read by this host has proven the configuration. */
internal typealias OnConfigurationRead = () -> Unit

/** Follows the operators' configuration topic. Confined to the event loop. */
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

    private var pendingConfirmation: Deferred<Unit>? = null
    private val follower =
        KeyedFollower(
            store,
            CONFIGURATION_TOPIC,
            rules,
            proof::now,
            isReader,
            KeyedTopicListener(::apply, ::apply, ::onProven, ::onFailed),
        )
    private var isNewestReadable = true
    private val firstProof = CompletableDeferred<Unit>()

    /** Offset up to which this host has read the topic; null while it has yet to read the newest record of each key. */
    val end: LogOffset? get() = follower.end

    /** The latest time at which [table] is proven to have been the newest configuration; null if nothing proves it. */
    var provenAt: ClockReading? = null
        private set

    /** Age of the configuration in milliseconds; null if nothing proves it. */
    val ageMs: Long? get() = proof.ageMs()

    /** Follows the topic; does not return. */
    suspend fun run(): Nothing = follower.run()

    /** Applies the report of a peer that the topic ended at [end] at some time after [at]. */
    fun onPeerProgress(end: LogOffset, at: ClockReading) = follower.onPeerProgress(end, at)

    /** Returns whether the configuration is proven fresh; asks the store if the proof has expired. */
    suspend fun isFresh(): Boolean {
        if (table == null) withTimeoutOrNull(FIRST_READ_TIMEOUT_MS) { firstProof.await() }
        if (proof.isFresh()) return true
        val running = pendingConfirmation ?: CompletableDeferred<Unit>().also {
            pendingConfirmation = it
            scope.launch { confirm(it) }
        }
        withTimeoutOrNull(CONFIRM_TIMEOUT_MS) { running.await() }
        return proof.isFresh()
    }

    /** Returns whether the engines of [pool] can move a run to another engine. */
    fun canMoveRuns(pool: PoolId): Boolean =
        table?.configuration?.pools?.any { it.id == pool && it.engine?.canMoveRuns == true } ?: false

    private suspend fun confirm(done: CompletableDeferred<Unit>) {
        try {
            follower.confirm()?.let(proof::recordRead)
        } finally {
            pendingConfirmation = null
            done.complete(Unit)
        }
    }

    private fun apply(records: List<KeyedRecord>) {
        health.succeeded()
        val value = records.lastOrNull { it.key == CONFIGURATION_KEY }?.value ?: return
        isNewestReadable = accept(value)
    }

    private fun onProven(at: ClockReading, source: ProofSource) {
        // A store without a configuration, or with one that cannot be read, proves nothing about keys.
        if (table == null || !isNewestReadable) return
        proof.recordRead(at)
        provenAt = at
        firstProof.complete(Unit)
        if (source == ProofSource.OWN_READ) onRead()
    }

    /** Applies a configuration unless it is older than the one in effect. Returns false if it cannot be decoded. */
    private fun accept(value: ByteArray): Boolean {
        val configuration = decodeConfiguration(value)
        if (configuration == null) {
            log.error { "event=configuration_unreadable bytes=${value.size}" }
            return false
        }
        val currentVersion = table?.configuration?.version
        if (currentVersion != null && configuration.version <= currentVersion) return true
        table = RouteTable(configuration)
        log.info {
            "event=configuration version=${configuration.version} previous=$currentVersion " +
                "routes=${configuration.routes.size} customers=${configuration.customers.size}"
        }
        return true
    }

    private fun onFailed(failure: StoreFailure) = health.failed(failure.name.lowercase())

    private companion object {
        val log = KotlinLogging.logger {}

        // A new process reads its first configuration within this time. Requests wait for it, since callers retry a
        // rejected request only once.
        const val FIRST_READ_TIMEOUT_MS = 400L

        // Longest wait of a request for a proof before it is rejected; a healthy store responds within 4 ms.
        const val CONFIRM_TIMEOUT_MS = 250L
    }
}
