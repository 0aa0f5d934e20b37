/**
 * Runs the daemon briefly on loopback, without a platform, so that the build can archive the classes that a start
 * loads. With that archive a start takes about half the processor time.
 */
package org.hickorytiller.daemon

import arrow.core.right
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.HostId
import org.hickorytiller.http.EventLoop
import org.hickorytiller.http.Headers
import org.hickorytiller.http.HttpClient
import org.hickorytiller.http.HttpLimits
import org.hickorytiller.http.RequestHead
import org.hickorytiller.platform.DIRECTORY_PATH
import org.hickorytiller.platform.READINESS_PATH
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket

/** Starts a daemon on free ports, sends it a request of each kind, and returns. */
internal fun warmUp() {
    val settings = warmUpSettings()
    val loop = EventLoop()
    Daemon(settings, loop, { settings.right() }) { }.start()
    runBlocking {
        withContext(loop.scope.coroutineContext) {
            val client = HttpClient(loop.group, HttpLimits())
            val listen = settings.listen
            client.call(listen.directory, RequestHead("GET", DIRECTORY_PATH))
            client.call(listen.readiness, RequestHead("GET", READINESS_PATH))
            client.call(listen.metrics, RequestHead("GET", "/metrics"))
            client.call(listen.callers, RequestHead("POST", "/", Headers.of("Host" to "warm-up")), ByteArray(1))
        }
        delay(SETTLE_MS)
    }
    loop.close()
}

private fun warmUpSettings() = DaemonSettings(
    HostId("warm-up"),
    FailureDomain("warm-up"),
    ListenSettings(freeAddress(), freeAddress(), freeAddress(), freeAddress(), freeAddress()),
    contacts = emptyList(),
    store = freeAddress(),
    duties = freeAddress(),
    BoundSettings(
        keyWithdrawalMs = 5_000,
        graceMs = 8_000,
        leaseTermMs = 3_000,
        usageWindowMs = 5_000,
        retryRatio = 0.2,
        retrySlack = 0,
        retryWindowMs = 10_000,
        directoryLifetimeMs = 5_000,
        partReuseMs = 10_000,
    ),
)

private fun freeAddress(): InetSocketAddress =
    ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { InetSocketAddress(it.inetAddress, it.localPort) }

// Meanwhile the tasks that follow the store fail and retry, which loads their classes too.
private const val SETTLE_MS = 500L
