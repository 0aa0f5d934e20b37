/** Keeps the list of backend servers as the platform's store has it. */
package org.hickorytiller.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.Clock
import org.hickorytiller.core.ClockReading
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.TimeMs
import org.hickorytiller.placement.Placement
import org.hickorytiller.platform.FollowRules
import org.hickorytiller.platform.IsReader
import org.hickorytiller.platform.KeyedFollower
import org.hickorytiller.platform.KeyedRecord
import org.hickorytiller.platform.KeyedTopicListener
import org.hickorytiller.platform.SERVER_TOPIC
import org.hickorytiller.platform.StoreClient
import org.hickorytiller.platform.decodeServer

/** Told when a server has left the list. */
internal typealias OnServerGone = (BackendServer) -> Unit

/** Follows the replicas' topic. Confined to the event loop. */
internal class ServerView(
    store: StoreClient,
    private val clock: Clock,
    private val now: () -> ClockReading,
    private val scope: CoroutineScope,
    private val placement: Placement,
    private val health: DependencyHealth,
    rules: FollowRules,
    isReader: IsReader,
) {
    private val servers = HashMap<BackendServerId, BackendServer>()
    private val missingSince = HashMap<BackendServerId, TimeMs>()
    private val follower =
        KeyedFollower(
            store,
            SERVER_TOPIC,
            rules,
            now,
            isReader,
            KeyedTopicListener(
                onSnapshot = ::replaceAll,
                onChanges = ::change,
                onCaughtUp = { _, _ -> },
                onFailure = { health.failed(it.name.lowercase()) },
            ),
            lingerMs = { if (isNearOutage()) 0 else LINGER_MS },
        )

    /** Follows the topic; does not return. */
    suspend fun run(): Nothing = follower.run()

    /** Where the topic ends as far as this host has read it; null until it has read it once. */
    val end: LogOffset? get() = follower.end

    /** Takes a peer's word that the topic ended at [end] just now. */
    fun onPeerProgress(end: LogOffset) = follower.onPeerProgress(end, now())

    private fun replaceAll(records: List<KeyedRecord>) {
        health.succeeded()
        val listed = records.map { it.key }.toSet()
        servers.keys.filter { it.value !in listed }.forEach(::missing)
        records.forEach(::apply)
        publish()
    }

    private fun change(records: List<KeyedRecord>) {
        health.succeeded()
        if (records.isEmpty()) return
        records.forEach(::apply)
        publish()
    }

    private fun apply(record: KeyedRecord) {
        val id = BackendServerId(record.key)
        val server = record.value?.let { decodeServer(record.key, it) }
        if (server == null) return missing(id)
        val known = servers.put(id, server)
        missingSince -= id
        if (known != server) logChange(server)
    }

    private fun logChange(server: BackendServer) = log.info {
        "event=server id=${server.id} pool=${server.pool} domain=${server.failureDomain} state=${server.state} " +
            "reclaimable=${server.reclaimable} at=${server.address}"
    }

    /**
     * An entry that went missing around an outage of the store may only have lapsed meanwhile. Its server is kept until
     * it would be back if it lived.
     */
    private fun missing(id: BackendServerId) {
        if (id !in servers) return
        if (!isNearOutage()) return remove(id, "removed")
        if (missingSince.putIfAbsent(id, clock()) != null) return
        scope.launch {
            delay(RETURN_MS)
            if (missingSince.remove(id) != null) {
                remove(id, "lapsed")
                publish()
            }
        }
    }

    // A host that waits long for a change may notice an outage only by the proofs that stay away.
    private fun isNearOutage(): Boolean {
        val hasFailed = health.lastFailure?.let { clock() - it < OUTAGE_MEMORY_MS } ?: false
        val lacksProof = follower.provenAgeMs?.let { it > LONGEST_PROOF_GAP_MS } ?: false
        return hasFailed || lacksProof
    }

    private fun remove(id: BackendServerId, reason: String) {
        val server = servers.remove(id) ?: return
        missingSince -= id
        log.info { "event=server_gone id=$id pool=${server.pool} reason=$reason" }
    }

    private fun publish() = placement.replace(servers.values)

    private companion object {
        val log = KotlinLogging.logger {}

        // Servers come and go many at a time, and each read is paid for. A leaving server must be known within 2 s.
        // Near an outage RETURN_MS uses that up, so nothing is gathered then.
        const val LINGER_MS = 400L

        // Readers tell how far the topic goes about every second; one lost message does not count as an outage.
        const val LONGEST_PROOF_GAP_MS = 2_600L

        // Entries that lapsed during an outage are back within two seconds of its end.
        const val OUTAGE_MEMORY_MS = 4_000L
        const val RETURN_MS = 1_700L
    }
}
