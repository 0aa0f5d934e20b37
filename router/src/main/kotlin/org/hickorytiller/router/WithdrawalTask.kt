/** Appends the key withdrawals that were made while the log was unavailable. */
package org.hickorytiller.router

import kotlinx.coroutines.delay
import org.hickorytiller.configuration.CONFIGURATION_STREAM
import org.hickorytiller.configuration.KeyWithdrawn
import org.hickorytiller.configuration.encodeConfigurationRecord
import org.hickorytiller.platform.AppendToLog

/**
 * Appends the withdrawals that are not in the log every [APPEND_INTERVAL_MS] while [isResponsible]. Every router knows
 * every withdrawal, so one router is enough; two records of one withdrawal are harmless. Does not return.
 */
internal suspend fun appendWithdrawals(
    configuration: ConfigurationTask,
    append: AppendToLog,
    isResponsible: () -> Boolean,
): Nothing {
    while (true) {
        delay(APPEND_INTERVAL_MS)
        if (!configuration.isLogReachable || !isResponsible()) continue
        for (hash in configuration.withdrawalsNotOnLog) {
            if (append(CONFIGURATION_STREAM, encodeConfigurationRecord(KeyWithdrawn(hash.value))).isLeft()) break
        }
    }
}

// `hickoryctl` can append a withdrawal itself after it has sent it to the routers. The interval is long enough to read
// that record first, so that it is rarely written twice.
private const val APPEND_INTERVAL_MS = 3_000L
