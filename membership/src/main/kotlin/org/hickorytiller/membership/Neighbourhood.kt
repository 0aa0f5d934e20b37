/**
 * Who keeps a link to whom. Every router chooses [MembershipLimits.outgoingLinks] routers by rendezvous hashing, and is
 * chosen by about as many. A controller connects to the router of its host and to others up to its number of links,
 * and relays nothing, so that controllers do not double the links of the deployment.
 */
package org.hickorytiller.membership

import org.hickorytiller.peering.MemberId
import org.hickorytiller.peering.MemberRole

/** The links of all live members of a [MemberTable]. Confined to the event loop. */
class Neighbourhood(private val limits: MembershipLimits) {
    private class Choice(val id: MemberId, val rank: Long)

    private var epoch = -1L
    private val hashes = HashMap<MemberId, Long>()
    private val choices = HashMap<MemberId, List<Choice>>()
    private val neighbours = HashMap<MemberId, Set<MemberId>>()

    /**
     * Brings the links up to date with [table]. A newcomer is compared with the last choice of each member; a choice is
     * made anew only where a chosen member is gone, so a change costs in proportion to the number of members.
     */
    fun refresh(table: MemberTable) {
        if (epoch == table.liveEpoch) return
        epoch = table.liveEpoch
        val live = table.live().mapTo(HashSet()) { it.id }
        remove(hashes.keys - live)
        add(live - hashes.keys)
        neighbours.clear()
    }

    /** The members that [id] connects to. */
    fun chosenBy(id: MemberId): List<MemberId> = choices[id].orEmpty().map { it.id }

    /** The members that [id] has a link with in either direction; null if [id] is not live. */
    fun of(id: MemberId): Set<MemberId>? {
        if (id !in hashes) return null
        return neighbours.getOrPut(id) { (chosenBy(id) + choosing(id)).toSet() }
    }

    private fun remove(gone: Set<MemberId>) {
        if (gone.isEmpty()) return
        hashes -= gone
        choices -= gone
        val incomplete = choices.filterValues { chosen -> chosen.any { it.id in gone } }.keys
        incomplete.forEach { choices[it] = best(it, emptyList(), hashes.keys) }
    }

    private fun add(newcomers: Set<MemberId>) {
        val established = choices.keys.toList()
        newcomers.forEach { hashes[it] = idHash(it) }
        established.forEach { choices[it] = best(it, choices.getValue(it), newcomers) }
        newcomers.forEach { choices[it] = best(it, emptyList(), hashes.keys) }
    }

    /** The highest ranked of [present] and [candidates] for [chooser]. */
    private fun best(chooser: MemberId, present: List<Choice>, candidates: Set<MemberId>): List<Choice> {
        val count = if (chooser.role == MemberRole.ROUTER) limits.outgoingLinks else limits.controllerLinks
        val best = ArrayList(present)
        for (candidate in candidates) {
            if (candidate.role != MemberRole.ROUTER || candidate == chooser) continue
            val rank = rankFor(chooser, candidate)
            if (best.size == count && best.last().rank >= rank) continue
            best.add(best.count { it.rank >= rank }, Choice(candidate, rank))
            if (best.size > count) best.removeAt(best.lastIndex)
        }
        return best
    }

    // The router of a controller's own host comes first.
    private fun rankFor(chooser: MemberId, candidate: MemberId): Long {
        if (candidate.host == chooser.host) return Long.MAX_VALUE
        return rank(hashes.getValue(chooser), hashes.getValue(candidate))
    }

    private fun choosing(id: MemberId): Set<MemberId> =
        choices.filterValues { chosen -> chosen.any { it.id == id } }.keys
}
