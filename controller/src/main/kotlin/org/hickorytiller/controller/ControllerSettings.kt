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
 * @property failureDomain failure domain of the host of this process
 * @property failureDomains all failure domains in which backend servers are ordered
 * @property snapshotCheckMs interval of the checks whether a configuration snapshot is due
 * @property stopTimeoutMs time limit for the release of the leases at a planned stop
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
        /** Parses the settings from TOML [text]. Returns all faults if there is at least one. */
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
        private const val MAX_RETENTION_MS = 366 * DAY_MS

        // The renewal interval is at most a third of the term, so that two renewals fall within it and one lost
        // response does not end the lease.
        private fun leaseTiming(reader: SettingsReader): LeaseTiming {
            val termMs = reader.long("termMs", 1_000L..120_000L, default = 10_000)
            val marginRange = termMs / MIN_MARGIN_DIVISOR..60_000L
            val renewalRange = 100L..termMs / RENEWALS_PER_TERM
            return LeaseTiming(
                termMs,
                driftMarginMs = reader.long("driftMarginMs", marginRange, default = termMs / TENTHS),
                renewIntervalMs =
                reader.long("renewIntervalMs", renewalRange, default = termMs * RENEWALS_PER_TERM / TENTHS),
                retryMs = reader.long("retryMs", 50L..termMs / RENEWALS_PER_TERM, default = termMs / RETRIES_PER_TERM),
            )
        }

        // Just before a renewal the lease must still last longer than the platform's limit, or nothing could be sent.
        // The platform sets that limit, so a term that is too short for the default is reported as a fault.
        private fun platformSettings(reader: SettingsReader, lease: LeaseTiming): PlatformSettings {
            val maxRequiredMs = lease.termMs - lease.renewIntervalMs
            val incompleteTimeoutMs =
                reader.long("incompleteRequestTimeoutMs", 1..maxRequiredMs, default = DEFAULT_INCOMPLETE_TIMEOUT_MS)
            val marginRange = 1..maxOf(1, maxRequiredMs - incompleteTimeoutMs)
            return PlatformSettings(
                logAddress = reader.address("logAddress"),
                orderAddress = reader.address("orderAddress"),
                usageAddress = reader.address("usageAddress"),
                incompleteRequestTimeoutMs = incompleteTimeoutMs,
                writeMarginMs = reader.long("writeMarginMs", marginRange, default = DEFAULT_WRITE_MARGIN_MS),
                logRetentionMs = reader.long("logRetentionMs", 60_000L..MAX_RETENTION_MS, default = DAY_MS),
            )
        }

        private fun plannerSettings(reader: SettingsReader): PlannerSettings {
            val defaults = PlannerSettings()
            return PlannerSettings(
                targetUtilisation = reader.percent("targetUtilisationPercent", 1, DEFAULT_UTILISATION_PERCENT),
                protectedTier = Tier(reader.int("protectedTier", 0..9, default = 0)),
                evictionHeadroom = reader.percent("evictionHeadroomPercent", 0, DEFAULT_HEADROOM_PERCENT),
                scaleUpHoldMs = reader.long("scaleUpHoldMs", 0..HOUR_MS, default = defaults.scaleUpHoldMs),
                idleHoldMs = reader.long("idleHoldMs", 0..DAY_MS, default = defaults.idleHoldMs),
                offerHoldMs = reader.long("offerHoldMs", 0..DAY_MS, default = defaults.offerHoldMs),
                evictionHoldMs = reader.long("evictionHoldMs", 0..DAY_MS, default = defaults.evictionHoldMs),
                startTimeoutMs = reader.long("startTimeoutMs", 1_000..DAY_MS, default = defaults.startTimeoutMs),
                maxConcurrentStarts = reader.int("maxConcurrentStarts", 1..1_000, defaults.maxConcurrentStarts),
                defaultSlots = reader.int("defaultSlots", 1..10_000, default = defaults.defaultSlots),
            )
        }

        private fun SettingsReader.percent(name: String, min: Int, default: Int) =
            int(name, min..HUNDRED_PERCENT, default) / HUNDRED_PERCENT.toDouble()

        private fun usageTiming(reader: SettingsReader) = UsageTiming(
            windowMs = reader.long("windowMs", 1_000L..DAY_MS, default = 60_000),
            retryMs = reader.long("retryMs", 100L..HOUR_MS, default = 2_000),
        )

        private const val DEFAULT_INCOMPLETE_TIMEOUT_MS = 2_000L
        private const val DEFAULT_WRITE_MARGIN_MS = 500L
        private const val HUNDRED_PERCENT = 100
        private const val DEFAULT_UTILISATION_PERCENT = 70
        private const val DEFAULT_HEADROOM_PERCENT = 50

        // Fractions of the term. Clocks synchronized over the network differ by far less than the least margin of 1 %.
        private const val MIN_MARGIN_DIVISOR = 100
        private const val TENTHS = 10
        private const val RENEWALS_PER_TERM = 3
        private const val RETRIES_PER_TERM = 20
    }
}

/**
 * Addresses and guarantees of the platform's interfaces.
 *
 * @property incompleteRequestTimeoutMs time after which the platform closes a connection with an incomplete request
 * @property writeMarginMs margin added to that time for network delay and clock drift
 * @property logRetentionMs record retention time of the log
 */
data class PlatformSettings(
    val logAddress: InetSocketAddress,
    val orderAddress: InetSocketAddress,
    val usageAddress: InetSocketAddress,
    val incompleteRequestTimeoutMs: Long,
    val writeMarginMs: Long,
    val logRetentionMs: Long,
) {
    /** Minimum remaining lease time when the body of a request is written. */
    val requiredLeaseMs: Long get() = incompleteRequestTimeoutMs + writeMarginMs
}
