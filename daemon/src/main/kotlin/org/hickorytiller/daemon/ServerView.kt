/** Keeps the list of backend servers in step with the platform's store. */
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
import org.hickorytiller.platform.FollowRules
import org.hickorytiller.platform.IsReader
import org.hickorytiller.platform.KeyedFollower
import org.hickorytiller.platform.KeyedRecord
import org.hickorytiller.platform.KeyedTopicListener
import org.hickorytiller.platform.ProofSource
import org.hickorytiller.platform.SERVER_TOPIC
import org.hickorytiller.platform.StoreClient
import org.hickorytiller.platform.decodeServer

/** Called when a server has been removed from the list. */
internal typealias OnServerGone = (BackendServer) -> Unit

/** Called with all listed servers when one of them has changed. */
internal typealias OnServers = (Collection<BackendServer>) -> Unit

/** Sends records of the topic, of which the first has the given offset, to the peers. */
internal typealias ShareRecords = (LogOffset, List<KeyedRecord>) -> Unit

/** Callbacks of the view; a host that reads for others shares the records that it has read. */
internal class ServerListeners(val onServers: OnServers, val shareRecords: ShareRecords)

/** Follows the topic of the backend servers. Confined to the event loop. */
internal class ServerView(
    store: StoreClient,
    private val clock: Clock,
    private val now: () -> ClockReading,
    private val scope: CoroutineScope,
    private val listeners: ServerListeners,
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
                onChanges = ::applyChanges,
                onCaughtUp = { _, source -> if (source == ProofSource.OWN_READ) health.succeeded() },
                onFailure = { health.failed(it.name.lowercase()) },
                onRead = { from, records -> if (isReader()) listeners.shareRecords(from, records) },
            ),
            lingerMs = { if (isNearOutage()) 0 else LINGER_MS },
        )

    /** Follows the topic; does not return. */
    suspend fun run(): Nothing = follower.run()

    /** Offset up to which this host has read the topic; null while it has yet to read the newest record of each key. */
    val end: LogOffset? get() = follower.end

    /** Applies the report of a peer that the topic ends at [end] now. */
    fun onPeerProgress(end: LogOffset) = follower.onPeerProgress(end, now())

    /** Applies [records] that a peer has read from offset [from] on. */
    fun onPeerRecords(from: LogOffset, records: List<KeyedRecord>) = follower.onPeerRecords(from, records)

    private fun replaceAll(records: List<KeyedRecord>) {
        val listed = records.map { it.key }.toSet()
        servers.keys.filter { it.value !in listed }.forEach(::onMissing)
        records.forEach(::apply)
        publish()
    }

    private fun applyChanges(records: List<KeyedRecord>) {
        if (records.isEmpty()) return
        records.forEach(::apply)
        publish()
    }

    private fun apply(record: KeyedRecord) {
        val id = BackendServerId(record.key)
        val server = record.value?.let { decodeServer(record.key, it) }
        if (server == null) {
            record.value?.let { logInvalid(record.key, it) }
            return onMissing(id)
        }
        val known = servers.put(id, server)
        missingSince -= id
        if (known != server) logChange(server)
    }

    private fun logInvalid(key: String, value: ByteArray) = log.warn {
        "event=server_entry_invalid id=${key.filter { it in '!'..'~' }.take(MAX_LOGGED_KEY)} bytes=${value.size}"
    }

    private fun logChange(server: BackendServer) = log.info {
        "event=server id=${server.id} pool=${server.pool} domain=${server.failureDomain} state=${server.state} " +
            "reclaimable=${server.reclaimable} at=${server.address}"
    }

    /**
     * Removes the server of an entry that is gone. Near an outage of the store the entry may only have expired, so the
     * server is kept for the time in which a live server would have written it again.
     */
    private fun onMissing(id: BackendServerId) {
        if (id !in servers) return
        if (!isNearOutage()) return remove(id, "removed")
        if (missingSince.putIfAbsent(id, clock()) != null) return
        scope.launch {
            delay(REAPPEAR_TIMEOUT_MS)
            if (missingSince.remove(id) != null) {
                remove(id, "lapsed")
                publish()
            }
        }
    }

    // A host in a long waiting read may notice an outage only by the absence of new proofs.
    private fun isNearOutage(): Boolean {
        val hasFailed = health.lastFailureAt?.let { clock() - it < OUTAGE_WINDOW_MS } ?: false
        val lacksProof = follower.provenAgeMs?.let { it > MAX_PROOF_GAP_MS } ?: false
        return hasFailed || lacksProof
    }

    private fun remove(id: BackendServerId, reason: String) {
        val server = servers.remove(id) ?: return
        missingSince -= id
        log.info { "event=server_gone id=$id pool=${server.pool} reason=$reason" }
    }

    private fun publish() = listeners.onServers(servers.values)

    private companion object {
        val log = KotlinLogging.logger {}

        // Servers start and stop many at a time, and each read is billed, so changes are batched. A leaving server must
        // be known within 2 s. Near an outage REAPPEAR_TIMEOUT_MS uses up that time, so nothing is batched then.
        const val LINGER_MS = 400L

        // Readers report the end of the topic about every second; one lost message does not count as an outage.
        const val MAX_PROOF_GAP_MS = 2_600L

        // Entries that expired during an outage are written again within two seconds of its end.
        const val OUTAGE_WINDOW_MS = 4_000L
        const val REAPPEAR_TIMEOUT_MS = 1_700L

        const val MAX_LOGGED_KEY = 60
    }
}
