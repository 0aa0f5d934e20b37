/**
 * Who keeps a link to whom. Every router chooses [MembershipLimits.outgoingLinks] routers by rendezvous hashing, and is
 * chosen by about as many. A controller connects to the router of its host and to others up to its number of links,
 * and relays nothing, so that controllers do not double the links of the deployment.
 */
package org.hickorytiller.membership

import org.hickorytiller.peering.MemberId
import org.hickorytiller.peering.MemberRole
import java.util.PriorityQueue

/** The links of all live members of a [MemberTable]. Confined to the event loop. */
class Neighbourhood(private val limits: MembershipLimits) {
    private var epoch = -1L
    private var outgoing = emptyMap<MemberId, List<MemberId>>()
    private var neighbours = emptyMap<MemberId, Set<MemberId>>()

    /** Computes the links anew if the set of live members has changed: about 4 ms at 360 routers and controllers. */
    fun refresh(table: MemberTable) {
        if (epoch == table.liveEpoch) return
        epoch = table.liveEpoch
        val live = table.live().map { it.id }
        val routers = live.filter { it.role == MemberRole.ROUTER }.map { Candidate(it, idHash(it)) }
        outgoing = live.associateWith { choose(it, routers) }
        neighbours = bothDirections(outgoing)
    }

    /** The members that [id] connects to. */
    fun chosenBy(id: MemberId): List<MemberId> = outgoing[id] ?: emptyList()

    /** The members that [id] has a link with in either direction; null if [id] is not live. */
    fun of(id: MemberId): Set<MemberId>? = neighbours[id]

    private class Candidate(val id: MemberId, val hash: Long)

    private class Ranked(val id: MemberId, val rank: Long)

    private fun choose(chooser: MemberId, routers: List<Candidate>): List<MemberId> {
        if (chooser.role == MemberRole.ROUTER) return highest(chooser, routers, limits.outgoingLinks)
        val local = routers.filter { it.id.host == chooser.host }.map { it.id }
        return (local + highest(chooser, routers, limits.controllerLinks)).distinct().take(limits.controllerLinks)
    }

    private fun highest(chooser: MemberId, routers: List<Candidate>, count: Int): List<MemberId> {
        val hash = idHash(chooser)
        val best = PriorityQueue<Ranked>(count + 1, compareBy { it.rank })
        for (candidate in routers) {
            if (candidate.id == chooser) continue
            val rank = rank(hash, candidate.hash)
            if (best.size == count && best.peek().rank >= rank) continue
            best += Ranked(candidate.id, rank)
            if (best.size > count) best.poll()
        }
        return best.sortedByDescending { it.rank }.map { it.id }
    }

    private fun bothDirections(outgoing: Map<MemberId, List<MemberId>>): Map<MemberId, Set<MemberId>> {
        val both = outgoing.mapValues { (_, chosen) -> chosen.toMutableSet() }
        outgoing.forEach { (id, chosen) -> chosen.forEach { both[it]?.add(id) } }
        return both
    }
}
