/** Settings of a controller process. */
package org.hickorytiller.controller

import arrow.core.Either
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.HostId
import org.hickorytiller.core.SettingsFault
import org.hickorytiller.core.readSettings
import java.net.InetSocketAddress

/**
 * @property termMs term of a lease
 * @property driftMarginMs allowance for the difference between the clocks of two hosts over one term
 */
data class ControllerSettings(
    val host: HostId,
    val failureDomain: FailureDomain,
    val logAddress: InetSocketAddress,
    val orderAddress: InetSocketAddress,
    val usageAddress: InetSocketAddress,
    val termMs: Long,
    val driftMarginMs: Long,
    val renewIntervalMs: Long,
) {
    companion object {
        /** Reads the settings from TOML, or lists every fault. */
        fun read(text: String): Either<List<SettingsFault>, ControllerSettings> = readSettings(text) {
            val platform = it.table("platform")
            val lease = it.table("lease")
            ControllerSettings(
                host = HostId(it.string("host")),
                failureDomain = FailureDomain(it.string("failureDomain")),
                logAddress = platform.address("logAddress"),
                orderAddress = platform.address("orderAddress"),
                usageAddress = platform.address("usageAddress"),
                termMs = lease.long("termMs", 1_000L..120_000L, default = 10_000),
                driftMarginMs = lease.long("driftMarginMs", 0L..60_000L, default = 1_000),
                renewIntervalMs = lease.long("renewIntervalMs", 100L..60_000L, default = 3_000),
            )
        }
    }
}
