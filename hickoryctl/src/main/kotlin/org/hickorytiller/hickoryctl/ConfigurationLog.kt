/**
 * Publishes records on the configuration stream and reads back their outcome. If a response is lost, the stream is read
 * to find out whether the append took effect.
 */
package org.hickorytiller.hickoryctl

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import org.hickorytiller.configuration.ApplyOutcome
import org.hickorytiller.configuration.CONFIGURATION_STREAM
import org.hickorytiller.configuration.ConfigurationReader
import org.hickorytiller.configuration.ConfigurationRecord
import org.hickorytiller.configuration.ConfigurationState
import org.hickorytiller.configuration.DecodedRecord
import org.hickorytiller.configuration.EvaluatedRecord
import org.hickorytiller.configuration.StoredRecord
import org.hickorytiller.configuration.encodeConfigurationRecord
import org.hickorytiller.core.LogOffset
import org.hickorytiller.platform.AppendToLog
import org.hickorytiller.platform.LogFailure
import org.hickorytiller.platform.ReadLog

/** Why the stream could not be read or written; [message] is shown to the operator. */
data class ConfigurationLogError(val exitCode: ExitCode, val message: String)

/** The outcome of records that were published together, and the offset of the record that decided it. */
data class PublishedRecords(val offset: LogOffset, val outcome: ApplyOutcome, val state: ConfigurationState)

/** The configuration stream, read from the beginning by one run of hickoryctl. */
class ConfigurationLog(private val append: AppendToLog, private val read: ReadLog) {
    private val reader = ConfigurationReader()
    private val evaluatedRecords = mutableListOf<EvaluatedRecord>()

    /** Reads the stream to its end and returns the accepted configuration. */
    suspend fun state(): Either<ConfigurationLogError, ConfigurationState> {
        while (true) {
            val page =
                read(CONFIGURATION_STREAM, reader.nextOffset, 0).getOrElse {
                    return ConfigurationLogError(ExitCode.UNREACHABLE, "the log cannot be read: ${describe(it)}").left()
                }
            val records = page.records.map { StoredRecord(it.offset, it.data) }
            reader.onPage(page.earliest, page.end, records) { evaluatedRecords += it }
            reader.unsupportedRecord?.let {
                val message = "record ${it.offset} has the unknown schema ${it.schema}; use a newer hickoryctl"
                return ConfigurationLogError(ExitCode.REFUSED, message).left()
            }
            val state = reader.state
            if (reader.caughtUp && state != null) return state.right()
            if (reader.nextOffset >= page.end) {
                return ConfigurationLogError(
                    ExitCode.UNREACHABLE,
                    "the log retains no complete snapshot yet; try again later",
                ).left()
            }
        }
    }

    /**
     * Publishes [records], which are accepted or rejected together, and reads back the outcome. [state] has to be
     * called before.
     */
    suspend fun publish(records: List<ConfigurationRecord>): Either<ConfigurationLogError, PublishedRecords> {
        evaluatedRecords.clear()
        records.forEach { record -> appendConfirmed(record).onLeft { return it.left() } }
        state().onLeft { return it.copy(message = "published, but not confirmed: ${it.message}").left() }
        val evaluated =
            evaluatedRecords.firstOrNull { it.outcome != ApplyOutcome.Incomplete && recordOf(it) in records }
        if (evaluated != null) return PublishedRecords(evaluated.offset, evaluated.outcome, evaluated.state).right()
        return ConfigurationLogError(
            ExitCode.UNREACHABLE,
            "published, but the log dropped it before it could be read back",
        ).left()
    }

    /**
     * Appends [record], which has to be idempotent since retries may duplicate it, without reading it back. Returns the
     * offset of the confirmed append.
     */
    suspend fun appendIdempotent(record: ConfigurationRecord): Either<ConfigurationLogError, LogOffset> {
        var failure = LogFailure.UNAVAILABLE
        repeat(ATTEMPTS) { attempt ->
            failure =
                append(CONFIGURATION_STREAM, encodeConfigurationRecord(record)).fold({ it }, { return it.right() })
            if (failure == LogFailure.TOO_LARGE) return recordTooLarge().left()
            if (attempt < ATTEMPTS - 1) delay(RETRY_DELAY_MS shl attempt)
        }
        return ConfigurationLogError(
            ExitCode.UNREACHABLE,
            "the log does not accept records: ${describe(failure)}",
        ).left()
    }

    private suspend fun appendConfirmed(record: ConfigurationRecord): Either<ConfigurationLogError, Unit> {
        var failure = LogFailure.UNAVAILABLE
        var mayBeStored = false
        repeat(ATTEMPTS) { attempt ->
            failure =
                append(CONFIGURATION_STREAM, encodeConfigurationRecord(record)).fold({ it }, { return Unit.right() })
            if (failure == LogFailure.TOO_LARGE) return recordTooLarge().left()
            if (failure != LogFailure.UNAVAILABLE) mayBeStored = true
            // A retry is safe even if the first append takes effect later: only the first copy on the stream counts.
            if (mayBeStored && state().isRight() && evaluatedRecords.any { recordOf(it) == record }) return Unit.right()
            if (attempt < ATTEMPTS - 1) delay(RETRY_DELAY_MS shl attempt)
        }
        val advice = if (mayBeStored) "; it may still take effect, so look with `hickoryctl show` first" else ""
        return ConfigurationLogError(
            ExitCode.UNREACHABLE,
            "the log did not confirm the record: ${describe(failure)}$advice",
        ).left()
    }

    private fun recordOf(evaluated: EvaluatedRecord): ConfigurationRecord? =
        (evaluated.decoded as? DecodedRecord.Valid)?.record

    private fun recordTooLarge() =
        ConfigurationLogError(ExitCode.REFUSED, "an entry is too large for a record of the log (256 KiB)")

    private fun describe(failure: LogFailure) = when (failure) {
        LogFailure.UNAVAILABLE -> "it is out of service or over its rate"
        LogFailure.UNKNOWN -> "the answer was lost"
        LogFailure.TOO_LARGE -> "the record is too large"
        LogFailure.MALFORMED -> "the answer is malformed"
    }

    private companion object {
        const val ATTEMPTS = 4
        const val RETRY_DELAY_MS = 200L
    }
}
