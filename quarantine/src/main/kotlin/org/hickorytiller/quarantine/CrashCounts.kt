/** Counts crashes of servers by the fingerprints of the requests that they had not begun to answer. */
package org.hickorytiller.quarantine

import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.TimeMs

/** A crash of a server in [domain]. */
internal class Crash(val domain: FailureDomain, val at: TimeMs)

/** The crashes that no later answer has cleared. */
internal class CrashCounts(private val rules: SuspectTableRules) {
    private val crashes = leastRecentlyUsedMap<Fingerprint, MutableMap<ServerIncarnation, Crash>>(rules.maxFingerprints)

    /** Adds a crash and returns the number of crashes of [fingerprint]; 0 if this one is known from another host. */
    fun add(fingerprint: Fingerprint, server: ServerIncarnation, crash: Crash): Int {
        val own = crashes.getOrPut(fingerprint) { HashMap() }
        if (own.putIfAbsent(server, crash) != null) return 0
        own.values.removeIf { crash.at - it.at > rules.rememberMs }
        return causes(own.values)
    }

    /** Removes the crashes of [fingerprint] up to [at]. Returns whether there were any. */
    fun clear(fingerprint: Fingerprint, at: TimeMs): Boolean {
        val own = crashes[fingerprint] ?: return false
        val isChanged = own.values.removeIf { it.at <= at }
        if (own.isEmpty()) crashes -= fingerprint
        return isChanged
    }

    /**
     * Whether the crashes of [companion] may all be due to [cause]. A part that all crashing requests share with sound
     * ones is quarantined with the cause if no sound one came in between. Requests without the cause are sent then, and
     * their answers release the part.
     */
    fun explains(cause: Fingerprint, companion: Fingerprint): Boolean {
        val ofCause = crashes[cause] ?: return false
        val ofCompanion = crashes[companion] ?: return false
        return causes(ofCompanion.filterKeys { it !in ofCause }.values) <= rules.coincidences
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
}
