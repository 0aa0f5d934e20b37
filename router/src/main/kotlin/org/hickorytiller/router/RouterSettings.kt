/** Settings of a router process. */
package org.hickorytiller.router

import arrow.core.Either
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.HostId
import org.hickorytiller.core.KeyHash
import org.hickorytiller.core.SettingsFault
import org.hickorytiller.core.readSettings
import org.hickorytiller.keys.parseKeyHash
import java.net.InetSocketAddress

/**
 * Settings of a router process, read from its TOML file.
 *
 * @property callerAddress where callers connect
 * @property adminAddress where operators connect
 * @property peerAddress where peers connect
 * @property operatorTokenHash SHA-256 of the token of operators; if null, only loopback connections are accepted
 * @property intentPartitions number of intent streams; has to be the same in all routers of a deployment
 * @property idempotencyWindowMs how long an `Idempotency-Key` is remembered; has to be shorter than the log's
 *   retention. The default of 23 h is one hour less than a retention of 24 h.
 * @property hedgeAfterMs time without a first token after which an idempotent request is also sent to a second server;
 *   null, the default, turns hedging off
 * @property addressLifetimeMs time for which callers may cache an address response
 * @property drainLimitMs time after which a drain ends even if requests are still in flight
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
    val operatorTokenHash: KeyHash? = null,
    val intentPartitions: Int,
    val idempotencyWindowMs: Long,
    val hedgeAfterMs: Long?,
    val drainLimitMs: Long,
) {
    companion object {
        /** Reads the settings from TOML; returns all faults if there are any. */
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
                operatorTokenHash = it.optional(
                    "operatorTokenHash",
                    "a SHA-256 hash in lower-case hexadecimal",
                    ::parseKeyHash,
                ),
                intentPartitions = it.long("intentPartitions", 1L..256L, default = 1).toInt(),
                idempotencyWindowMs = it.long("idempotencyWindowMs", 60_000L..604_800_000L, default = 82_800_000),
                hedgeAfterMs = it.long("hedgeAfterMs", 0L..600_000L, default = 0).takeIf { afterMs -> afterMs > 0 },
                drainLimitMs = it.long("drainLimitMs", 1_000L..86_400_000L, default = 900_000),
            )
        }
    }
}
