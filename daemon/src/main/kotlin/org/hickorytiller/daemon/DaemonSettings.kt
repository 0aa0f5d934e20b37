/** Settings of the daemon. */
package org.hickorytiller.daemon

import arrow.core.Either
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.HostId
import org.hickorytiller.core.SettingsFault
import org.hickorytiller.core.SettingsReader
import org.hickorytiller.core.parseAddress
import org.hickorytiller.core.readSettings
import java.net.InetSocketAddress

/** Addresses that the daemon listens on. */
data class ListenSettings(
    val callers: InetSocketAddress,
    val readiness: InetSocketAddress,
    val directory: InetSocketAddress,
    val mesh: InetSocketAddress,
    val metrics: InetSocketAddress,
)

/**
 * Bounds that the operators promise.
 *
 * @property keyWithdrawalMs time after which a withdrawn key must not work any more
 * @property graceMs time from SIGTERM to the end of the process
 * @property leaseTermMs time for which a holder of the duties acts without renewing
 * @property usageWindowMs length of a usage window
 * @property retryRatio repeats that all hosts together may send for each request
 * @property retrySlack repeats that all hosts together may send beyond that
 * @property retryWindowMs time over which repeats are counted
 * @property directoryLifetimeMs longest time for which callers keep an answer of the directory
 */
data class BoundSettings(
    val keyWithdrawalMs: Long,
    val graceMs: Long,
    val leaseTermMs: Long,
    val usageWindowMs: Long,
    val retryRatioPercent: Int,
    val retrySlack: Int,
    val retryWindowMs: Long,
    val directoryLifetimeMs: Long,
)

/**
 * @property store address of the platform's store
 * @property duties address of the interface for usage reports and orders; null if the host has no duties
 * @property contacts addresses of other hosts, of which only the IP address counts
 */
data class DaemonSettings(
    val host: HostId,
    val failureDomain: FailureDomain,
    val listen: ListenSettings,
    val contacts: List<InetSocketAddress>,
    val store: InetSocketAddress,
    val duties: InetSocketAddress?,
    val bounds: BoundSettings,
) {
    companion object {
        /** Reads [text]; gives all faults of it at once. */
        fun read(text: String): Either<List<SettingsFault>, DaemonSettings> = readSettings(text, ::build)

        private fun build(reader: SettingsReader) = DaemonSettings(
            host = HostId(reader.string("host")),
            failureDomain = FailureDomain(reader.string("failureDomain")),
            listen = reader.table("listen").let {
                ListenSettings(
                    callers = it.address("callers"),
                    readiness = it.address("readiness"),
                    directory = it.address("directory"),
                    mesh = it.address("mesh"),
                    metrics = it.address("metrics"),
                )
            },
            contacts = reader.addresses("contacts"),
            store = reader.address("store"),
            duties = reader.optional("duties", "IP:PORT", ::parseAddress),
            bounds = reader.table("bounds").let(::bounds),
        )

        private fun bounds(reader: SettingsReader) = BoundSettings(
            keyWithdrawalMs = reader.long("keyWithdrawalMs", KEY_WITHDRAWAL_MS),
            graceMs = reader.long("graceMs", GRACE_MS),
            leaseTermMs = reader.long("leaseTermMs", LEASE_TERM_MS),
            usageWindowMs = reader.long("usageWindowMs", USAGE_WINDOW_MS),
            retryRatioPercent = reader.int("retryRatioPercent", 0..MAX_PERCENT),
            retrySlack = reader.int("retrySlack", 0..MAX_SLACK),
            retryWindowMs = reader.long("retryWindowMs", RETRY_WINDOW_MS),
            directoryLifetimeMs = reader.long("directoryLifetimeMs", DIRECTORY_LIFETIME_MS),
        )

        private val KEY_WITHDRAWAL_MS = 1_000L..600_000L
        private val GRACE_MS = 1_000L..600_000L
        private val LEASE_TERM_MS = 1_000L..60_000L
        private val USAGE_WINDOW_MS = 1_000L..3_600_000L
        private val RETRY_WINDOW_MS = 1_000L..600_000L
        private val DIRECTORY_LIFETIME_MS = 100L..600_000L
        private const val MAX_PERCENT = 1_000
        private const val MAX_SLACK = 1_000_000
    }
}
