/**
 * Finds parts of prompts that crash the servers that begin to answer them. The requests with such a part may differ in
 * everything else, so crashes are counted by part and not by request.
 *
 * A crash makes the parts of all requests suspect that the server had not begun to answer. An answer that began later,
 * on any server, clears all parts of its prompt. A part that crashes servers is never answered, while the parts that
 * its requests share with other requests are, so only the former reaches the limit.
 *
 * Does no I/O and reads no clock: events and their times are passed in.
 */
package org.hickorytiller.quarantine

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.TimeMs

/**
 * Rules for suspect parts.
 *
 * @property crashes number of crashes without an answer in between after which a part is quarantined
 * @property coincidences number of crashes of a part that may be unrelated to it if another part explains the others
 * @property sameCauseMs time within which crashes in one failure domain count as one, since the domain may have failed
 * @property answerMs time for which an answer must continue to clear its parts; a server may send the first bytes of an
 *   answer before it crashes
 * @property quarantineMs duration of a quarantine
 * @property rememberMs time for which crashes are kept, so that the first crash after a quarantine renews it
 * @property maxParts maximum number of suspects and of answered parts; those that were not seen for longest are removed
 * @property maxQuarantines maximum number of quarantines; the oldest are removed first
 * @property sharingMs time for which a crash or an answer is sent to peers; it spans several messages
 * @property maxShared maximum number of entries of each kind in a message; the oldest are omitted
 */
data class PartSuspectRules(
    val crashes: Int = 3,
    val coincidences: Int = 1,
    val sameCauseMs: Long = 2_000,
    val answerMs: Long = 300,
    val quarantineMs: Long = 600_000,
    val rememberMs: Long = 3_600_000,
    val maxParts: Int = 10_000,
    val maxQuarantines: Int = 1_000,
    val sharingMs: Long = 3_000,
    val maxShared: Int = 24,
)

/** Called when a part is quarantined or released; the flag is true if it is quarantined. */
typealias OnPartQuarantine = (PartFingerprint, Boolean) -> Unit

/** A request in flight on [server] with the shared parts [parts] of its prompt. */
class PartRun internal constructor(val server: BackendServerId, val parts: List<PartFingerprint>) {
    internal var answeredAt: TimeMs? = null
    internal var isCleared = false
}

/** Suspect and quarantined parts as known to one host. */
class PartSuspects(
    private val rules: PartSuspectRules = PartSuspectRules(),
    private val onQuarantine: OnPartQuarantine = { _, _ -> },
) {
    private val inFlight = HashMap<BackendServerId, MutableSet<PartRun>>()
    private val suspects = boundedMap<MutableMap<ServerIncarnation, Crash>>(rules.maxParts)
    private val answeredAt = boundedMap<TimeMs>(rules.maxParts)
    private val quarantinedAt = boundedMap<TimeMs>(rules.maxQuarantines)
    private val recentCrashes = ArrayDeque<Pair<TimeMs, PartCrash>>()

    /** Parts whose answer contradicted a crash or a quarantine, and when that was noticed; peers have to know it. */
    private val contradictedAt = boundedMap<TimeMs>(rules.maxParts)

    private class Crash(val domain: FailureDomain, val at: TimeMs)

    /** Records that a request with [parts] is sent to [server]. */
    fun started(server: BackendServerId, parts: List<PartFingerprint>): PartRun {
        val run = PartRun(server, parts)
        if (parts.isNotEmpty()) inFlight.getOrPut(server) { HashSet() } += run
        return run
    }

    /** Records that a part of the answer to [run] has arrived. */
    fun answerContinued(run: PartRun, now: TimeMs) {
        val beganAt = run.answeredAt ?: now.also { run.answeredAt = it }
        if (!run.isCleared && now - beganAt >= rules.answerMs) clear(run, beganAt, now)
    }

    /** Records that [run] has its complete answer. */
    fun answered(run: PartRun, now: TimeMs) {
        if (!run.isCleared) clear(run, run.answeredAt ?: now, now)
    }

    /** Records that [run] is no longer in flight. */
    fun ended(run: PartRun) {
        val runs = inFlight[run.server] ?: return
        runs -= run
        if (runs.isEmpty()) inFlight -= run.server
    }

    /** Records that [server] crashed. Further calls for the same crash have no effect. */
    fun crashed(server: BackendServer, now: TimeMs) {
        val parts = inFlight.remove(server.id)?.flatMapTo(LinkedHashSet()) { it.parts } ?: return
        val incarnation = ServerIncarnation(server.id, server.startedMs)
        parts.forEach { part ->
            recordCrash(part, incarnation, Crash(server.failureDomain, now), now)
            recentCrashes.addLast(now to PartCrash(part, incarnation, server.failureDomain, ageMs = 0))
        }
    }

    /** Whether a request with [parts] must not be sent to a server. */
    fun isQuarantined(parts: List<PartFingerprint>, now: TimeMs): Boolean {
        val quarantined = parts.filter { part -> quarantinedAt[part]?.let { isInEffect(it, now) } ?: false }
        if (quarantined.isEmpty()) return false
        val others = quarantinedAt.filter { (part, at) -> part !in parts && isInEffect(at, now) }.keys
        return quarantined.any { part -> others.none { explains(it, part) } }
    }

    // A part that all crashing requests share with sound ones is quarantined with the cause if no sound one came in
    // between. Requests without the cause are sent, and their answers release it.
    private fun explains(cause: PartFingerprint, part: PartFingerprint): Boolean {
        val causeCrashes = suspects[cause] ?: return false
        val partCrashes = suspects[part] ?: return false
        return causes(partCrashes.filterKeys { it !in causeCrashes }.values) <= rules.coincidences
    }

    /** Returns the evidence of this host, to be sent to peers. */
    fun evidence(now: TimeMs): PartEvidence {
        while (recentCrashes.isNotEmpty() && now - recentCrashes.first().first > rules.sharingMs) {
            recentCrashes.removeFirst()
        }
        return PartEvidence(
            crashes = recentCrashes.takeLast(rules.maxShared).map { (at, crash) -> crash.copy(ageMs = now - at) },
            answers = recentContradictions(now),
            quarantines = quarantinedAt.entries.filter { isInEffect(it.value, now) }.takeLast(rules.maxShared)
                .map { PartQuarantine(it.key, now - it.value) },
        )
    }

    /** Applies the [evidence] of a peer. */
    fun applyPeerEvidence(evidence: PartEvidence, now: TimeMs) {
        evidence.answers.forEach { recordAnswer(it.part, now - it.ageMs, now) }
        evidence.crashes.forEach { recordCrash(it.part, it.server, Crash(it.domain, now - it.ageMs), now) }
        evidence.quarantines.forEach {
            if (!isContradicted(it.part, now - it.ageMs, now)) {
                quarantine(
                    it.part,
                    now - it.ageMs,
                )
            }
        }
    }

    private fun recentContradictions(now: TimeMs): List<PartAnswer> =
        contradictedAt.entries.filter { now - it.value <= rules.sharingMs }.map { it.key }.takeLast(rules.maxShared)
            .mapNotNull { part -> answeredAt[part]?.let { PartAnswer(part, now - it) } }

    private fun clear(run: PartRun, beganAt: TimeMs, now: TimeMs) {
        run.isCleared = true
        ended(run)
        run.parts.forEach { recordAnswer(it, beganAt, now) }
    }

    private fun recordAnswer(part: PartFingerprint, at: TimeMs, now: TimeMs) {
        answeredAt.merge(part, at, ::maxOf)
        val crashes = suspects[part]
        if (crashes?.values?.removeIf { it.at <= at } == true) contradictedAt[part] = now
        if (crashes?.isEmpty() == true) suspects -= part
        val lastCrashAt = quarantinedAt[part] ?: return
        if (lastCrashAt > at) return
        quarantinedAt -= part
        contradictedAt[part] = now
        onQuarantine(part, false)
    }

    /** Whether a request with [part] was answered after a crash at [crashAt]. */
    private fun isContradicted(part: PartFingerprint, crashAt: TimeMs, now: TimeMs): Boolean {
        val isAnswered = answeredAt[part]?.let { it >= crashAt } ?: false
        if (isAnswered) contradictedAt[part] = now
        return isAnswered
    }

    private fun recordCrash(part: PartFingerprint, server: ServerIncarnation, crash: Crash, now: TimeMs) {
        if (isContradicted(part, crash.at, now)) return
        val crashes = suspects.getOrPut(part) { HashMap() }
        // Several hosts may report the same crash.
        if (crashes.putIfAbsent(server, crash) != null) return
        crashes.values.removeIf { crash.at - it.at > rules.rememberMs }
        if (causes(crashes.values) >= rules.crashes) quarantine(part, crash.at)
    }

    /** Returns the number of crashes; those in one domain within a short time count as one. */
    private fun causes(crashes: Collection<Crash>): Int {
        val lastCauseAt = HashMap<FailureDomain, TimeMs>()
        return crashes.sortedBy { it.at }.count { crash ->
            val isSameCause = lastCauseAt[crash.domain]?.let { crash.at - it < rules.sameCauseMs } ?: false
            if (!isSameCause) lastCauseAt[crash.domain] = crash.at
            !isSameCause
        }
    }

    private fun quarantine(part: PartFingerprint, lastCrashAt: TimeMs) {
        val known = quarantinedAt[part]
        if (known != null && known >= lastCrashAt) return
        quarantinedAt[part] = lastCrashAt
        if (known == null || lastCrashAt - known >= rules.quarantineMs) onQuarantine(part, true)
    }

    private fun isInEffect(lastCrashAt: TimeMs, now: TimeMs) = now - lastCrashAt < rules.quarantineMs

    /** A map that removes the entry that was not used for longest when it exceeds [limit]. */
    private fun <V> boundedMap(limit: Int) =
        object : LinkedHashMap<PartFingerprint, V>(INITIAL_SIZE, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: Map.Entry<PartFingerprint, V>) = size > limit
        }

    private companion object {
        const val INITIAL_SIZE = 16
        const val LOAD_FACTOR = 0.75f
    }
}
