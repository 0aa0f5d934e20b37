/** Appends key withdrawals to the log that were made while it was down. */
package org.hickorytiller.router

import kotlinx.coroutines.delay
import org.hickorytiller.configuration.CONFIGURATION_STREAM
import org.hickorytiller.configuration.KeyWithdrawn
import org.hickorytiller.configuration.encodeConfigurationRecord
import org.hickorytiller.platform.AppendToLog

/**
 * Appends what the log lacks every [APPEND_INTERVAL_MS] while [isResponsible]. Every router knows every withdrawal, so
 * one of them is enough; two records of one withdrawal do no harm. Does not return.
 */
internal suspend fun appendWithdrawals(
    configuration: ConfigurationTask,
    append: AppendToLog,
    isResponsible: () -> Boolean,
): Nothing {
    while (true) {
        delay(APPEND_INTERVAL_MS)
        if (!configuration.logReachable || !isResponsible()) continue
        for (hash in configuration.withdrawalsNotOnLog) {
            if (append(CONFIGURATION_STREAM, encodeConfigurationRecord(KeyWithdrawn(hash.value))).isLeft()) break
        }
    }
}

// Leaves time for the record of an operator's own append to be read, so that it is rarely written twice.
private const val APPEND_INTERVAL_MS = 3_000L
