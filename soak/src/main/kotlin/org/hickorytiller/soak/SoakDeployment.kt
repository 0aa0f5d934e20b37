/**
 * Daemons as separate processes on loopback addresses of their own. The stand-ins of the platform's store, the duty
 * interface and the backend servers run in this process.
 */
package org.hickorytiller.soak

import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.Clock
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.formatAddress
import org.hickorytiller.http.EventLoop
import org.hickorytiller.http.RequestHead
import org.hickorytiller.standins.PlatformDutyStandIn
import org.hickorytiller.standins.PlatformServerStandIn
import org.hickorytiller.standins.PlatformStoreStandIn
import org.hickorytiller.standins.ServerAnswer
import org.hickorytiller.standins.ServerWork
import org.hickorytiller.standins.StandInRoute
import org.hickorytiller.standins.platformConfiguration
import org.hickorytiller.standins.platformServerEntry
import org.hickorytiller.standins.putServer
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path

/** @property daemonJar JAR of the daemon to start; null for the daemon on the class path of this process */
internal data class DeploymentRules(val hostCount: Int, val daemonJar: String?)

internal class SoakDeployment(
    private val rules: DeploymentRules,
    clock: Clock,
    chooseAnswer: (RequestHead) -> ServerAnswer,
) : AutoCloseable {
    /** Folder of the settings and logs of the daemons. */
    val folder: Path = Files.createTempDirectory("hickory-soak")
    val hosts: List<HostProcess>
    private val loop = EventLoop()
    private val store = PlatformStoreStandIn()
    private val servers = (1..SERVERS).map { PlatformServerStandIn("i-$it", chooseAnswer) }
    private val storeAddress = free("127.0.0.1")
    private val dutyAddress = free("127.0.0.1")

    init {
        store.start(loop.group, loop.scope, storeAddress)
        PlatformDutyStandIn().start(loop.group, loop.scope, dutyAddress)
        onLoop { store.put("keyed.op", "config", configuration()) }
        servers.forEachIndexed { index, server ->
            val address = server.start(loop.group, loop.scope, free("127.0.0.1")).address
            val entry = platformServerEntry(address, domain(index), SLOTS)
            onLoop { store.putServer(BackendServerId("i-${index + 1}"), entry) }
        }
        val ports = List(PORTS) { free(ip(0)).port }
        val addresses = (0 until rules.hostCount).map { addresses(ip(it), ports) }
        hosts = addresses.mapIndexed { index, own ->
            val settings = Files.writeString(folder.resolve("host-$index.toml"), settings(index, own, addresses))
            HostProcess(index, own, command(settings), folder.resolve("host-$index.log"), clock)
        }
    }

    /** Starts the daemons and waits until all are ready. */
    fun start() {
        hosts.forEach { it.launch() }
        repeat(READY_POLLS) {
            if (hosts.all { it.isReady() }) return
            Thread.sleep(READY_POLL_MS)
        }
        error("the daemons are not ready; logs in $folder")
    }

    /** Returns what the backend servers did so far, by request. */
    fun work(): Map<String, List<ServerWork>> =
        onLoop { servers.flatMap { server -> server.work.map { it.copy() } } }.groupBy { it.requestId }

    override fun close() {
        hosts.forEach { it.close() }
        loop.close()
    }

    fun deleteLogs() {
        folder.toFile().deleteRecursively()
    }

    private fun <T> onLoop(block: () -> T): T = runBlocking { withContext(loop.scope.coroutineContext) { block() } }

    private fun command(settings: Path): List<String> {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        // Surefire may pass the class path in the manifest of a JAR; this property then holds the full class path.
        val classPath = System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")
        val jar = rules.daemonJar
        val ownProgram = listOf("-cp", classPath, "org.hickorytiller.daemon.MainKt")
        val program = if (jar == null) ownProgram else listOf("-jar", jar)
        return listOf(java) + DAEMON_FLAGS + program + settings.toString()
    }

    private fun settings(index: Int, own: HostAddresses, all: List<HostAddresses>): String =
        """
        host = "host-$index"
        failureDomain = "${domain(index)}"
        contacts = [${all.take(CONTACTS).joinToString { "\"${it.mesh.formatAddress()}\"" }}]
        store = "${storeAddress.formatAddress()}"
        duties = "${dutyAddress.formatAddress()}"
        [listen]
        callers = "${own.callers.formatAddress()}"
        readiness = "${own.readiness.formatAddress()}"
        directory = "${own.directory.formatAddress()}"
        mesh = "${own.mesh.formatAddress()}"
        metrics = "${own.metrics.formatAddress()}"
        [bounds]
        keyWithdrawalMs = 5000
        graceS = ${GRACE_MS / MS_PER_S}
        leaseTermMs = 3000
        usageWindowS = 5
        retryRatio = 0.2
        retrySlack = 56
        retryWindowS = 10
        directoryLifetimeS = 5
        partReuseS = 10
        """.trimIndent()

    private fun configuration(): String {
        val routes =
            RequestKind.entries.map { StandInRoute(it.route, it.isStream, it.mayRepeat, routeTimeoutMs(it)) }
        return platformConfiguration(ROUTE_HOST, routes, CALLER_KEY)
    }

    private fun domain(index: Int) = FailureDomain(if (index % 2 == 0) "domain-a" else "domain-b")

    private fun ip(host: Int) = "127.0.0.${FIRST_IP + host}"

    private fun addresses(ip: String, ports: List<Int>): HostAddresses {
        val own = ports.map { InetSocketAddress(ip, it) }.iterator()
        return HostAddresses(own.next(), own.next(), own.next(), own.next(), own.next())
    }

    // The mesh needs a port that is free for datagrams too.
    private fun free(ip: String): InetSocketAddress = ServerSocket(0, 1, InetAddress.getByName(ip)).use { socket ->
        DatagramSocket(socket.localPort, InetAddress.getByName(ip)).close()
        InetSocketAddress(ip, socket.localPort)
    }

    private companion object {
        const val SERVERS = 4
        const val SLOTS = 64
        const val CONTACTS = 3
        const val PORTS = 5
        const val FIRST_IP = 11
        const val READY_POLLS = 300
        const val READY_POLL_MS = 100L
        const val MS_PER_S = 1_000

        /** As in deploy/system.toml. */
        val DAEMON_FLAGS = listOf("-Xmx96m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")
    }
}
