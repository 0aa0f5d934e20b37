/** The configuration in force on this host, and how fresh it is proven to be. */
package org.hickorytiller.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.hickorytiller.platform.CONFIGURATION_KEY
import org.hickorytiller.platform.KeyedFollower
import org.hickorytiller.platform.KeyedRecord
import org.hickorytiller.platform.KeyedUpdates
import org.hickorytiller.platform.OPERATOR_TOPIC
import org.hickorytiller.platform.StoreClient
import org.hickorytiller.platform.StoreFailure
import org.hickorytiller.platform.decodeConfiguration
import org.hickorytiller.routes.FreshnessProof
import org.hickorytiller.routes.Moment
import org.hickorytiller.routes.RouteTable

/** Follows the operators' topic. Confined to the event loop. */
internal class ConfigurationView(
    store: StoreClient,
    private val proof: FreshnessProof,
    private val scope: CoroutineScope,
    private val health: DependencyHealth,
) {
    /** The newest configuration; null until one is read. */
    var table: RouteTable? = null
        private set

    private var confirming: Deferred<Unit>? = null
    private val follower =
        KeyedFollower(store, OPERATOR_TOPIC, READ_WAIT_MS, proof::now, KeyedUpdates(::apply, ::apply, ::failed))

    /** Age of the configuration in milliseconds; null if nothing proves it. */
    val ageMs: Long? get() = proof.ageMs()

    /** Follows the topic; does not return. */
    suspend fun run(): Nothing = follower.run()

    /** Whether the configuration is proven fresh; asks the store if the proof has just lapsed. */
    suspend fun isFresh(): Boolean {
        if (proof.holds()) return true
        val running = confirming ?: CompletableDeferred<Unit>().also {
            confirming = it
            scope.launch { confirm(it) }
        }
        withTimeoutOrNull(CONFIRM_TIMEOUT_MS) { running.await() }
        return proof.holds()
    }

    private suspend fun confirm(done: CompletableDeferred<Unit>) {
        try {
            follower.confirm()?.let(proof::proven)
        } finally {
            confirming = null
            done.complete(Unit)
        }
    }

    private fun apply(records: List<KeyedRecord>, readAt: Moment) {
        health.succeeded()
        val value = records.lastOrNull { it.key == CONFIGURATION_KEY }?.value
        if (value != null && !accept(value)) return
        // A store without a configuration proves nothing about keys.
        if (table != null) proof.proven(readAt)
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

        // Two reads fit into the age that a proof may have, with a fifth of it to spare.
        const val READ_WAIT_MS = 1_500L

        // A request waits so long for a proof before it is refused; the store answers within 4 ms in good health.
        const val CONFIRM_TIMEOUT_MS = 250L
    }
}
