/**
 * Decides which members have a link with each other. Every router chooses [MembershipLimits.outboundLinks] routers by
 * rendezvous hashing, and is chosen by about as many. A controller connects to the router of its host and to others up
 * to [MembershipLimits.controllerLinks], which is small so that controllers do not double the number of links. A
 * controller relays nothing.
 */
package org.hickorytiller.membership

import org.hickorytiller.peering.MemberId
import org.hickorytiller.peering.MemberRole

/** The links of all live members of a [MemberTable]. Confined to the event loop. */
class PeerTopology(private val limits: MembershipLimits) {
    private class Choice(val id: MemberId, val rank: Long)

    private class Candidate(val id: MemberId, val hash: Long)

    private var lastLiveEpoch = -1L
    private val hashes = HashMap<MemberId, Long>()
    private val choices = HashMap<MemberId, List<Choice>>()
    private val neighbours = HashMap<MemberId, Set<MemberId>>()

    /**
     * Updates the links to the live members of [table]. A joined member is compared with the lowest-ranked choice of
     * each member; choices are computed from scratch only where a chosen member is no longer live, so the cost of a
     * change is linear in the number of members.
     */
    fun refresh(table: MemberTable) {
        if (lastLiveEpoch == table.liveEpoch) return
        lastLiveEpoch = table.liveEpoch
        val live = table.liveMembers().mapTo(HashSet()) { it.id }
        remove(hashes.keys - live)
        add(live - hashes.keys)
        neighbours.clear()
    }

    /** Returns the members that [id] connects to. */
    fun outboundPeers(id: MemberId): List<MemberId> = choices[id].orEmpty().map { it.id }

    /** Returns the members that [id] has a link with in either direction, or null if [id] is not live. */
    fun neighboursOf(id: MemberId): Set<MemberId>? {
        if (id !in hashes) return null
        return neighbours.getOrPut(id) { (outboundPeers(id) + inboundPeers(id)).toSet() }
    }

    private fun remove(removed: Set<MemberId>) {
        if (removed.isEmpty()) return
        hashes -= removed
        choices -= removed
        val incomplete = choices.filterValues { chosen -> chosen.any { it.id in removed } }.keys
        val routers = candidates(hashes.keys)
        incomplete.forEach { choices[it] = highestRanked(it, emptyList(), routers) }
    }

    private fun add(joined: Set<MemberId>) {
        val existing = choices.keys.toList()
        joined.forEach { hashes[it] = idHash(it) }
        val newRouters = candidates(joined)
        existing.forEach { choices[it] = highestRanked(it, choices.getValue(it), newRouters) }
        val routers = candidates(hashes.keys)
        joined.forEach { choices[it] = highestRanked(it, emptyList(), routers) }
    }

    private fun candidates(ids: Set<MemberId>): List<Candidate> =
        ids.filter { it.role == MemberRole.ROUTER }.map { Candidate(it, hashes.getValue(it)) }

    /** Returns the highest ranked of [currentChoices] and [candidates] for [chooser]. */
    private fun highestRanked(
        chooser: MemberId,
        currentChoices: List<Choice>,
        candidates: List<Candidate>,
    ): List<Choice> {
        val count = if (chooser.role == MemberRole.ROUTER) limits.outboundLinks else limits.controllerLinks
        val hash = hashes.getValue(chooser)
        val ranked = ArrayList(currentChoices)
        for (candidate in candidates) {
            val rank = rank(hash, candidate.hash)
            if (ranked.size == count && ranked.last().rank >= rank && candidate.id.host != chooser.host) continue
            if (candidate.id == chooser) continue
            // A controller prefers the router of its host.
            val effectiveRank = if (candidate.id.host == chooser.host) Long.MAX_VALUE else rank
            ranked.add(ranked.count { it.rank >= effectiveRank }, Choice(candidate.id, effectiveRank))
            if (ranked.size > count) ranked.removeAt(ranked.lastIndex)
        }
        return ranked
    }

    private fun inboundPeers(id: MemberId): Set<MemberId> =
        choices.filterValues { chosen -> chosen.any { it.id == id } }.keys
}
