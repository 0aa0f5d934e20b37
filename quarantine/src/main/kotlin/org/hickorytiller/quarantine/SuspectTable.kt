/**
 * Finds what crashes servers when they begin to answer it: a request that callers send again, or a part of prompts
 * whose requests differ in everything else. Crashes are counted for the fingerprint of each.
 *
 * A crash makes the fingerprints of all requests suspect that the server had not begun to answer. An answer that began
 * later, on any server, clears all fingerprints of its request. A part that crashes servers is never answered, while
 * the parts that its requests share with other requests are, so only the former reaches the limit.
 *
 * Does no I/O and reads no clock: events and their times are passed in.
 */
package org.hickorytiller.quarantine

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.TimeMs

/**
 * Rules for suspects.
 *
 * @property crashes number of crashes without an answer in between after which a fingerprint is quarantined
 * @property coincidences number of crashes of a suspect that may be unrelated to it if another one explains the others
 * @property sameCauseMs time within which crashes in one failure domain count as one, since the domain may have failed
 * @property answerMs time for which an answer must continue to clear its request; a server may send the first bytes
 *   of an answer before it crashes
 * @property quarantineMs duration of a quarantine
 * @property rememberMs time for which crashes are kept, so that the first crash after a quarantine renews it
 * @property maxFingerprints maximum number of suspects and of answered fingerprints; those that were not seen for
 *   longest are removed first
 * @property maxQuarantines maximum number of quarantines; the oldest are removed first
 * @property sharingMs time for which a crash or an answer is sent to peers; it spans several messages
 * @property repeatMs time after which all quarantines are sent again, for hosts that have started or were cut off
 * @property maxShared maximum number of entries of each kind in a message; the oldest are omitted
 */
data class SuspectTableRules(
    val crashes: Int = 3,
    val coincidences: Int = 1,
    val sameCauseMs: Long = 2_000,
    val answerMs: Long = 300,
    val quarantineMs: Long = 600_000,
    val rememberMs: Long = 3_600_000,
    val maxFingerprints: Int = 10_000,
    val maxQuarantines: Int = 1_000,
    val sharingMs: Long = 3_000,
    val repeatMs: Long = 1_500,
    val maxShared: Int = 64,
)

/** Called when a fingerprint is quarantined or released; the flag is true if it is quarantined. */
typealias OnQuarantineChange = (Fingerprint, Boolean) -> Unit

/** Called for each crash with the fingerprints that it makes suspect. */
typealias OnCrash = (BackendServer, Set<Fingerprint>) -> Unit

/** A request in flight on [server]. */
class ObservedRun internal constructor(val server: BackendServerId, val fingerprints: List<Fingerprint>) {
    internal var answeredAt: TimeMs? = null
    internal var isCleared = false
}

/** Suspect and quarantined fingerprints as known to one host. */
class SuspectTable(
    private val rules: SuspectTableRules = SuspectTableRules(),
    private val onCrash: OnCrash = { _, _ -> },
    private val onQuarantine: OnQuarantineChange = { _, _ -> },
) {
    private val inFlight = HashMap<BackendServerId, MutableSet<ObservedRun>>()
    private val crashCounts = CrashCounts(rules)
    private val answers = AnswerTimes(rules)
    private val quarantinedAt = leastRecentlyUsedMap<Fingerprint, TimeMs>(rules.maxQuarantines)
    private val recentCrashes = ArrayDeque<Pair<TimeMs, FingerprintCrash>>()
    private var quarantinesSentAt: TimeMs? = null

    /** Records that a request with [fingerprints] is sent to [server]. */
    fun started(server: BackendServerId, fingerprints: List<Fingerprint>): ObservedRun {
        val run = ObservedRun(server, fingerprints)
        if (fingerprints.isNotEmpty()) inFlight.getOrPut(server) { HashSet() } += run
        return run
    }

    /** Records that a part of the answer to [run] has arrived. */
    fun answerContinued(run: ObservedRun, now: TimeMs) {
        val beganAt = run.answeredAt ?: now.also { run.answeredAt = it }
        if (!run.isCleared && now - beganAt >= rules.answerMs) clear(run, beganAt, now)
    }

    /** Records that [run] has its complete answer. */
    fun answered(run: ObservedRun, now: TimeMs) {
        if (!run.isCleared) clear(run, run.answeredAt ?: now, now)
    }

    /** Records that [run] is no longer in flight. */
    fun ended(run: ObservedRun) {
        val runs = inFlight[run.server] ?: return
        runs -= run
        if (runs.isEmpty()) inFlight -= run.server
    }

    /** Records that [server] crashed. Further calls for the same crash have no effect. */
    fun crashed(server: BackendServer, now: TimeMs) {
        val suspected = inFlight.remove(server.id)?.flatMapTo(LinkedHashSet()) { it.fingerprints } ?: return
        onCrash(server, suspected)
        val incarnation = ServerIncarnation(server.id, server.startedMs)
        suspected.forEach { suspect ->
            recordCrash(suspect, incarnation, Crash(server.failureDomain, now), now)
            recentCrashes.addLast(now to FingerprintCrash(suspect, incarnation, server.failureDomain, ageMs = 0))
        }
    }

    /** Whether a request with [fingerprints] must not be sent to a server. */
    fun isQuarantined(fingerprints: List<Fingerprint>, now: TimeMs): Boolean {
        val quarantined = fingerprints.filter { own -> quarantinedAt[own]?.let { isInEffect(it, now) } ?: false }
        if (quarantined.isEmpty()) return false
        val others = quarantinedAt.filter { (other, at) -> other !in fingerprints && isInEffect(at, now) }.keys
        return quarantined.any { own -> others.none { crashCounts.explains(it, own) } }
    }

    /** Returns for how long a request with [fingerprints] is refused; null if it is not. */
    fun refusalMs(fingerprints: List<Fingerprint>, now: TimeMs): Long? {
        if (!isQuarantined(fingerprints, now)) return null
        return fingerprints.mapNotNull { quarantinedAt[it] }.maxOf { it + rules.quarantineMs - now }
    }

    /** Applies a quarantine that a peer has for another [remainingMs]. */
    fun applyPeerQuarantine(fingerprint: Fingerprint, remainingMs: Long, now: TimeMs) {
        val ageMs = (rules.quarantineMs - remainingMs).coerceAtLeast(0)
        applyPeerEvidence(CrashEvidence(quarantines = listOf(FingerprintQuarantine(fingerprint, ageMs))), now)
    }

    /** Returns the number of quarantines in effect. */
    fun quarantineCount(now: TimeMs): Int = quarantinedAt.values.count { isInEffect(it, now) }

    /** Returns the evidence of this host, to be sent to peers. */
    fun evidence(now: TimeMs): CrashEvidence {
        while (recentCrashes.isNotEmpty() && now - recentCrashes.first().first > rules.sharingMs) {
            recentCrashes.removeFirst()
        }
        return CrashEvidence(
            crashes = recentCrashes.takeLast(rules.maxShared).map { (at, crash) -> crash.copy(ageMs = now - at) },
            answers = answers.recentContradictions(now),
            quarantines = if (isRepeatDue(now)) quarantines(now) else emptyList(),
        )
    }

    private fun isRepeatDue(now: TimeMs): Boolean {
        val isDue = quarantinesSentAt?.let { now - it >= rules.repeatMs } ?: true
        if (isDue) quarantinesSentAt = now
        return isDue
    }

    /** Returns the quarantines in effect, the latest ones if there are too many for a message. */
    fun quarantines(now: TimeMs): List<FingerprintQuarantine> =
        quarantinedAt.entries.filter { isInEffect(it.value, now) }.takeLast(rules.maxShared)
            .map { FingerprintQuarantine(it.key, now - it.value) }

    /** Applies the [evidence] of a peer. */
    fun applyPeerEvidence(evidence: CrashEvidence, now: TimeMs) {
        evidence.answers.forEach { recordAnswer(it.fingerprint, now - it.ageMs, now) }
        evidence.crashes.forEach { recordCrash(it.fingerprint, it.server, Crash(it.domain, now - it.ageMs), now) }
        evidence.quarantines.forEach {
            val lastCrashAt = now - it.ageMs
            if (!answers.contradict(it.fingerprint, lastCrashAt, now)) quarantine(it.fingerprint, lastCrashAt)
        }
    }

    private fun clear(run: ObservedRun, beganAt: TimeMs, now: TimeMs) {
        run.isCleared = true
        ended(run)
        run.fingerprints.forEach { recordAnswer(it, beganAt, now) }
    }

    private fun recordAnswer(fingerprint: Fingerprint, at: TimeMs, now: TimeMs) {
        answers.record(fingerprint, at)
        if (crashCounts.clear(fingerprint, at)) answers.noteContradiction(fingerprint, now)
        val lastCrashAt = quarantinedAt[fingerprint] ?: return
        if (lastCrashAt > at) return
        quarantinedAt -= fingerprint
        answers.noteContradiction(fingerprint, now)
        onQuarantine(fingerprint, false)
    }

    private fun recordCrash(fingerprint: Fingerprint, server: ServerIncarnation, crash: Crash, now: TimeMs) {
        if (answers.contradict(fingerprint, crash.at, now)) return
        if (crashCounts.add(fingerprint, server, crash) >= rules.crashes) quarantine(fingerprint, crash.at)
    }

    private fun quarantine(fingerprint: Fingerprint, lastCrashAt: TimeMs) {
        val known = quarantinedAt[fingerprint]
        if (known != null && known >= lastCrashAt) return
        quarantinedAt[fingerprint] = lastCrashAt
        if (known == null || lastCrashAt - known >= rules.quarantineMs) onQuarantine(fingerprint, true)
    }

    private fun isInEffect(lastCrashAt: TimeMs, now: TimeMs) = now - lastCrashAt < rules.quarantineMs
}
