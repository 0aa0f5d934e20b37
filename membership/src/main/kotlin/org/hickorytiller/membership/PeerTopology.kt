/**
 * Who keeps a link to whom. Every router chooses [MembershipLimits.outgoingLinks] routers by rendezvous hashing, and is
 * chosen by about as many. A controller connects to the router of its host and to others up to its number of links,
 * and relays nothing, so that controllers do not double the links of the deployment.
 */
package org.hickorytiller.membership

import org.hickorytiller.peering.MemberId
import org.hickorytiller.peering.MemberRole

/** The links of all live members of a [MemberTable]. Confined to the event loop. */
class PeerTopology(private val limits: MembershipLimits) {
    private class Choice(val id: MemberId, val rank: Long)

    private class Candidate(val id: MemberId, val hash: Long)

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
        val live = table.liveMembers().mapTo(HashSet()) { it.id }
        remove(hashes.keys - live)
        add(live - hashes.keys)
        neighbours.clear()
    }

    /** The members that [id] connects to. */
    fun outboundPeers(id: MemberId): List<MemberId> = choices[id].orEmpty().map { it.id }

    /** The members that [id] has a link with in either direction; null if [id] is not live. */
    fun neighboursOf(id: MemberId): Set<MemberId>? {
        if (id !in hashes) return null
        return neighbours.getOrPut(id) { (outboundPeers(id) + choosing(id)).toSet() }
    }

    private fun remove(gone: Set<MemberId>) {
        if (gone.isEmpty()) return
        hashes -= gone
        choices -= gone
        val incomplete = choices.filterValues { chosen -> chosen.any { it.id in gone } }.keys
        val routers = candidates(hashes.keys)
        incomplete.forEach { choices[it] = best(it, emptyList(), routers) }
    }

    private fun add(newcomers: Set<MemberId>) {
        val established = choices.keys.toList()
        newcomers.forEach { hashes[it] = idHash(it) }
        val newRouters = candidates(newcomers)
        established.forEach { choices[it] = best(it, choices.getValue(it), newRouters) }
        val routers = candidates(hashes.keys)
        newcomers.forEach { choices[it] = best(it, emptyList(), routers) }
    }

    private fun candidates(ids: Set<MemberId>): List<Candidate> =
        ids.filter { it.role == MemberRole.ROUTER }.map { Candidate(it, hashes.getValue(it)) }

    /** The highest ranked of [present] and [candidates] for [chooser]. */
    private fun best(chooser: MemberId, present: List<Choice>, candidates: List<Candidate>): List<Choice> {
        val count = if (chooser.role == MemberRole.ROUTER) limits.outgoingLinks else limits.controllerLinks
        val hash = hashes.getValue(chooser)
        val best = ArrayList(present)
        for (candidate in candidates) {
            val rank = rank(hash, candidate.hash)
            if (best.size == count && best.last().rank >= rank && candidate.id.host != chooser.host) continue
            if (candidate.id == chooser) continue
            // The router of a controller's own host comes first.
            val preferred = if (candidate.id.host == chooser.host) Long.MAX_VALUE else rank
            best.add(best.count { it.rank >= preferred }, Choice(candidate.id, preferred))
            if (best.size > count) best.removeAt(best.lastIndex)
        }
        return best
    }

    private fun choosing(id: MemberId): Set<MemberId> =
        choices.filterValues { chosen -> chosen.any { it.id == id } }.keys
}
