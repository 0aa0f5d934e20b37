/**
 * Finds the request that crashes the backend servers which run it. Every request in flight on a crashed server becomes
 * a suspect; a suspect is sent again only to a server without other suspects, so a second crash points at one request.
 * Pure: it is told what starts, ends and crashes, and when.
 */
package org.hickorytiller.quarantine

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.TimeMs

/** A refused fingerprint as routers tell each other. A duration, since clocks are not comparable between hosts. */
data class Quarantine(val fingerprint: RequestFingerprint, val remainingMs: Long)

/** One run of a server; a server may start again under the id that it had. */
data class ServerIncarnation(val id: BackendServerId, val startedMs: Long)

/** A crash of [server] [ageMs] before the message, with the request in flight on it. */
data class CrashReport(val fingerprint: RequestFingerprint, val server: ServerIncarnation, val ageMs: Long)

/** Tells the peers about a new quarantine. */
typealias ShareQuarantine = (Quarantine) -> Unit

/**
 * Rules for suspects.
 *
 * @property crashes number of crashes on distinct servers after which a fingerprint is quarantined
 * @property quarantineMs how long it is refused; crashes are remembered as long
 * @property domainLossMs two losses of one failure domain within this time blame no request
 * @property maxFingerprints number of fingerprints remembered; the oldest are forgotten first
 * @property sharedMs time for which a crash report is told to peers; it spans several messages
 * @property maxShared number of crash reports told at a time; the oldest are left out first
 */
data class SuspectRules(
    val crashes: Int = 2,
    val quarantineMs: Long = 600_000,
    val domainLossMs: Long = 2_000,
    val maxFingerprints: Int = 10_000,
    val sharedMs: Long = 3_000,
    val maxShared: Int = 64,
)

/** Suspects and quarantined fingerprints of one router. */
class CrashSuspects(private val rules: SuspectRules = SuspectRules(), private val share: ShareQuarantine = {}) {
    private val inFlight = HashMap<BackendServerId, MutableMap<RequestFingerprint, Int>>()
    private val losses = ArrayDeque<Loss>()
    private val crashes = LinkedHashMap<RequestFingerprint, MutableMap<ServerIncarnation, TimeMs>>()
    private val quarantined = LinkedHashMap<RequestFingerprint, TimeMs>()
    private val evicted = HashMap<FailureDomain, TimeMs>()
    private val recentReports = ArrayDeque<Pair<TimeMs, CrashReport>>()

    /** Records that [request] starts on [server]. */
    fun started(server: BackendServerId, request: RequestFingerprint) {
        inFlight.getOrPut(server) { HashMap() }.merge(request, 1, Int::plus)
    }

    /** Records that [request] no longer runs on [server]. */
    fun ended(server: BackendServerId, request: RequestFingerprint) {
        val running = inFlight[server] ?: return
        running.computeIfPresent(request) { _, count -> if (count > 1) count - 1 else null }
        if (running.isEmpty()) inFlight -= server
    }

    /** Records that [request] got its whole answer, which clears it. */
    fun completed(request: RequestFingerprint) {
        crashes -= request
    }

    /** Records that [server] crashed. Called once or more for a crash; only the first call finds requests in flight. */
    fun crashed(server: BackendServer, now: TimeMs) {
        val requests = inFlight.remove(server.id)?.keys ?: return
        forget(now)
        val loss = Loss(server.incarnation, server.failureDomain, requests, now)
        val sameDomain = losses.filter { it.domain == loss.domain && now - it.at < rules.domainLossMs }
        losses.addLast(loss)
        if (isExcused(loss, now)) return
        if (sameDomain.isEmpty()) recordCrash(loss, now) else sameDomain.forEach(::withdrawCrash)
    }

    /** Records that [domain] is going to be evicted within [remainingMs]; its losses blame no request. */
    fun evictionAnnounced(domain: FailureDomain, remainingMs: Long, now: TimeMs) {
        evicted.merge(domain, now + remainingMs + rules.domainLossMs, ::maxOf)
    }

    /** Whether [request] was in flight during a crash and has not completed since. */
    fun isSuspect(request: RequestFingerprint): Boolean = request in crashes

    /**
     * Whether [request] may be sent to [server]. A suspect needs a server without other suspects, on which it has not
     * crashed, in a failure domain without a recent loss: a second crash there would be taken for the domain's loss.
     */
    fun mayRunOn(server: BackendServer, request: RequestFingerprint, now: TimeMs): Boolean {
        val previous = crashes[request] ?: return true
        if (server.incarnation in previous) return false
        if (losses.any { it.domain == server.failureDomain && now - it.at < rules.domainLossMs }) return false
        return inFlight[server.id].orEmpty().keys.none { it != request && isSuspect(it) }
    }

    /** The remaining time of quarantine of [request] in milliseconds; null if it is not quarantined. */
    fun quarantineMs(request: RequestFingerprint, now: TimeMs): Long? =
        quarantined[request]?.let { it - now }?.takeIf { it > 0 }

    /** Adopts a quarantine that a peer told. It is not passed on, so peers cannot prolong it among themselves. */
    fun applyPeerQuarantine(quarantine: Quarantine, now: TimeMs) {
        val until = now + quarantine.remainingMs.coerceAtMost(rules.quarantineMs)
        quarantined.merge(quarantine.fingerprint, until, ::maxOf)
        quarantined.trim()
    }

    /** Adopts a crash that a peer saw: the caller may send the same request to another host each time. */
    fun applyPeerCrashReport(report: CrashReport, now: TimeMs) {
        recordCrash(report.fingerprint, report.server, now - report.ageMs)
        crashes.trim()
    }

    /** The crashes that this router saw within the last moments, for peers. */
    fun recentCrashReports(now: TimeMs): List<CrashReport> {
        while (recentReports.isNotEmpty() &&
            now - recentReports.first().first > rules.sharedMs
        ) {
            recentReports.removeFirst()
        }
        return recentReports.map { (at, report) -> report.copy(ageMs = now - at) }
    }

    /** All quarantines in force, for peers. */
    fun quarantines(now: TimeMs): List<Quarantine> =
        quarantined.map { (request, until) -> Quarantine(request, until - now) }.filter { it.remainingMs > 0 }

    private fun isExcused(loss: Loss, now: TimeMs) = evicted[loss.domain]?.let { now < it } ?: false

    private fun recordCrash(loss: Loss, now: TimeMs) {
        loss.requests.forEach { request ->
            recordCrash(request, loss.server, now)
            recentReports.addLast(now to CrashReport(request, loss.server, ageMs = 0))
        }
        while (recentReports.size > rules.maxShared) recentReports.removeFirst()
        crashes.trim()
    }

    private fun recordCrash(request: RequestFingerprint, server: ServerIncarnation, at: TimeMs) {
        val servers = crashes.getOrPut(request) { HashMap() }
        servers[server] = at
        if (servers.size >= rules.crashes) quarantine(request, at)
    }

    private fun withdrawCrash(loss: Loss) {
        recentReports.removeIf { (at, report) -> at == loss.at && report.server == loss.server }
        loss.requests.forEach { request ->
            val servers = crashes[request] ?: return@forEach
            if (servers[loss.server] == loss.at) servers -= loss.server
            if (servers.isEmpty()) crashes -= request
            if (servers.size < rules.crashes) quarantined -= request
        }
    }

    private fun quarantine(request: RequestFingerprint, now: TimeMs) {
        quarantined[request] = now + rules.quarantineMs
        quarantined.trim()
        share(Quarantine(request, rules.quarantineMs))
    }

    private fun forget(now: TimeMs) {
        while (losses.firstOrNull()?.let { now - it.at >= rules.domainLossMs } == true) losses.removeFirst()
        crashes.values.forEach { servers -> servers.values.removeIf { now - it >= rules.quarantineMs } }
        crashes.values.removeIf { it.isEmpty() }
        quarantined.values.removeIf { it <= now }
        evicted.values.removeIf { it <= now }
    }

    private fun <V> LinkedHashMap<RequestFingerprint, V>.trim() {
        while (size > rules.maxFingerprints) remove(keys.first())
    }

    private val BackendServer.incarnation get() = ServerIncarnation(id, startedMs)

    private class Loss(
        val server: ServerIncarnation,
        val domain: FailureDomain,
        val requests: Set<RequestFingerprint>,
        val at: TimeMs,
    )
}
