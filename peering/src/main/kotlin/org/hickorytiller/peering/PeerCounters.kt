/** Counts the results of messages and links. */
package org.hickorytiller.peering

/** Called with the peer and the reason each time a link ends, for metrics and the timeline. */
typealias OnLinkEnd = (remote: String, reason: String) -> Unit

/** Counters of one process by event. Confined to the event loop. */
class PeerCounters(var onLinkEnd: OnLinkEnd = { _, _ -> }) {
    private val counts = HashMap<String, Long>()

    /** Adds one to the count of [event]. */
    fun count(event: String) {
        counts.merge(event, 1, Long::plus)
    }

    /** Counts the end of a link to [remote]. */
    fun linkEnded(remote: String, reason: String) {
        count("link_$reason")
        onLinkEnd(remote, reason)
    }

    /** Returns how often [event] was counted. */
    operator fun get(event: String): Long = counts[event] ?: 0

    /** Returns all counts by event. */
    fun all(): Map<String, Long> = counts
}
