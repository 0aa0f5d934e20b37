/**
 * Evaluates one `intents` stream: the first intent of a customer and idempotency key holds the right to run the
 * request. Every reader of the stream comes to the same result. The right never expires, and passes to another intent
 * only if its holder releases it before it sends anything. Does no I/O and reads no clock: records and the time are
 * passed in.
 */
package org.hickorytiller.dispatch

import org.hickorytiller.core.HostId
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.TimeMs

/**
 * The intent that holds the right to run a request.
 *
 * @property outcome the recorded response; null as long as there is none
 */
class IntentHolder internal constructor(
    val key: IntentKey,
    val id: IntentId,
    val digest: RequestDigest,
    val router: HostId,
    internal val offset: LogOffset,
    internal val readAt: TimeMs,
) {
    var outcome: RecordedOutcome? = null
        internal set
}

/**
 * Limits of the table.
 *
 * @property windowMs time for which a key is kept after its intent was read: the retention of the log minus one hour.
 *   The default is for a log that retains 24 hours.
 * @property maxIntents maximum number of intents
 * @property maxOutcomeBytes maximum total size of the recorded bodies; the oldest are dropped first
 */
data class IntentLimits(
    val windowMs: Long = 82_800_000,
    val maxIntents: Int = 500_000,
    val maxOutcomeBytes: Long = 16_777_216,
)

/** Intents of one stream. */
class IntentTable(private val limits: IntentLimits = IntentLimits()) {
    // Iterates in log order, oldest intent first.
    private val holders = LinkedHashMap<IntentKey, IntentHolder>()
    private val outcomesWithBody = ArrayDeque<IntentHolder>()
    private var outcomeBytes = 0L
    private var incompleteUntil = TimeMs(Long.MIN_VALUE)

    /** Number of intents in the table. */
    val size: Int get() = holders.size

    /** Returns the intent that holds the right to run [key]; null if there is none. */
    fun holder(key: IntentKey): IntentHolder? = holders[key]

    /**
     * Whether the table has every intent of the window, so that a key without a holder is certainly new. False for the
     * rest of the window after an intent was evicted because the table was full.
     */
    fun isComplete(now: TimeMs): Boolean = now >= incompleteUntil

    /** Applies the record at [offset], read at [now]. Returns the intent if it became the holder of its key. */
    fun apply(record: IntentRecord, offset: LogOffset, now: TimeMs): IntentHolder? {
        when (record) {
            is RequestIntent -> return applyIntent(record, offset, now)
            is RequestOutcome -> applyOutcome(record)
            is IntentRelease -> if (holders[record.key]?.isReleasedBy(record) == true) holders -= record.key
        }
        return null
    }

    /** Removes intents that are older than the window or below [earliest], the oldest offset that the log retains. */
    fun evictExpired(earliest: LogOffset, now: TimeMs) {
        val entries = holders.values.iterator()
        while (entries.hasNext()) {
            val intent = entries.next()
            if (intent.offset >= earliest && now - intent.readAt < limits.windowMs) return
            entries.remove()
            removeOutcome(intent)
        }
    }

    private fun applyIntent(record: RequestIntent, offset: LogOffset, now: TimeMs): IntentHolder? {
        if (record.key in holders) return null
        while (holders.size >= limits.maxIntents) evictOldest()
        return IntentHolder(record.key, record.id, record.digest, record.router, offset, now).also {
            holders[record.key] = it
        }
    }

    private fun applyOutcome(record: RequestOutcome) {
        val intent = holders[record.key]?.takeIf { it.id == record.id && it.outcome == null } ?: return
        intent.outcome = record.outcome
        if (record.outcome.body.isEmpty()) return
        outcomesWithBody.addLast(intent)
        outcomeBytes += record.outcome.body.size
        while (outcomeBytes > limits.maxOutcomeBytes) dropOldestBody()
    }

    private fun IntentHolder.isReleasedBy(release: IntentRelease) = id == release.id && outcome == null

    private fun evictOldest() {
        val oldest = holders.values.first()
        holders -= oldest.key
        removeOutcome(oldest)
        incompleteUntil = maxOf(incompleteUntil, oldest.readAt + limits.windowMs)
    }

    private fun dropOldestBody() {
        val intent = outcomesWithBody.removeFirst()
        val outcome = intent.outcome ?: return
        outcomeBytes -= outcome.body.size
        intent.outcome = RecordedOutcome(outcome.status, null, ByteArray(0), truncated = true)
    }

    private fun removeOutcome(intent: IntentHolder) {
        val outcome = intent.outcome ?: return
        if (outcome.body.isEmpty()) return
        outcomesWithBody.remove(intent)
        outcomeBytes -= outcome.body.size
    }
}
