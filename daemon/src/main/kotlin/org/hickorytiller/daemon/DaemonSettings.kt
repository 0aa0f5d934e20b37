/** Settings of the daemon. */
package org.hickorytiller.daemon

import arrow.core.Either
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.HostId
import org.hickorytiller.core.SettingsFault
import org.hickorytiller.core.SettingsReader
import org.hickorytiller.core.parseAddress
import org.hickorytiller.core.readSettings
import org.hickorytiller.http.MemoryBudget
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
 * Limits that the operators guarantee.
 *
 * @property keyWithdrawalMs time after which a withdrawn key must be rejected
 * @property graceMs time from SIGTERM to the end of the process
 * @property leaseTermMs time for which the holder of the duties may act without renewing its lease
 * @property usageWindowMs length of a usage window
 * @property retryRatio retries that all hosts together may send for each request
 * @property retrySlack retries that all hosts together may send in addition
 * @property retryWindowMs time over which retries are counted
 * @property directoryLifetimeMs longest lifetime that a directory response may state
 * @property partReuseMs time after its last use within which a part of a prompt counts as prefilled twice if another
 *   server prefills it
 */
data class BoundSettings(
    val keyWithdrawalMs: Long,
    val graceMs: Long,
    val leaseTermMs: Long,
    val usageWindowMs: Long,
    val retryRatio: Double,
    val retrySlack: Int,
    val retryWindowMs: Long,
    val directoryLifetimeMs: Long,
    val partReuseMs: Long,
)

/**
 * @property store address of the platform's store
 * @property duties address of the interface for usage reports and orders; null if the host has no duties
 * @property contacts addresses of other hosts, of which only the IP address counts
 * @property memoryBudgetBytes memory that bodies and incomplete events of all requests may hold together
 */
data class DaemonSettings(
    val host: HostId,
    val failureDomain: FailureDomain,
    val listen: ListenSettings,
    val contacts: List<InetSocketAddress>,
    val store: InetSocketAddress,
    val duties: InetSocketAddress?,
    val bounds: BoundSettings,
    val memoryBudgetBytes: Long = MemoryBudget.defaultBytes(Runtime.getRuntime().maxMemory()),
) {
    companion object {
        /** Parses [text]; returns all faults in it at once. */
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
            memoryBudgetBytes = Runtime.getRuntime().maxMemory().let { maxHeapBytes ->
                reader.long(
                    "memoryBudgetBytes",
                    MIN_BUDGET_BYTES..maxHeapBytes,
                    MemoryBudget.defaultBytes(maxHeapBytes),
                )
            },
        )

        // The platform writes its bounds as integers or decimal fractions.
        private fun bounds(reader: SettingsReader) = BoundSettings(
            keyWithdrawalMs = reader.number("keyWithdrawalMs", KEY_WITHDRAWAL_MS).toLong(),
            graceMs = reader.secondsAsMs("graceS", GRACE_S),
            leaseTermMs = reader.number("leaseTermMs", LEASE_TERM_MS).toLong(),
            usageWindowMs = reader.secondsAsMs("usageWindowS", USAGE_WINDOW_S),
            retryRatio = reader.number("retryRatio", 0.0..MAX_RATIO),
            retrySlack = reader.number("retrySlack", 0.0..MAX_SLACK).toInt(),
            retryWindowMs = reader.secondsAsMs("retryWindowS", RETRY_WINDOW_S),
            directoryLifetimeMs = reader.secondsAsMs("directoryLifetimeS", DIRECTORY_LIFETIME_S),
            partReuseMs = reader.secondsAsMs("partReuseS", PART_REUSE_S),
        )

        private fun SettingsReader.secondsAsMs(name: String, range: ClosedFloatingPointRange<Double>): Long =
            (number(name, range) * MS_PER_S).toLong()

        // Room for one body of the largest size beside the part that is kept for small requests.
        private const val MIN_BUDGET_BYTES = 8_388_608L
        private val KEY_WITHDRAWAL_MS = 1_000.0..600_000.0
        private val GRACE_S = 1.0..600.0
        private val LEASE_TERM_MS = 1_000.0..60_000.0
        private val USAGE_WINDOW_S = 1.0..3_600.0
        private val RETRY_WINDOW_S = 1.0..600.0
        private val DIRECTORY_LIFETIME_S = 0.1..600.0
        private val PART_REUSE_S = 0.0..3_600.0
        private const val MAX_RATIO = 10.0
        private const val MAX_SLACK = 1_000_000.0
        private const val MS_PER_S = 1_000
    }
}
