/** Settings of a controller process. */
package org.hickorytiller.controller

import arrow.core.Either
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.HostId
import org.hickorytiller.core.SettingsFault
import org.hickorytiller.core.SettingsReader
import org.hickorytiller.core.Tier
import org.hickorytiller.core.readSettings
import org.hickorytiller.leases.LeaseTiming
import org.hickorytiller.orders.PlannerSettings
import org.hickorytiller.usage.UsageTiming
import java.net.InetSocketAddress

/**
 * @property failureDomain where the host of this process is
 * @property failureDomains all failure domains in which backend servers are ordered
 * @property snapshotCheckMs time between two checks whether a configuration snapshot is due
 * @property stopTimeoutMs time for a planned stop
 */
data class ControllerSettings(
    val host: HostId,
    val failureDomain: FailureDomain,
    val failureDomains: List<FailureDomain>,
    val adminAddress: InetSocketAddress,
    val platform: PlatformSettings,
    val lease: LeaseTiming,
    val planner: PlannerSettings,
    val usage: UsageTiming,
    val snapshotCheckMs: Long,
    val stopTimeoutMs: Long,
) {
    companion object {
        /** Reads the settings from TOML, or lists every fault. */
        fun read(text: String): Either<List<SettingsFault>, ControllerSettings> = readSettings(text) {
            val lease = leaseTiming(it.table("lease"))
            ControllerSettings(
                host = HostId(it.string("host")),
                failureDomain = FailureDomain(it.string("failureDomain")),
                failureDomains = it.strings("failureDomains").map(::FailureDomain),
                adminAddress = it.address("adminAddress"),
                platform = platformSettings(it.table("platform"), lease),
                lease = lease,
                planner = plannerSettings(it.table("orders")),
                usage = usageTiming(it.table("usage")),
                snapshotCheckMs = it.long("snapshotCheckMs", 100L..DAY_MS, default = 60_000),
                stopTimeoutMs = it.long("stopTimeoutMs", 100L..HOUR_MS, default = 10_000),
            )
        }

        private const val HOUR_MS = 3_600_000L
        private const val DAY_MS = 86_400_000L
        private const val RETENTION_LIMIT_MS = 366 * DAY_MS

        // A term has to leave room for two renewals, so that one lost answer does not end the lease.
        private fun leaseTiming(reader: SettingsReader): LeaseTiming {
            val termMs = reader.long("termMs", 1_000L..120_000L, default = 10_000)
            val margins = termMs / LEAST_MARGIN..60_000L
            val renewals = 100L..termMs / RENEWALS
            return LeaseTiming(
                termMs,
                driftMarginMs = reader.long("driftMarginMs", margins, default = termMs / TENTHS),
                renewIntervalMs = reader.long("renewIntervalMs", renewals, default = termMs * RENEWALS / TENTHS),
                retryMs = reader.long("retryMs", 50L..termMs / RENEWALS, default = termMs / RETRIES),
            )
        }

        // Right after a renewal the lease must last longer than the platform's limit, or nothing could be sent. The
        // limit is the platform's, so a short term must not make the default smaller: it is a fault then.
        private fun platformSettings(reader: SettingsReader, lease: LeaseTiming): PlatformSettings {
            val longestMs = lease.termMs - lease.renewIntervalMs
            val incompleteMs = reader.long("incompleteRequestTimeoutMs", 1..longestMs, default = INCOMPLETE_MS)
            val margins = 1..maxOf(1, longestMs - incompleteMs)
            return PlatformSettings(
                logAddress = reader.address("logAddress"),
                orderAddress = reader.address("orderAddress"),
                usageAddress = reader.address("usageAddress"),
                incompleteRequestTimeoutMs = incompleteMs,
                writeMarginMs = reader.long("writeMarginMs", margins, default = WRITE_MARGIN_MS),
                logRetentionMs = reader.long("logRetentionMs", 60_000L..RETENTION_LIMIT_MS, default = DAY_MS),
            )
        }

        private fun plannerSettings(reader: SettingsReader): PlannerSettings {
            val defaults = PlannerSettings()
            return PlannerSettings(
                targetUtilisation = reader.percent("targetUtilisationPercent", 1, DEFAULT_UTILISATION),
                protectedTier = Tier(reader.int("protectedTier", 0..9, default = 0)),
                evictionHeadroom = reader.percent("evictionHeadroomPercent", 0, DEFAULT_HEADROOM),
                scaleUpHoldMs = reader.long("scaleUpHoldMs", 0..HOUR_MS, default = defaults.scaleUpHoldMs),
                idleHoldMs = reader.long("idleHoldMs", 0..DAY_MS, default = defaults.idleHoldMs),
                offerHoldMs = reader.long("offerHoldMs", 0..DAY_MS, default = defaults.offerHoldMs),
                evictionHoldMs = reader.long("evictionHoldMs", 0..DAY_MS, default = defaults.evictionHoldMs),
                startTimeoutMs = reader.long("startTimeoutMs", 1_000..DAY_MS, default = defaults.startTimeoutMs),
                maxConcurrentStarts = reader.int("maxConcurrentStarts", 1..1_000, defaults.maxConcurrentStarts),
                defaultSlots = reader.int("defaultSlots", 1..10_000, default = defaults.defaultSlots),
            )
        }

        private fun SettingsReader.percent(name: String, least: Int, default: Int) =
            int(name, least..ALL_PERCENT, default) / ALL_PERCENT.toDouble()

        private fun usageTiming(reader: SettingsReader) = UsageTiming(
            windowMs = reader.long("windowMs", 1_000L..DAY_MS, default = 60_000),
            retryMs = reader.long("retryMs", 100L..HOUR_MS, default = 2_000),
        )

        private const val INCOMPLETE_MS = 2_000L
        private const val WRITE_MARGIN_MS = 500L
        private const val ALL_PERCENT = 100
        private const val DEFAULT_UTILISATION = 70
        private const val DEFAULT_HEADROOM = 50

        // Parts of the term. Clocks of hosts that keep time by the network differ by far less than 1 %.
        private const val LEAST_MARGIN = 100
        private const val TENTHS = 10
        private const val RENEWALS = 3
        private const val RETRIES = 20
    }
}

/**
 * Where the platform's interfaces are and what they promise.
 *
 * @property incompleteRequestTimeoutMs time after which the platform closes a request whose body is not complete
 * @property writeMarginMs margin on that time for the network and the clocks
 * @property logRetentionMs time for which the log keeps a record
 */
data class PlatformSettings(
    val logAddress: InetSocketAddress,
    val orderAddress: InetSocketAddress,
    val usageAddress: InetSocketAddress,
    val incompleteRequestTimeoutMs: Long,
    val writeMarginMs: Long,
    val logRetentionMs: Long,
) {
    /** Time that a lease must last when a body is written. */
    val requiredLeaseMs: Long get() = incompleteRequestTimeoutMs + writeMarginMs
}
