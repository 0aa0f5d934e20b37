/**
 * Tracks the servers that last processed each prompt part, over all hosts. Hosts exchange these locations, since one
 * host alone sees a part too rarely. An engine evicts its least recently used parts without reporting it.
 */
package org.hickorytiller.placement

import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.Clock
import org.hickorytiller.core.TimeMs

/** Location of a [part] that was sent to [server], [ageMs] before the message was sent. */
data class PromptPartLocation(val part: PromptPartId, val server: BackendServerId, val ageMs: Long)

/** Locations of parts. Confined to the event loop. */
internal class PartLocations(private val clock: Clock, private val rules: PlacementRules) {
    private val locations = LinkedHashMap<PromptPartId, HashMap<BackendServerId, TimeMs>>()
    private val recentlySent = ArrayDeque<Pair<TimeMs, PromptPartLocation>>()

    /** Records that this host sends the shared parts of [prompt] to [server]. */
    fun recordSent(prompt: Prompt, server: BackendServerId) {
        val now = clock()
        prompt.sharedParts.forEach { record(it.id, server, now) }
        prompt.lastSharedPart?.let { recentlySent.addLast(now to PromptPartLocation(it, server, ageMs = 0)) }
        removeExpired(now)
    }

    /** Applies the locations received from a peer. */
    fun applyPeerLocations(peerLocations: List<PromptPartLocation>) {
        val now = clock()
        peerLocations.forEach { record(it.part, it.server, now - it.ageMs) }
    }

    /** Returns the recent locations of this host, to be sent to peers. */
    fun recentLocations(): List<PromptPartLocation> {
        val now = clock()
        removeExpired(now)
        return recentlySent.map { (at, location) -> location.copy(ageMs = now - at) }
    }

    /** Removes the locations on [server], which has lost its memory. */
    fun removeServer(server: BackendServerId) {
        locations.values.forEach { it -= server }
    }

    /** Whether [server] probably still has [part] in memory. */
    fun isCached(part: PromptPartId, server: BackendServerId): Boolean {
        val at = locations[part]?.get(server) ?: return false
        return clock() - at < rules.partCacheMs
    }

    /** Whether [part] was sent to any of [servers] within the last [withinMs]. */
    fun wasPrefilled(part: PromptPartId, servers: Set<BackendServerId>, withinMs: Long): Boolean {
        val oldest = clock() - withinMs
        return locations[part]?.any { (server, at) -> at >= oldest && server in servers } ?: false
    }

    private fun record(part: PromptPartId, server: BackendServerId, at: TimeMs) {
        val servers = locations.getOrPut(part) { HashMap() }
        servers.merge(server, at, ::maxOf)
        if (locations.size > MAX_PARTS) locations.remove(locations.keys.first())
    }

    private fun removeExpired(now: TimeMs) {
        while (recentlySent.isNotEmpty() && now - recentlySent.first().first > SHARING_MS) recentlySent.removeFirst()
        while (recentlySent.size > MAX_SHARED_LOCATIONS) recentlySent.removeFirst()
    }

    private companion object {
        const val MAX_PARTS = 20_000

        // Spans three messages between hosts, so that one or two of them may be lost.
        const val SHARING_MS = 1_600L
        const val MAX_SHARED_LOCATIONS = 64
    }
}
