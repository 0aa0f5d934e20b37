/**
 * Acquires the right to run a non-idempotent request: appends an intent to the log in a batch with others, reads it
 * back, and grants the right only if it is the first intent of its key on the log. Requests that cannot be decided are
 * rejected.
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
    /** The log confirmed that it appended the batch. */
    APPENDED,

    /** The log certainly did not append the batch. */
    NOT_APPENDED,

    /** The response was lost; the batch may be on the log. */
    UNKNOWN,
}

/** Appends a batch to the stream. */
typealias AppendIntents = suspend (ByteArray) -> AppendResult

/**
 * Settings of the group commit.
 *
 * @property lingerMs time for which a batch collects records before it is sent
 * @property busyLingerMs the same while more than [busyBatchesPerSecond] batches are sent
 * @property readBackTimeoutMs time within which an intent has to be read back
 * @property retryDelayMs pause before outcomes and releases are sent again after an append that was not confirmed
 * @property maxWaiting maximum number of intents that wait to be read back
 * @property maxUnsent maximum number of outcomes and releases kept while the log accepts none
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

/** The writer of the intents: the [host] that peers query for their state, and the process [run]. */
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
    private val localIntents = HashMap<IntentKey, LocalIntent>()
    private val released = HashSet<IntentId>()
    private val unsentIntents = ArrayDeque<RequestIntent>()
    private val unsentResults = ArrayDeque<IntentRecord>()
    private val batchTimes = ArrayDeque<TimeMs>()
    private var workAvailable = CompletableDeferred<Unit>()
    private var nextResultsAt = clock()
    private val appendPermits = Semaphore(MAX_CONCURRENT_APPENDS)
    private var nextSequence = 0L

    /** Whether the stream has been read to its end since process start. */
    var isCaughtUp = false
        private set

    /** Whether the stream has a record that this version cannot decode. Never becomes false again. */
    var isUnreadable = false
        private set

    /**
     * Claims the right to run the request [key] with [digest]. Exactly one of [ExecutionGrant.recordOutcome],
     * [ExecutionGrant.recordMayHaveRun] and [ExecutionGrant.release] must be called on a returned [ExecutionGrant]. If
     * the calling coroutine is cancelled, the intent is released.
     */
    suspend fun claim(key: IntentKey, digest: RequestDigest): Either<IntentRefusal, ExecutionGrant> {
        currentRefusal()?.let { return it.left() }
        table.holder(key)?.let { return resolve(it, digest).left() }
        if (!table.isComplete(clock())) return IntentRefusal.Undecided.TABLE_FULL.left()
        if (waiters.size >= settings.maxWaiting) return IntentRefusal.Undecided.LOG_UNAVAILABLE.left()
        return when (val readBack = writeAndReadBack(RequestIntent(key, nextId(), digest, writer.host))) {
            is ReadBack.Granted -> readBack.grant.right()
            is ReadBack.HeldByOther -> resolve(readBack.intent, digest).left()
            ReadBack.Failed -> IntentRefusal.Undecided.LOG_UNAVAILABLE.left()
        }
    }

    /** Returns the state of the intent for [key]; peers query it. */
    fun intentStatus(key: IntentKey): IntentStatus {
        val holder = table.holder(key)
        holder?.outcome?.let { return IntentStatus.Ran(it) }
        if (holder != null && holder.id in released) return IntentStatus.NotDispatched
        return localIntents[key]?.status ?: IntentStatus.Unknown
    }

    /** Applies a page of the stream to the [IntentTable]. [end] is the offset of the next record to be appended. */
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
        table.evictExpired(earliest, clock())
        val next = records.lastOrNull()?.first?.next() ?: end
        if (next >= end) isCaughtUp = true
    }

    /** Sends batches until it is cancelled. */
    suspend fun run(): Unit = coroutineScope {
        while (isActive) {
            awaitUnsent()
            delay(lingerMs())
            val intents = dequeue(unsentIntents, settings.batchSize)
            val results = if (clock() >=
                nextResultsAt
            ) {
                dequeue(unsentResults, settings.batchSize - intents.size)
            } else {
                emptyList()
            }
            if (intents.size + results.size > 0) sendBatch(intents, results)
        }
    }

    private fun currentRefusal(): IntentRefusal.Undecided? = when {
        isUnreadable -> IntentRefusal.Undecided.UNREADABLE
        !isCaughtUp -> IntentRefusal.Undecided.NOT_CAUGHT_UP
        else -> null
    }

    private suspend fun writeAndReadBack(intent: RequestIntent): ReadBack {
        val waiter = Waiter(intent)
        waiters[intent.id] = waiter
        unsentIntents.addLast(intent)
        workAvailable.complete(Unit)
        var readBack: ReadBack? = null
        try {
            readBack = withTimeoutOrNull(settings.readBackTimeoutMs) { waiter.result.await() }
            return readBack ?: ReadBack.Failed
        } finally {
            waiters -= intent.id
            unsentIntents.remove(intent)
            // The claim was cancelled or timed out while the grant arrived, so nothing will use the grant.
            if (readBack == null) waiter.executionGrant?.release()
        }
    }

    private fun applyRecord(record: IntentRecord, offset: LogOffset) {
        val installed = table.apply(record, offset, clock())
        when (record) {
            is RequestIntent -> if (installed != null) grant(record) else rejectWaiter(record)
            is RequestOutcome -> if (localIntents[record.key]?.id == record.id) localIntents -= record.key
            is IntentRelease -> released -= record.id
        }
    }

    private fun grant(record: RequestIntent) {
        if (!isLocal(record.id)) return
        val grant = ExecutionGrant(record)
        val waiter = waiters[record.id]
        if (waiter == null || !waiter.result.complete(ReadBack.Granted(grant))) {
            // The claim has ended, so its right is released.
            grant.release()
        } else {
            waiter.executionGrant = grant
        }
    }

    private fun rejectWaiter(record: RequestIntent) {
        val holder = table.holder(record.key) ?: return
        if (holder.id != record.id) waiters[record.id]?.result?.complete(ReadBack.HeldByOther(holder))
    }

    private suspend fun resolve(holder: IntentHolder, digest: RequestDigest): IntentRefusal {
        if (holder.digest != digest) return IntentRefusal.KeyReused
        holder.outcome?.let { return IntentRefusal.Ran(it) }
        val status = if (isLocal(holder.id)) {
            intentStatus(holder.key)
        } else {
            withTimeoutOrNull(settings.readBackTimeoutMs) {
                queryPeer(holder.router, holder.key.customer, holder.key.idempotencyKey)
            } ?: IntentStatus.Unknown
        }
        return when (status) {
            is IntentStatus.Ran -> IntentRefusal.Ran(status.outcome)
            IntentStatus.Running -> IntentRefusal.InProgress
            IntentStatus.NotDispatched -> IntentRefusal.Undecided.RELEASED
            IntentStatus.MayHaveRun, IntentStatus.Unknown -> IntentRefusal.MayHaveRun
        }
    }

    private suspend fun awaitUnsent() {
        while (unsentIntents.isEmpty()) {
            val pauseMs = nextResultsAt - clock()
            if (unsentResults.isNotEmpty() && pauseMs <= 0) return
            workAvailable = CompletableDeferred()
            if (unsentResults.isEmpty()) workAvailable.await() else withTimeoutOrNull(pauseMs) { workAvailable.await() }
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
            val result = appendPermits.withPermit { append(encodeIntents(intents + results)) }
            if (result == AppendResult.NOT_APPENDED) {
                intents.forEach { waiters[it.id]?.result?.complete(ReadBack.Failed) }
            }
            // Results are sent again after an unconfirmed append; a duplicate outcome or release has no effect.
            if (result != AppendResult.APPENDED) {
                nextResultsAt = clock() + settings.retryDelayMs
                results.forEach(::enqueueResult)
            }
        }
    }

    private fun enqueueResult(record: IntentRecord) {
        unsentResults.addLast(record)
        // An intent without a recorded outcome is reported as "may have run", which is safe.
        if (unsentResults.size > settings.maxUnsent) discard(unsentResults.removeFirst())
        workAvailable.complete(Unit)
    }

    private fun discard(record: IntentRecord) {
        released -= record.id
        if (localIntents[record.key]?.id == record.id) localIntents -= record.key
    }

    private fun failWaiters() = waiters.values.forEach { it.result.complete(ReadBack.Failed) }

    private fun nextId() = IntentId("${writer.run}-${nextSequence++}")

    private fun isLocal(id: IntentId) = id.value.substringBeforeLast('-') == writer.run.value

    private fun <T> dequeue(queue: ArrayDeque<T>, count: Int): List<T> = List(minOf(count, queue.size)) {
        queue.removeFirst()
    }

    /** The right to run one request. */
    inner class ExecutionGrant internal constructor(private val intent: RequestIntent) {
        private val state = LocalIntent(intent.id)

        init {
            localIntents[intent.key] = state
        }

        /** Records that the request ran and its response was received. */
        fun recordOutcome(outcome: RecordedOutcome) {
            state.status = IntentStatus.Ran(outcome)
            enqueueResult(RequestOutcome(intent.key, intent.id, outcome))
        }

        /** Records that the request was sent and its response was lost. */
        fun recordMayHaveRun() {
            // Peers treat an intent that its router does not know as one that may have run.
            if (localIntents[intent.key] === state) localIntents -= intent.key
        }

        /** Releases the right. Only allowed if no byte of the request was sent to a backend server. */
        fun release() {
            if (localIntents[intent.key] === state) localIntents -= intent.key
            released += intent.id
            enqueueResult(IntentRelease(intent.key, intent.id))
        }
    }

    private class LocalIntent(val id: IntentId) {
        var status: IntentStatus = IntentStatus.Running
    }

    private class Waiter(val intent: RequestIntent) {
        val result = CompletableDeferred<ReadBack>()
        var executionGrant: IntentRecorder.ExecutionGrant? = null
    }

    private sealed interface ReadBack {
        class Granted(val grant: IntentRecorder.ExecutionGrant) : ReadBack

        class HeldByOther(val intent: IntentHolder) : ReadBack

        data object Failed : ReadBack
    }

    private companion object {
        const val MS_PER_SECOND = 1_000L
        const val MAX_CONCURRENT_APPENDS = 8
    }
}
