/**
 * Gives a router the right to run a non-idempotent request: writes its intent to the log together with others, reads
 * it back, and grants the right only if the log shows it first. Whatever is in doubt is refused.
 */
package org.hickorytiller.dispatch

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.coroutines.withTimeoutOrNull
import org.hickorytiller.core.Clock
import org.hickorytiller.core.HostId
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.ProcessId
import org.hickorytiller.core.TimeMs

/** How an append of a batch ended. */
enum class AppendResult {
    /** The log answered that it took the batch. */
    APPENDED,

    /** The log certainly did not take the batch. */
    NOT_APPENDED,

    /** The answer was lost; the batch may be on the log. */
    UNKNOWN,
}

/** Appends a batch to the stream. */
typealias AppendIntents = suspend (ByteArray) -> AppendResult

/**
 * Settings of the group commit.
 *
 * @property lingerMs time for which a batch collects intents
 * @property busyLingerMs the same while more than [busyBatchesPerSecond] are sent
 * @property readBackTimeoutMs time within which an intent has to be read back
 * @property maxWaiting number of intents that may wait to be read back
 * @property maxUnsent number of outcomes and releases kept while the log takes none
 */
data class RecorderSettings(
    val lingerMs: Long = 20,
    val busyLingerMs: Long = 50,
    val busyBatchesPerSecond: Int = 10,
    val batchSize: Int = 64,
    val readBackTimeoutMs: Long = 3_000,
    val retryDelayMs: Long = 500,
    val maxWaiting: Int = 4_096,
    val maxUnsent: Int = 4_096,
)

/** Who writes the intents: the [host] that peers ask for their state, and this run of its process. */
data class IntentWriter(val host: HostId, val run: ProcessId)

/** Records the intents of one partition. Confined to the event loop. */
class IntentRecorder(
    private val writer: IntentWriter,
    private val table: IntentTable,
    private val clock: Clock,
    private val append: AppendIntents,
    private val queryPeer: QueryIntent,
    private val settings: RecorderSettings = RecorderSettings(),
) {
    private val waiters = LinkedHashMap<IntentId, Waiter>()
    private val owned = HashMap<IntentKey, Owned>()
    private val released = HashSet<IntentId>()
    private val unsentIntents = ArrayDeque<RequestIntent>()
    private val unsentResults = ArrayDeque<IntentRecord>()
    private val batchTimes = ArrayDeque<TimeMs>()
    private var work = CompletableDeferred<Unit>()
    private var resultsResumeAt = clock()
    private val appendsAtOnce = Semaphore(MAX_APPENDS_AT_ONCE)
    private var nextSequence = 0L

    /** Whether the stream was read to its end since the start. */
    var caughtUp = false
        private set

    /** Whether the stream holds something that this version cannot evaluate. Final. */
    var isUnreadable = false
        private set

    /**
     * Asks for the right to run the request [key] with [digest]. After an [ExecutionGrant] the caller calls
     * exactly one of [ExecutionGrant.recordOutcome], [ExecutionGrant.recordMayHaveRun] and [ExecutionGrant.release]. If
     * the calling coroutine is cancelled, the intent is given up.
     */
    suspend fun claim(key: IntentKey, digest: RequestDigest): Either<IntentRefusal, ExecutionGrant> {
        refusalNow()?.let { return it.left() }
        table.holder(key)?.let { return resolve(it, digest).left() }
        if (!table.isDecisive(clock())) return IntentRefusal.Undecided.TABLE_FULL.left()
        if (waiters.size >= settings.maxWaiting) return IntentRefusal.Undecided.LOG_UNAVAILABLE.left()
        return when (val readBack = writeAndReadBack(RequestIntent(key, nextId(), digest, writer.host))) {
            is ReadBack.Granted -> readBack.grant.right()
            is ReadBack.Other -> resolve(readBack.intent, digest).left()
            ReadBack.Failed -> IntentRefusal.Undecided.LOG_UNAVAILABLE.left()
        }
    }

    /** Answers another router's question about the intent for [key]. */
    fun intentStatus(key: IntentKey): IntentStatus {
        val holder = table.holder(key)
        holder?.outcome?.let { return IntentStatus.Ran(it) }
        if (holder != null && holder.id in released) return IntentStatus.NotDispatched
        return owned[key]?.status ?: IntentStatus.Unknown
    }

    /** Applies a page of the stream; see [IntentTable]. [end] is the offset that the next record will get. */
    fun applyPage(records: List<Pair<LogOffset, ByteArray>>, earliest: LogOffset, end: LogOffset) {
        if (isUnreadable) return
        for ((offset, data) in records) {
            val batch = decodeIntents(data).getOrNull()
            if (batch == null) {
                isUnreadable = true
                failWaiters()
                return
            }
            batch.forEach { applyRecord(it, offset) }
        }
        table.forget(earliest, clock())
        val next = records.lastOrNull()?.first?.next() ?: end
        if (next >= end) caughtUp = true
    }

    /** Sends batches; does not return. */
    suspend fun run(): Unit = coroutineScope {
        while (isActive) {
            awaitWork()
            delay(lingerMs())
            val intents = take(unsentIntents, settings.batchSize)
            val results = if (clock() >=
                resultsResumeAt
            ) {
                take(unsentResults, settings.batchSize - intents.size)
            } else {
                emptyList()
            }
            if (intents.size + results.size > 0) sendBatch(intents, results)
        }
    }

    private fun refusalNow(): IntentRefusal.Undecided? = when {
        isUnreadable -> IntentRefusal.Undecided.UNREADABLE
        !caughtUp -> IntentRefusal.Undecided.NOT_READ
        else -> null
    }

    private suspend fun writeAndReadBack(intent: RequestIntent): ReadBack {
        val waiter = Waiter(intent)
        waiters[intent.id] = waiter
        unsentIntents.addLast(intent)
        work.complete(Unit)
        var readBack: ReadBack? = null
        try {
            readBack = withTimeoutOrNull(settings.readBackTimeoutMs) { waiter.answer.await() }
            return readBack ?: ReadBack.Failed
        } finally {
            waiters -= intent.id
            unsentIntents.remove(intent)
            // Cancelled or timed out at the moment of the grant: nobody will use the grant.
            if (readBack == null) waiter.granted?.release()
        }
    }

    private fun applyRecord(record: IntentRecord, offset: LogOffset) {
        val installed = table.apply(record, offset, clock())
        when (record) {
            is RequestIntent -> if (installed != null) grant(record) else refuseWaiter(record)
            is RequestOutcome -> if (owned[record.key]?.id == record.id) owned -= record.key
            is IntentRelease -> released -= record.id
        }
    }

    private fun grant(record: RequestIntent) {
        if (!isMine(record.id)) return
        val grant = ExecutionGrant(record)
        val waiter = waiters[record.id]
        if (waiter == null || !waiter.answer.complete(ReadBack.Granted(grant))) {
            // Nobody waits for this intent any more: its right is given up.
            grant.release()
        } else {
            waiter.granted = grant
        }
    }

    private fun refuseWaiter(record: RequestIntent) {
        val holder = table.holder(record.key) ?: return
        if (holder.id != record.id) waiters[record.id]?.answer?.complete(ReadBack.Other(holder))
    }

    private suspend fun resolve(holder: HeldIntent, digest: RequestDigest): IntentRefusal {
        if (holder.digest != digest) return IntentRefusal.KeyReused
        holder.outcome?.let { return IntentRefusal.Ran(it) }
        val status = if (isMine(holder.id)) {
            intentStatus(holder.key)
        } else {
            withTimeoutOrNull(settings.readBackTimeoutMs) {
                queryPeer(holder.router, holder.key.customer, holder.key.idempotencyKey)
            } ?: IntentStatus.Unknown
        }
        return when (status) {
            is IntentStatus.Ran -> IntentRefusal.Ran(status.outcome)
            IntentStatus.Running -> IntentRefusal.InProgress
            IntentStatus.NotDispatched -> IntentRefusal.Undecided.GIVEN_UP
            IntentStatus.MayHaveRun, IntentStatus.Unknown -> IntentRefusal.MayHaveRun
        }
    }

    private suspend fun awaitWork() {
        while (unsentIntents.isEmpty()) {
            val pauseMs = resultsResumeAt - clock()
            if (unsentResults.isNotEmpty() && pauseMs <= 0) return
            work = CompletableDeferred()
            if (unsentResults.isEmpty()) work.await() else withTimeoutOrNull(pauseMs) { work.await() }
        }
    }

    private fun lingerMs(): Long {
        val now = clock()
        while (batchTimes.firstOrNull()?.let { now - it >= MS_PER_SECOND } == true) batchTimes.removeFirst()
        return if (batchTimes.size > settings.busyBatchesPerSecond) settings.busyLingerMs else settings.lingerMs
    }

    private fun CoroutineScope.sendBatch(intents: List<RequestIntent>, results: List<IntentRecord>) {
        batchTimes.addLast(clock())
        launch {
            val result = appendsAtOnce.withPermit { append(encodeIntents(intents + results)) }
            if (result == AppendResult.NOT_APPENDED) {
                intents.forEach { waiters[it.id]?.answer?.complete(ReadBack.Failed) }
            }
            // Results are sent again after a lost answer: a repeated outcome or release changes nothing.
            if (result != AppendResult.APPENDED) {
                resultsResumeAt = clock() + settings.retryDelayMs
                results.forEach(::enqueueResult)
            }
        }
    }

    private fun enqueueResult(record: IntentRecord) {
        unsentResults.addLast(record)
        // Without its outcome an intent is answered "may have run", which is safe.
        if (unsentResults.size > settings.maxUnsent) forget(unsentResults.removeFirst())
        work.complete(Unit)
    }

    private fun forget(record: IntentRecord) {
        released -= record.id
        if (owned[record.key]?.id == record.id) owned -= record.key
    }

    private fun failWaiters() = waiters.values.forEach { it.answer.complete(ReadBack.Failed) }

    private fun nextId() = IntentId("${writer.run}-${nextSequence++}")

    private fun isMine(id: IntentId) = id.value.substringBeforeLast('-') == writer.run.value

    private fun <T> take(queue: ArrayDeque<T>, count: Int): List<T> = List(minOf(count, queue.size)) {
        queue.removeFirst()
    }

    /** The right to run one request. */
    inner class ExecutionGrant internal constructor(private val intent: RequestIntent) {
        private val state = Owned(intent.id)

        init {
            owned[intent.key] = state
        }

        /** Records that the request ran and was answered. */
        fun recordOutcome(outcome: RecordedOutcome) {
            state.status = IntentStatus.Ran(outcome)
            enqueueResult(RequestOutcome(intent.key, intent.id, outcome))
        }

        /** Records that the request was sent and its answer was lost. */
        fun recordMayHaveRun() {
            // Peers take an intent that its router does not know as one that may have run.
            if (owned[intent.key] === state) owned -= intent.key
        }

        /** Gives the right up. Only allowed if no byte of the request was sent to a backend server. */
        fun release() {
            if (owned[intent.key] === state) owned -= intent.key
            released += intent.id
            enqueueResult(IntentRelease(intent.key, intent.id))
        }
    }

    private class Owned(val id: IntentId) {
        var status: IntentStatus = IntentStatus.Running
    }

    private class Waiter(val intent: RequestIntent) {
        val answer = CompletableDeferred<ReadBack>()
        var granted: IntentRecorder.ExecutionGrant? = null
    }

    private sealed interface ReadBack {
        class Granted(val grant: IntentRecorder.ExecutionGrant) : ReadBack

        class Other(val intent: HeldIntent) : ReadBack

        data object Failed : ReadBack
    }

    private companion object {
        const val MS_PER_SECOND = 1_000L
        const val MAX_APPENDS_AT_ONCE = 8
    }
}
