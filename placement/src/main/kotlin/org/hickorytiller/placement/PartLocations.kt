/**
 * Where parts of prompts were read last, over all hosts. Hosts tell each other where they sent what, since one host
 * alone sees a part too seldom to know. An engine drops the parts that were not used for longest, which is not told.
 */
package org.hickorytiller.placement

import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.Clock
import org.hickorytiller.core.TimeMs

/** A part that was sent to [server] [ageMs] before the message. */
data class PromptPartLocation(val part: PromptPartId, val server: BackendServerId, val ageMs: Long)

/** Locations of parts. Confined to the event loop. */
internal class PartLocations(private val clock: Clock, private val rules: PlacementRules) {
    private val locations = LinkedHashMap<PromptPartId, HashMap<BackendServerId, TimeMs>>()
    private val recent = ArrayDeque<Pair<TimeMs, PromptPartLocation>>()

    /** Records that this host sends the shared parts of [prompt] to [server]. */
    fun sent(prompt: Prompt, server: BackendServerId) {
        val now = clock()
        prompt.sharedParts.forEach { put(it.id, server, now) }
        prompt.sharedPart?.let { recent.addLast(now to PromptPartLocation(it, server, ageMs = 0)) }
        dropOld(now)
    }

    /** Takes what a peer has told. */
    fun applyPeerLocations(told: List<PromptPartLocation>) {
        val now = clock()
        told.forEach { put(it.part, it.server, now - it.ageMs) }
    }

    /** What this host has sent within the last moments, for its peers. */
    fun recentLocations(): List<PromptPartLocation> {
        val now = clock()
        dropOld(now)
        return recent.map { (at, location) -> location.copy(ageMs = now - at) }
    }

    /** Forgets [server], which has lost its memory. */
    fun forget(server: BackendServerId) {
        locations.values.forEach { it -= server }
    }

    /** Whether [server] has probably kept [part]. */
    fun isKept(part: PromptPartId, server: BackendServerId): Boolean {
        val at = locations[part]?.get(server) ?: return false
        return clock() - at < rules.partKeptMs
    }

    /** Whether any server has read [part] within the last [withinMs]. */
    fun wasRead(part: PromptPartId, withinMs: Long): Boolean {
        val oldest = clock() - withinMs
        return locations[part]?.values?.any { it >= oldest } ?: false
    }

    private fun put(part: PromptPartId, server: BackendServerId, at: TimeMs) {
        val servers = locations.getOrPut(part) { HashMap() }
        servers.merge(server, at, ::maxOf)
        if (locations.size > MAX_PARTS) locations.remove(locations.keys.first())
    }

    private fun dropOld(now: TimeMs) {
        while (recent.isNotEmpty() && now - recent.first().first > SHARED_MS) recent.removeFirst()
        while (recent.size > MAX_SHARED) recent.removeFirst()
    }

    private companion object {
        const val MAX_PARTS = 20_000

        // Three messages of the mesh, so that the loss of one or two does no harm.
        const val SHARED_MS = 1_600L
        const val MAX_SHARED = 64
    }
}
