/** Follows the `intents` streams and records the intents of this router, with two tasks for each partition. */
package org.hickorytiller.router

import arrow.core.Either
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.hickorytiller.core.Clock
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.StreamName
import org.hickorytiller.dispatch.AppendResult
import org.hickorytiller.dispatch.IntentKey
import org.hickorytiller.dispatch.IntentLimits
import org.hickorytiller.dispatch.IntentRecorder
import org.hickorytiller.dispatch.IntentRefusal
import org.hickorytiller.dispatch.IntentStatus
import org.hickorytiller.dispatch.IntentTable
import org.hickorytiller.dispatch.IntentWriter
import org.hickorytiller.dispatch.QueryIntent
import org.hickorytiller.dispatch.RequestDigest
import org.hickorytiller.dispatch.intentPartition
import org.hickorytiller.dispatch.intentStream
import org.hickorytiller.platform.AppendToLog
import org.hickorytiller.platform.LogFailure
import org.hickorytiller.platform.LogPage
import org.hickorytiller.platform.ReadLog
import org.hickorytiller.platform.followStream

/** The log operations that intents use. */
internal class IntentLog(val append: AppendToLog, val read: ReadLog)

/** Grants the right to run non-idempotent requests in this router. Confined to the event loop. */
internal class IntentTask(
    writer: IntentWriter,
    private val partitions: Int,
    private val log: IntentLog,
    clock: Clock,
    queryPeer: QueryIntent,
    limits: IntentLimits = IntentLimits(),
) {
    private val recorders =
        List(partitions) { partition ->
            val stream = intentStream(partition, partitions)
            IntentRecorder(writer, IntentTable(limits), clock, { append(stream, it) }, queryPeer)
        }

    /** Whether all streams have been read to their end since the process start. */
    val isReady: Boolean get() = recorders.all { it.isCaughtUp }

    /** Follows the streams and records intents. Does not return. */
    suspend fun run(): Unit = coroutineScope {
        recorders.forEachIndexed { partition, recorder ->
            launch { recorder.run() }
            launch { follow(intentStream(partition, partitions), recorder) }
        }
    }

    /** Claims the right to run a request; see [IntentRecorder.claim]. */
    suspend fun claim(key: IntentKey, digest: RequestDigest): Either<IntentRefusal, IntentRecorder.ExecutionGrant> =
        recorderOf(key).claim(key, digest)

    /** Returns the status of an intent, for a peer. */
    fun intentStatus(key: IntentKey): IntentStatus = recorderOf(key).intentStatus(key)

    private fun recorderOf(key: IntentKey) = recorders[intentPartition(key, partitions)]

    private suspend fun append(stream: StreamName, batch: ByteArray): AppendResult =
        log.append(stream, batch).fold(::resultOf) { AppendResult.APPENDED }

    private fun resultOf(failure: LogFailure) = when (failure) {
        LogFailure.UNAVAILABLE, LogFailure.TOO_LARGE -> AppendResult.NOT_APPENDED
        LogFailure.UNKNOWN, LogFailure.MALFORMED -> AppendResult.UNKNOWN
    }

    private suspend fun follow(stream: StreamName, recorder: IntentRecorder): Nothing {
        var next = LogOffset.NONE.next()
        // The first read does not wait for records, so that a router can grant requests at once if the stream is idle.
        log.read(stream, next, 0).onRight { page ->
            apply(recorder, page, stream)
            next = page.records.lastOrNull()?.offset?.next() ?: maxOf(next, page.earliest)
        }
        followStream(log.read, stream, next) { apply(recorder, it, stream) }
    }

    private fun apply(recorder: IntentRecorder, page: LogPage, stream: StreamName) {
        val wasReadable = !recorder.isUnreadable
        val wasCaughtUp = recorder.isCaughtUp
        recorder.applyPage(page.records.map { it.offset to it.data }, page.earliest, page.end)
        if (wasReadable && recorder.isUnreadable) {
            logger.error { "stream $stream has a record of an unknown schema; non-idempotent requests are rejected" }
        }
        if (!wasCaughtUp && recorder.isCaughtUp) logger.info { "stream $stream has been read to its end" }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
