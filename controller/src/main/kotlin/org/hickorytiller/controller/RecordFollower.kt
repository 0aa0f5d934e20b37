/** Follows one stream of the log, decodes its records and lets other tasks wait until a record is read. */
package org.hickorytiller.controller

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.RecordFault
import org.hickorytiller.core.StreamName
import org.hickorytiller.core.decodeRecord
import org.hickorytiller.platform.LogFailure
import org.hickorytiller.platform.LogRecord
import org.hickorytiller.platform.ReadLog
import org.hickorytiller.platform.followStream

/** A stream with the type of its records and the newest schema that this version understands. */
internal class RecordFormat<T : Any>(val stream: StreamName, val type: Class<T>, val newestSchema: Int)

/**
 * Follows the stream of [format] and calls [apply] for each record. [onRecordsDropped] is called with an offset if all
 * records up to it were dropped before they were read. Confined to the event loop.
 */
internal class RecordFollower<T : Any>(
    private val format: RecordFormat<T>,
    private val read: ReadLog,
    private val onRecordsDropped: (LogOffset) -> Unit = {},
    private val apply: (T, LogOffset) -> Unit,
) {
    private val progress = MutableStateFlow(LogOffset.NONE)

    /** Offset of the last record read. */
    val seenThrough: LogOffset get() = progress.value

    /** The reason why records are no longer applied; null while they are. */
    var fault: String? = null
        private set

    /** Follows the stream from [from] on. Does not return. */
    suspend fun follow(from: LogOffset): Nothing {
        progress.value = LogOffset(from.value - 1)
        followStream(read, format.stream, from) { page ->
            if (page.earliest > seenThrough.next()) {
                log.warn { "${format.stream}: records before ${page.earliest} were dropped before they were read" }
                progress.value = LogOffset(page.earliest.value - 1)
                onRecordsDropped(progress.value)
            }
            page.records.forEach { handle(it) }
        }
    }

    /** Waits at most [timeoutMs] until the record at [offset] is read. Returns whether it was. */
    suspend fun awaitRead(offset: LogOffset, timeoutMs: Long): Boolean =
        withTimeoutOrNull(timeoutMs) { progress.first { it >= offset } } != null

    /** Waits at most [timeoutMs] until a record after [offset] is read. Returns whether one was. */
    suspend fun awaitAfter(offset: LogOffset, timeoutMs: Long): Boolean = awaitRead(offset.next(), timeoutMs)

    /**
     * Waits at most [timeoutMs] until all records that the stream holds now are read. Returns whether they were, or the
     * failure of the request for the end of the stream.
     */
    suspend fun catchUp(timeoutMs: Long): Either<LogFailure, Boolean> = read(format.stream, BEYOND_END, 0).flatMap {
        awaitRead(LogOffset(it.end.value - 1), timeoutMs).right()
    }

    private suspend fun handle(record: LogRecord) {
        decodeRecord(record.data, format.type, format.newestSchema).fold(
            { fault -> handleFault(record, fault) },
            { apply(it, record.offset) },
        )
        progress.value = record.offset
    }

    private suspend fun handleFault(record: LogRecord, recordFault: RecordFault) {
        when (recordFault) {
            is RecordFault.Malformed -> log.warn { "${format.stream} ${record.offset}: ${recordFault.message}" }
            is RecordFault.UnknownSchema -> {
                fault = "${format.stream} ${record.offset} has type ${recordFault.type}, schema ${recordFault.schema}"
                log.error { "$fault; this process stops applying the stream" }
                awaitCancellation()
            }
        }
    }

    private companion object {
        val log = KotlinLogging.logger {}
        val BEYOND_END = LogOffset(Long.MAX_VALUE)
    }
}
