/** Keeps when requests were last answered, by fingerprint, and which crashes that contradicts. */
package org.hickorytiller.quarantine

import org.hickorytiller.core.TimeMs

/** The latest answers. */
internal class AnswerTimes(private val rules: SuspectTableRules) {
    private val answeredAt = leastRecentlyUsedMap<Fingerprint, TimeMs>(rules.maxFingerprints)

    /** When an answer was last seen to contradict a crash or a quarantine. Only such answers are sent to peers. */
    private val contradictedAt = leastRecentlyUsedMap<Fingerprint, TimeMs>(rules.maxFingerprints)

    /** Records an answer to a request with [fingerprint] that began [at] this time. */
    fun record(fingerprint: Fingerprint, at: TimeMs) {
        answeredAt.merge(fingerprint, at, ::maxOf)
    }

    /** Records that the latest answer to [fingerprint] contradicts a crash, for the peers. */
    fun noteContradiction(fingerprint: Fingerprint, now: TimeMs) {
        contradictedAt[fingerprint] = now
    }

    /** Whether a request with [fingerprint] was answered after a crash at [crashAt]; if so, peers have to know it. */
    fun contradict(fingerprint: Fingerprint, crashAt: TimeMs, now: TimeMs): Boolean {
        val isAnswered = answeredAt[fingerprint]?.let { it >= crashAt } ?: false
        if (isAnswered) noteContradiction(fingerprint, now)
        return isAnswered
    }

    /** Returns the answers that recently contradicted a crash, to be sent to peers. */
    fun recentContradictions(now: TimeMs): List<FingerprintAnswer> =
        contradictedAt.entries.filter { now - it.value <= rules.sharingMs }.map { it.key }.takeLast(rules.maxShared)
            .mapNotNull { fingerprint -> answeredAt[fingerprint]?.let { FingerprintAnswer(fingerprint, now - it) } }
}
