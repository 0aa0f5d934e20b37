/** Wires the parts of the daemon and starts its tasks. All of them run on one event loop. */
package org.hickorytiller.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.HostId
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.ProcessId
import org.hickorytiller.core.TimeMs
import org.hickorytiller.core.monotonicClock
import org.hickorytiller.core.wallTimeMs
import org.hickorytiller.http.EventLoop
import org.hickorytiller.http.HttpClient
import org.hickorytiller.http.HttpLimits
import org.hickorytiller.http.HttpServer
import org.hickorytiller.http.MemoryBudget
import org.hickorytiller.leases.ClaimId
import org.hickorytiller.leases.ConditionalLease
import org.hickorytiller.leases.ConditionalLeaseTiming
import org.hickorytiller.mesh.HostStatus
import org.hickorytiller.mesh.Mesh
import org.hickorytiller.mesh.MeshListeners
import org.hickorytiller.mesh.MeshSources
import org.hickorytiller.mesh.PeerTable
import org.hickorytiller.mesh.StoreReadProgress
import org.hickorytiller.mesh.TopicRecord
import org.hickorytiller.mesh.TopicRecords
import org.hickorytiller.metering.WindowReports
import org.hickorytiller.metering.WindowUsageCounters
import org.hickorytiller.placement.OnStatement
import org.hickorytiller.placement.Placement
import org.hickorytiller.placement.PlacementRules
import org.hickorytiller.placement.RateLimits
import org.hickorytiller.placement.ServerStatementChange
import org.hickorytiller.placement.ServerStatements
import org.hickorytiller.placement.run
import org.hickorytiller.platform.BackendServerClient
import org.hickorytiller.platform.DIRECTORY_PATH
import org.hickorytiller.platform.DutyClient
import org.hickorytiller.platform.DutyLeaseStore
import org.hickorytiller.platform.FollowRules
import org.hickorytiller.platform.HostRegistry
import org.hickorytiller.platform.KeyedRecord
import org.hickorytiller.platform.READINESS_PATH
import org.hickorytiller.platform.RunMoveClient
import org.hickorytiller.platform.SERVER_TOPIC
import org.hickorytiller.platform.StoreClient
import org.hickorytiller.platform.encodeDirectory
import org.hickorytiller.quarantine.CrashProbe
import org.hickorytiller.quarantine.SuspectTable
import org.hickorytiller.relay.Departures
import org.hickorytiller.relay.HostRetryBudget
import org.hickorytiller.relay.Relay
import org.hickorytiller.relay.RelayCallbacks
import org.hickorytiller.relay.RetryBudgetRules
import org.hickorytiller.relay.RunMoves
import org.hickorytiller.relay.ServerAccess
import org.hickorytiller.routes.FreshnessProof
import org.hickorytiller.routes.FreshnessRules
import java.net.InetSocketAddress

/** Time in which a process whose essential task has failed responds to the requests in flight. */
internal const val FAILURE_END_MS = 500L

/** A daemon process; [endProcess] is called when an essential task has failed. */
internal class Daemon(
    private val settings: DaemonSettings,
    private val loop: EventLoop,
    readSettings: ReadSettings,
    private val endProcess: EndProcess,
) {
    private val bounds = settings.bounds
    private val process = newProcessId(settings.host)
    private val clock = monotonicClock
    private val store = StoreClient(HttpClient(loop.group, STORE_LIMITS), settings.store)
    private val registry = HostRegistry(store)
    private val storeHealth = DependencyHealth("store", clock)
    private val proof =
        FreshnessProof(clock, ::wallTimeMs, FreshnessRules(bounds.keyWithdrawalMs - KEY_WITHDRAWAL_MARGIN_MS))
    private val peers = PeerTable(clock, settings.host)
    private val progressSharing = ReadProgressSharing(settings.host, process, peers, proof::now)
    private val followRules = FollowRules(staleMs = bounds.keyWithdrawalMs * STALE_PERCENT / PERCENT)
    private val configuration: ConfigurationView =
        ConfigurationView(store, proof, loop.scope, storeHealth, followRules, progressSharing::isReader) {
            // A peer dates this read by the last message that this host received from it before the read, so a delay of
            // the announcement makes the read look older.
            if (progressSharing.isReader()) mesh.announce()
        }
    private val rateLimits =
        RateLimits(clock, settings.host, onChange = ::logRateLimit, readHosts = ::servingHosts)
    private val statements: ServerStatements =
        ServerStatements(
            clock,
            settings.host,
            onChange = { server, change ->
                logStatementChange(server, change)
                metrics.statementChanged(codeOf(change))
                if (change is ServerStatementChange.Leaves) departures.stated(server)
            },
        )
    private val placement =
        Placement(clock, PlacementRules(duplicatePrefillWindowMs = bounds.partReuseMs), rateLimits, statements)
    private val servers: ServerView =
        ServerView(
            store,
            clock,
            proof::now,
            loop.scope,
            ServerListeners(::onServers, ::shareServerRecords),
            storeHealth,
            followRules.copy(maxLagMs = PEER_RECORDS_MS, peerSilenceMs = PEER_SILENCE_MS),
            progressSharing::isReader,
        )
    private val counters = WindowUsageCounters(process, bounds.usageWindowMs)
    private val metrics = DaemonMetrics()
    private val inFlight = InFlight(clock)
    private val memory = MemoryBudget(settings.memoryBudgetBytes)
    private val serverConnections = HttpClient(loop.group, SERVER_LIMITS)
    private val onStatement: OnStatement = { server, statement ->
        rateLimits.stated(server.id, statement.ratePerS)
        statements.stated(server.run, statement)
    }
    private val serverClient = BackendServerClient(serverConnections, onStatement)
    private val moveClient =
        RunMoveClient(serverConnections) { server, statement -> statements.stated(server.run, statement) }
    private val departures = Departures(statements::isLeaving)
    private val suspects = SuspectTable(onCrash = ::logCrash, onQuarantine = ::logQuarantineChange)
    private val relay: Relay =
        Relay(
            clock,
            settings.failureDomain,
            placement,
            ServerAccess(
                serverClient::open,
                CrashProbe(clock, suspects::crashed, serverClient::acceptsConnections),
                suspects,
                RunMoves(departures, moveClient::move, configuration::canMoveRuns),
            ),
            HostRetryBudget(clock, retryBudgetRules()) { peers.destinations().size + 1 },
            RelayCallbacks(
                onRun = { request -> request.customer?.let { counters.add(it, medianWallMs()) } },
                onAttemptFailed = { request, server, failure ->
                    metrics.attemptFailed(failure.code)
                    log.info {
                        "event=attempt_failed id=${request.id} server=$server reason=${failure.code} " +
                            "parts=${request.prompt?.sharedParts?.joinToString(",") { it.id.toString() }}"
                    }
                },
            ),
            memory = memory,
        )
    private val claim = ClaimId(process.value)
    private val lease =
        ConditionalLease(claim, clock, ::wallTimeMs, ConditionalLeaseTiming(termMs = bounds.leaseTermMs))
    private val dutyTask: DutyTask? = settings.duties?.let(::dutyTask)
    private val status: HostStatusBuilder =
        HostStatusBuilder(
            settings,
            process,
            placement,
            counters,
            peers,
            progressSharing,
            LocalState(
                ::canServe,
                { dutyTask?.leaseLogEnd },
                ::medianWallMs,
                ::readProgress,
            ),
        )
    private val mesh: Mesh =
        Mesh(
            loop.group,
            settings.listen.mesh,
            peers,
            MeshSources(status::build, {
                suspects.evidence(clock())
            }, rateLimits::recentNotices, statements::recentNotices),
            MeshListeners(
                ::onStatus,
                { suspects.applyPeerEvidence(it, clock()) },
                ::onPeerRecords,
                rateLimits::applyPeerNotices,
                statements::applyPeerNotices,
            ),
        )
    private val stopTask: StopTask =
        StopTask(
            clock,
            StopRules.of(bounds.graceMs),
            inFlight,
            StopActions(
                leaveDirectory = mesh::announce,
                stopAccepting = { callerServer?.close() },
                stopReading = { callerServer?.stopReading() },
            ),
        )
    private val callers: CallerTask =
        CallerTask(clock, configuration, relay, metrics, inFlight, stopTask, memory)
    private var callerServer: HttpServer? = null

    /** Reloads the settings on request. */
    val reload = SettingsReload(settings, readSettings, ::addContacts)

    /** Completes when a planned stop has ended. */
    val ended: Deferred<Unit> get() = stopTask.ended

    /** Starts the listeners and the tasks that follow the platform. */
    fun start() {
        placement.followPeerLoad(peers::load)
        mesh.listen()
        val scope = loop.scope
        val listen = settings.listen
        callerServer = HttpServer.start(loop.group, scope, listen.callers, CALLER_LIMITS, callers::serve)
        serve(listen.readiness, readiness(READINESS_PATH, ::acceptsCallers))
        serve(listen.directory, resource(DIRECTORY_PATH, "application/json", ::directoryResponse))
        serve(listen.metrics, resource("/metrics", DaemonMetrics.CONTENT_TYPE, metrics::text))
        scope.launch { discoverPeers() }
        val tasks = EssentialTasks(scope, ::endAfterFailure)
        tasks.start("configuration") { configuration.run() }
        tasks.start("servers") { servers.run() }
        tasks.start("mesh") { mesh.run() }
        tasks.start("settings") { reload.run() }
        dutyTask?.let { tasks.start("duties") { it.run() } }
        metrics.gauge("hickory_in_flight", "Requests in flight") { inFlight.count.toDouble() }
        metrics.gauge("hickory_memory_reserved_bytes", "Memory reserved for bodies and incomplete events") {
            memory.usedBytes.toDouble()
        }
        metrics.gauge("hickory_memory_budget_bytes", "Memory that requests may reserve together") {
            memory.totalBytes.toDouble()
        }
        metrics.gauge("hickory_memory_refusals", "Reservations that found no room since the start") {
            memory.refusedCount.toDouble()
        }
        metrics.gauge("hickory_quarantined", "Requests and prompt parts refused after crashes of servers") {
            suspects.quarantineCount(clock()).toDouble()
        }
        metrics.gauge("hickory_limited_servers", "Servers that state a rate limit") {
            rateLimits.limited().size.toDouble()
        }
        metrics.gauge("hickory_leaving_servers", "Servers that have stated that they leave") {
            statements.leaving().size.toDouble()
        }
        metrics.gauge("hickory_pausing_servers", "Servers that have refused a request and asked for time") {
            statements.pausing().size.toDouble()
        }
        metrics.gauge("hickory_peers", "Hosts that are alive beside this one") { peers.alive().size.toDouble() }
        log.info { "event=started host=${settings.host} run=$process domain=${settings.failureDomain}" }
    }

    /** Begins a planned stop, which was requested at [requestedAt]. May be called from any thread. */
    fun beginStop(requestedAt: TimeMs = clock()) {
        loop.scope.launch { stopTask.stop(requestedAt) }
    }

    // The process ends in any case, even if the event loop cannot run the stop or memory is exhausted.
    private fun endAfterFailure() {
        endProcess()
        loop.scope.launch { stopTask.stopNow(FAILURE_END_MS) }
    }

    /** Ends the reading from callers, after which the process may end at once. May be called from any thread. */
    suspend fun close() = withContext(loop.scope.coroutineContext) { stopTask.close() }

    private fun serve(address: InetSocketAddress, respond: Respond) {
        HttpServer.start(loop.group, loop.scope, address, SERVER_LIMITS) { serveEndpoint(it, respond) }
    }

    private fun dutyTask(address: InetSocketAddress): DutyTask {
        val client = DutyClient(HttpClient(loop.group, STORE_LIMITS), address, settings.host)
        val fleet =
            FleetTask(
                clock,
                { configuration.table?.configuration?.pools.orEmpty() },
                placement,
                rateLimits::limited,
                client,
            )
        val duties = DutyTask.Duties(WindowReports(counters), client, fleet::placeOrders)
        return DutyTask(settings.host, claim, clock, ::medianWallMs, DutyLeaseStore(store), lease, peers, duties)
    }

    private fun addContacts(contacts: List<InetSocketAddress>) =
        contacts.forEach { peers.addAddress(InetSocketAddress(it.address, settings.listen.mesh.port)) }

    private suspend fun discoverPeers() {
        addContacts(settings.contacts)
        mesh.announce()
        registry.register(settings.host, settings.listen.mesh)
            .onLeft { log.warn { "event=registration_failed reason=${it.name.lowercase()}" } }
        registry.addresses().fold(
            { log.warn { "event=registry_unavailable reason=${it.name.lowercase()}" } },
            { addresses -> addresses.forEach(peers::addAddress) },
        )
        mesh.announce()
    }

    private fun onStatus(status: HostStatus, isNew: Boolean) {
        if (isNew) log.info { "event=peer host=${status.host} run=${status.run} callers=${status.callerAddress}" }
        counters.applyPeerCounts(status.run, status.usage)
        placement.applyPeerPartLocations(status.parts)
        status.readProgress?.let { progress ->
            servers.onPeerProgress(progress.serversEnd)
            progressSharing.lastMessageSentAt(progress)?.let {
                configuration.onPeerProgress(progress.configurationEnd, it)
            }
        }
        status.leaseLogEnd?.let { dutyTask?.onPeerHolder(it) }
    }

    private fun readProgress(): StoreReadProgress? {
        val servers = servers.end ?: return null
        return progressSharing.readProgress(configuration.end ?: return null, servers, configuration.provenAt)
    }

    private fun onServers(servers: Collection<BackendServer>) {
        placement.replace(servers)
        departures.replace(servers)
    }

    private fun shareServerRecords(from: LogOffset, records: List<KeyedRecord>) =
        mesh.share(TopicRecords(SERVER_TOPIC, from, records.map { TopicRecord(it.key, it.value) }))

    private fun onPeerRecords(message: TopicRecords) {
        if (message.topic != SERVER_TOPIC) return
        servers.onPeerRecords(message.from, message.records.map { KeyedRecord(it.key, it.value) })
    }

    private fun acceptsCallers() = !stopTask.isStopping && configuration.table != null

    /** Whether callers are served here. A host that is cut off from the store rejects keyed requests. */
    private fun canServe() = acceptsCallers() && proof.isFresh()

    private fun servingHosts() = peers.alive().filter { it.canServe }.map { it.host } + settings.host

    private fun directoryResponse(): ByteArray {
        val peers = peers.alive()
        val remote = peers.filter { it.canServe }.map { it.callerAddress }
        val local = listOf(settings.listen.callers).filter { canServe() }
        // While the store is unavailable no host can prove its configuration, so callers may use any of them.
        // A stopping host names itself only if it knows no other one.
        val self = settings.listen.callers
        val all = peers.map { it.callerAddress } + listOf(self).filter { !stopTask.isStopping || peers.isEmpty() }
        val addresses = (local + remote).ifEmpty { all }
        return encodeDirectory(addresses, minOf(DIRECTORY_LIFETIME_MS, bounds.directoryLifetimeMs) / MS_PER_S)
    }

    private fun medianWallMs() = peers.medianWallMs(wallTimeMs())

    // Each host uses its share of the bound for all hosts. If fewer hosts run than assumed, a part stays unused.
    private fun retryBudgetRules() = RetryBudgetRules(
        ratio = bounds.retryRatio * RETRY_SHARE,
        slack = bounds.retrySlack,
        windowMs = bounds.retryWindowMs,
    )

    private companion object {
        const val PROCESS_ID_RADIX = 36

        // Unique by host and start time. A random id would load the JVM's security providers and delay the start.
        fun newProcessId(host: HostId) = ProcessId("$host-${wallTimeMs().toString(PROCESS_ID_RADIX)}")

        val log = KotlinLogging.logger {}

        // Covers clock drift only. The bound applies to the time at which a request is sent, which precedes the check,
        // so transit time needs no margin.
        const val KEY_WITHDRAWAL_MARGIN_MS = 300L

        // Callers use a directory response for up to three times its lifetime.
        const val DIRECTORY_LIFETIME_MS = 1_000L

        // Leaves time for a read by this host before keyed requests have to be rejected.
        const val STALE_PERCENT = 60

        // Readers report their progress once a second. A leaving server must be known within two seconds, so a host
        // reads for itself when a report is overdue.
        const val PEER_SILENCE_MS = 1_300L

        // Readers send records before they report them. A lost record shows up to 1.4 s after it was written, since a
        // reader gathers changes for 400 ms and reports once a second.
        const val PEER_RECORDS_MS = 100L
        const val MS_PER_S = 1000.0

        // Leaves a quarter for requests that the platform counts in another window.
        const val RETRY_SHARE = 0.75
        const val PERCENT = 100

        val CALLER_LIMITS = HttpLimits(idleTimeoutMs = 300_000, headTimeoutMs = 3_000)
        val STORE_LIMITS = HttpLimits(connectTimeoutMs = 500)
        val SERVER_LIMITS = HttpLimits(connectTimeoutMs = 400)
    }
}
