/**
 * Finds requests that crash the backend servers that run them. Every request in flight on a crashed server becomes a
 * suspect. A suspect is retried only on a server without other suspects, so that a second crash identifies the request.
 * Does no I/O and reads no clock: events and their times are passed in, new quarantines are passed to a callback.
 */
package org.hickorytiller.quarantine

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.TimeMs

/** A quarantined fingerprint as sent between hosts. Has a duration, since clocks of hosts are not comparable. */
data class Quarantine(val fingerprint: Fingerprint, val remainingMs: Long)

/** Sends a new quarantine to the peers. */
typealias ShareQuarantine = (Quarantine) -> Unit

/**
 * Rules for suspects.
 *
 * @property crashes number of crashes on distinct servers after which a fingerprint is quarantined
 * @property quarantineMs duration of a quarantine; crashes are kept for the same time
 * @property domainLossMs time within which two lost servers of one failure domain count as a loss of the domain, which
 *   makes no request a suspect
 * @property maxFingerprints maximum number of suspects and of quarantines; the oldest are removed first
 */
data class SuspectRules(
    val crashes: Int = 2,
    val quarantineMs: Long = 600_000,
    val domainLossMs: Long = 2_000,
    val maxFingerprints: Int = 10_000,
)

/** Suspects and quarantined fingerprints of one router. [share] is called with each new quarantine. */
class CrashSuspects(private val rules: SuspectRules = SuspectRules(), private val share: ShareQuarantine = {}) {
    private val inFlight = HashMap<BackendServerId, MutableMap<Fingerprint, Int>>()
    private val losses = ArrayDeque<Loss>()
    private val crashesByRequest = LinkedHashMap<Fingerprint, MutableMap<ServerIncarnation, TimeMs>>()
    private val quarantinedUntil = LinkedHashMap<Fingerprint, TimeMs>()
    private val evictedUntil = HashMap<FailureDomain, TimeMs>()

    /** Records that [request] starts on [server]. */
    fun started(server: BackendServerId, request: Fingerprint) {
        inFlight.getOrPut(server) { HashMap() }.merge(request, 1, Int::plus)
    }

    /** Records that [request] no longer runs on [server]. */
    fun ended(server: BackendServerId, request: Fingerprint) {
        val running = inFlight[server] ?: return
        running.computeIfPresent(request) { _, count -> if (count > 1) count - 1 else null }
        if (running.isEmpty()) inFlight -= server
    }

    /** Records that [request] has its complete response, so that it is no longer a suspect. */
    fun completed(request: Fingerprint) {
        crashesByRequest -= request
    }

    /** Records that [server] crashed. Further calls for the same crash have no effect. */
    fun crashed(server: BackendServer, now: TimeMs) {
        val requests = inFlight.remove(server.id)?.keys ?: return
        removeExpired(now)
        val loss = Loss(server.incarnation, server.failureDomain, requests, now)
        val sameDomain = losses.filter { it.domain == loss.domain && now - it.at < rules.domainLossMs }
        losses.addLast(loss)
        if (isDuringEviction(loss, now)) return
        if (sameDomain.isEmpty()) recordCrash(loss, now) else sameDomain.forEach(::withdrawCrash)
    }

    /** Records that [domain] will be evicted within [remainingMs]; its lost servers make no request a suspect. */
    fun evictionAnnounced(domain: FailureDomain, remainingMs: Long, now: TimeMs) {
        evictedUntil.merge(domain, now + remainingMs + rules.domainLossMs, ::maxOf)
    }

    /** Whether [request] was in flight during a crash and has not completed since. */
    fun isSuspect(request: Fingerprint): Boolean = request in crashesByRequest

    /**
     * Whether [request] may be sent to [server]. A suspect may only run on a server that it has not crashed, that runs
     * no other suspect, and whose failure domain has no recent loss: a second crash there would count as domain loss.
     */
    fun mayRunOn(server: BackendServer, request: Fingerprint, now: TimeMs): Boolean {
        val crashedServers = crashesByRequest[request] ?: return true
        if (server.incarnation in crashedServers) return false
        if (losses.any { it.domain == server.failureDomain && now - it.at < rules.domainLossMs }) return false
        return inFlight[server.id].orEmpty().keys.none { it != request && isSuspect(it) }
    }

    /** Returns the remaining quarantine of [request] in milliseconds; null if it is not quarantined. */
    fun quarantineMs(request: Fingerprint, now: TimeMs): Long? =
        quarantinedUntil[request]?.let { it - now }?.takeIf { it > 0 }

    /**
     * Applies a quarantine received from a peer. It is sent on only with its remaining time, so peers cannot prolong it
     * among themselves.
     */
    fun applyPeerQuarantine(quarantine: Quarantine, now: TimeMs) {
        val until = now + quarantine.remainingMs.coerceAtMost(rules.quarantineMs)
        quarantinedUntil.merge(quarantine.fingerprint, until, ::maxOf)
        quarantinedUntil.trimToLimit()
    }

    /** Returns all quarantines in effect, to be sent to peers. */
    fun quarantines(now: TimeMs): List<Quarantine> =
        quarantinedUntil.map { (request, until) -> Quarantine(request, until - now) }.filter { it.remainingMs > 0 }

    private fun isDuringEviction(loss: Loss, now: TimeMs) = evictedUntil[loss.domain]?.let { now < it } ?: false

    private fun recordCrash(loss: Loss, now: TimeMs) {
        loss.requests.forEach { request ->
            recordCrash(request, loss.server, now)
        }
        crashesByRequest.trimToLimit()
    }

    private fun recordCrash(request: Fingerprint, server: ServerIncarnation, at: TimeMs) {
        val servers = crashesByRequest.getOrPut(request) { HashMap() }
        servers[server] = at
        if (servers.size >= rules.crashes) quarantine(request, at)
    }

    private fun withdrawCrash(loss: Loss) {
        loss.requests.forEach { request ->
            val servers = crashesByRequest[request] ?: return@forEach
            if (servers[loss.server] == loss.at) servers -= loss.server
            if (servers.isEmpty()) crashesByRequest -= request
            if (servers.size < rules.crashes) quarantinedUntil -= request
        }
    }

    private fun quarantine(request: Fingerprint, now: TimeMs) {
        quarantinedUntil[request] = now + rules.quarantineMs
        quarantinedUntil.trimToLimit()
        share(Quarantine(request, rules.quarantineMs))
    }

    private fun removeExpired(now: TimeMs) {
        while (losses.firstOrNull()?.let { now - it.at >= rules.domainLossMs } == true) losses.removeFirst()
        crashesByRequest.values.forEach { servers -> servers.values.removeIf { now - it >= rules.quarantineMs } }
        crashesByRequest.values.removeIf { it.isEmpty() }
        quarantinedUntil.values.removeIf { it <= now }
        evictedUntil.values.removeIf { it <= now }
    }

    private fun <V> LinkedHashMap<Fingerprint, V>.trimToLimit() {
        while (size > rules.maxFingerprints) remove(keys.first())
    }

    private val BackendServer.incarnation get() = ServerIncarnation(id, startedMs)

    private class Loss(
        val server: ServerIncarnation,
        val domain: FailureDomain,
        val requests: Set<Fingerprint>,
        val at: TimeMs,
    )
}
