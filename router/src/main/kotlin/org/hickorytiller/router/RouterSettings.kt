/** Settings of a router process. */
package org.hickorytiller.router

import arrow.core.Either
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.HostId
import org.hickorytiller.core.SettingsFault
import org.hickorytiller.core.readSettings
import java.net.InetSocketAddress

/**
 * @property callerAddress where callers connect
 * @property adminAddress where operators connect
 * @property peerAddress where peers connect
 * @property addressLifetimeMs time for which callers may keep an address answer
 * @property drainLimitMs time after which a planned stop ends although requests are in flight
 */
data class RouterSettings(
    val host: HostId,
    val failureDomain: FailureDomain,
    val callerAddress: InetSocketAddress,
    val adminAddress: InetSocketAddress,
    val peerAddress: InetSocketAddress,
    val logAddress: InetSocketAddress,
    val orderAddress: InetSocketAddress,
    val hostListAddress: InetSocketAddress,
    val addressLifetimeMs: Long,
    val drainLimitMs: Long,
) {
    companion object {
        /** Reads the settings from TOML, or lists every fault. */
        fun read(text: String): Either<List<SettingsFault>, RouterSettings> = readSettings(text) {
            val platform = it.table("platform")
            RouterSettings(
                host = HostId(it.string("host")),
                failureDomain = FailureDomain(it.string("failureDomain")),
                callerAddress = it.address("callerAddress"),
                adminAddress = it.address("adminAddress"),
                peerAddress = it.address("peerAddress"),
                logAddress = platform.address("logAddress"),
                orderAddress = platform.address("orderAddress"),
                hostListAddress = platform.address("hostListAddress"),
                addressLifetimeMs = it.long("addressLifetimeMs", 1_000L..600_000L, default = 10_000),
                drainLimitMs = it.long("drainLimitMs", 1_000L..86_400_000L, default = 900_000),
            )
        }
    }
}
