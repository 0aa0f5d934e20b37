/**
 * Evaluates one `intents` stream: the first intent of a customer and key holds the right to run the request. Every
 * reader evaluates the stream identically. The right never expires and never moves unless its holder itself gives it
 * up before sending anything. Pure: it is told the records and the time.
 */
package org.hickorytiller.dispatch

import org.hickorytiller.core.HostId
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.TimeMs

/**
 * The intent that holds the right to run a request.
 *
 * @property outcome the recorded answer; null if there is none (yet)
 */
class HeldIntent internal constructor(
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
 * Bounds of the table.
 *
 * @property windowMs how long a key is remembered after its intent was read: the log's retention less one hour. The
 *   default is for a log that retains 24 hours.
 * @property maxIntents number of intents kept
 * @property maxOutcomeBytes total size of the recorded bodies kept; older ones are forgotten first
 */
data class IntentLimits(
    val windowMs: Long = 82_800_000,
    val maxIntents: Int = 500_000,
    val maxOutcomeBytes: Long = 16_777_216,
)

/** Intents of one stream. */
class IntentTable(private val limits: IntentLimits = IntentLimits()) {
    // Insertion order is the order of the log, so the oldest intent comes first.
    private val held = LinkedHashMap<IntentKey, HeldIntent>()
    private val outcomes = ArrayDeque<HeldIntent>()
    private var outcomeBytes = 0L
    private var undecidableUntil = TimeMs(Long.MIN_VALUE)

    /** Number of intents kept. */
    val size: Int get() = held.size

    /** The intent that holds [key]; null if there is none. */
    fun holder(key: IntentKey): HeldIntent? = held[key]

    /**
     * Whether a key that the table does not hold is certainly new. It is not after an intent had to be forgotten
     * within the window because the table was full.
     */
    fun isDecisive(now: TimeMs): Boolean = now >= undecidableUntil

    /** Applies the record at [offset], read at [now]. Returns the holder that it installed, if it did. */
    fun apply(record: IntentRecord, offset: LogOffset, now: TimeMs): HeldIntent? {
        when (record) {
            is RequestIntent -> return applyIntent(record, offset, now)
            is RequestOutcome -> applyOutcome(record)
            is IntentRelease -> if (held[record.key]?.isFreedBy(record) == true) held -= record.key
        }
        return null
    }

    /** Forgets intents that are past the window or below [earliest], the oldest offset that the log retains. */
    fun forget(earliest: LogOffset, now: TimeMs) {
        val entries = held.values.iterator()
        while (entries.hasNext()) {
            val intent = entries.next()
            if (intent.offset >= earliest && now - intent.readAt < limits.windowMs) return
            entries.remove()
            dropOutcome(intent)
        }
    }

    private fun applyIntent(record: RequestIntent, offset: LogOffset, now: TimeMs): HeldIntent? {
        if (record.key in held) return null
        while (held.size >= limits.maxIntents) forgetOldest()
        return HeldIntent(record.key, record.id, record.digest, record.router, offset, now).also {
            held[record.key] = it
        }
    }

    private fun applyOutcome(record: RequestOutcome) {
        val intent = held[record.key]?.takeIf { it.id == record.id && it.outcome == null } ?: return
        intent.outcome = record.outcome
        if (record.outcome.body.isEmpty()) return
        outcomes.addLast(intent)
        outcomeBytes += record.outcome.body.size
        while (outcomeBytes > limits.maxOutcomeBytes) shortenOldestOutcome()
    }

    private fun HeldIntent.isFreedBy(release: IntentRelease) = id == release.id && outcome == null

    private fun forgetOldest() {
        val oldest = held.values.first()
        held -= oldest.key
        dropOutcome(oldest)
        undecidableUntil = maxOf(undecidableUntil, oldest.readAt + limits.windowMs)
    }

    private fun shortenOldestOutcome() {
        val intent = outcomes.removeFirst()
        val outcome = intent.outcome ?: return
        outcomeBytes -= outcome.body.size
        intent.outcome = RecordedOutcome(outcome.status, null, ByteArray(0), truncated = true)
    }

    private fun dropOutcome(intent: HeldIntent) {
        val outcome = intent.outcome ?: return
        if (outcome.body.isEmpty()) return
        outcomes.remove(intent)
        outcomeBytes -= outcome.body.size
    }
}
