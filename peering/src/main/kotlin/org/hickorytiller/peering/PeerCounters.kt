/** Counts the results of messages and links. */
package org.hickorytiller.peering

/** Called with the peer and the reason each time a link ends, for metrics and the timeline. */
typealias OnLinkEnd = (remote: String, reason: String) -> Unit

/** Counters of one process by a short reason. Confined to the event loop. */
class PeerCounters(var onLinkEnd: OnLinkEnd = { _, _ -> }) {
    private val counts = HashMap<String, Long>()

    /** Adds one to the count of [reason]. */
    fun count(reason: String) {
        counts.merge(reason, 1, Long::plus)
    }

    /** Counts the end of a link to [remote]. */
    fun linkEnded(remote: String, reason: String) {
        count("link_$reason")
        onLinkEnd(remote, reason)
    }

    /** Returns how often [reason] was counted. */
    operator fun get(reason: String): Long = counts[reason] ?: 0

    /** Returns all counts by reason. */
    fun all(): Map<String, Long> = counts
}
