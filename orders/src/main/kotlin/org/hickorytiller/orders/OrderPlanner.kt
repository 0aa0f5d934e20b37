/**
 * Decides which backend servers to start and stop. More servers are ordered once the demand has lasted a few seconds,
 * fewer only once it has been low for minutes, so that orders do not flap. Regular servers carry the demand that must
 * survive an eviction, reclaimable ones the rest as long as they are on offer.
 */
package org.hickorytiller.orders

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.TimeMs
import kotlin.math.ceil

/** Plans orders from what runs and what is wanted; keeps what was wanted lately. Confined to the event loop. */
class OrderPlanner(private val settings: PlannerSettings) {
    private val histories = HashMap<PoolId, WantedHistory>()
    private val startingSince = HashMap<BackendServerId, TimeMs>()
    private val evictedAt = HashMap<FailureDomain, TimeMs>()

    /** The plan for [input]. Calls have to be in the order of time. */
    fun plan(input: PlannerInput): OrderPlan {
        observe(input)
        val starts = StartAllowance(settings.maxConcurrentStarts - loading(input))
        val drafts = input.policies.sortedWith(mostUrgentFirst(input)).map { draft(it, input, starts) }
        return OrderPlan(drafts.flatMap { it.orders }, drafts.map { it.plan() })
    }

    // A higher tier must not wait for the weight store behind a lower one.
    private fun mostUrgentFirst(input: PlannerInput): Comparator<PoolPolicy> {
        val tiers = input.demand.filter { it.busySlots > 0 }.groupBy { it.pool }
        return compareBy({ policy -> tiers[policy.pool]?.minOf { it.tier.value } ?: Int.MAX_VALUE }, { it.pool.value })
    }

    private fun observe(input: PlannerInput) {
        val starting = input.servers.map { it.server }.filter { it.state == BackendServerState.STARTING }
        startingSince.keys.retainAll(starting.map { it.id }.toSet())
        starting.forEach { startingSince.putIfAbsent(it.id, input.now) }
        input.servers
            .map { it.server }
            .filter { it.state == BackendServerState.LEAVING && it.reclaimable }
            .forEach { evictedAt[it.failureDomain] = input.now }
        evictedAt.values.removeAll { input.now - it >= settings.evictionHoldMs }
        histories.keys.retainAll(input.policies.map { it.pool }.toSet())
    }

    private fun loading(input: PlannerInput): Int =
        startingSince.count { !isOverdue(it.value, input.now) } + pendingStarts(input).sumOf { it.intent.count }

    private fun pendingStarts(input: PlannerInput): List<OrderLedgerEntry> {
        val listed = input.servers.mapNotNull { it.orderId }.toSet()
        return input.openIntents.filter {
            it.intent.action == OrderAction.START && OrderId(it.intent.orderId) !in listed
        }
    }

    private fun isOverdue(since: TimeMs, now: TimeMs) = now - since >= settings.startTimeoutMs

    private fun draft(policy: PoolPolicy, input: PlannerInput, starts: StartAllowance): PoolDraft {
        val stopping =
            input.openIntents.filter { it.intent.action == OrderAction.STOP }.map { it.intent.backendServer }.toSet()
        val listed = input.servers.map { it.server }.filter { it.pool == policy.pool }
        val staying = listed.filter { it.state != BackendServerState.LEAVING && it.id.value !in stopping }
        val (overdue, counted) =
            staying.partition { server -> startingSince[server.id]?.let { isOverdue(it, input.now) } ?: false }
        val pending = pendingStarts(input).map { it.intent }.filter { it.pool == policy.pool.value }
        val draft = PoolDraft(policy, counted, pending, starts, usableOffers(input))
        val needs = needs(policy, listed, counted.size + pending.sumOf { it.count }, input)
        draft.reach(needs.servers, needs.regular)
        draft.giveUp(overdue)
        return draft
    }

    private fun usableOffers(input: PlannerInput): List<Offer> = input.failureDomains
        .sortedBy { it.value }
        .flatMap { listOf(Offer(it, reclaimable = false), Offer(it, reclaimable = true)) }
        .filter { it !in input.unavailableOffers && !(it.reclaimable && it.failureDomain in evictedAt) }

    private class Needs(val servers: Int, val regular: Int)

    private fun needs(policy: PoolPolicy, listed: List<BackendServer>, have: Int, input: PlannerInput): Needs {
        val slots = listed.map { it.slots }.sorted().let { it.getOrNull(it.size / 2) } ?: settings.defaultSlots
        val demand = input.demand.filter { it.pool == policy.pool }
        val protectedDemand = demand.filter { it.tier <= settings.protectedTier }
        val protected = serversFor(protectedDemand.sumOf { it.busySlots }, slots)
        val base = serversFor(demand.sumOf { it.busySlots }, slots)
        val now = base + headroom(base - protected, input.failureDomains.size)
        val history = histories.getOrPut(policy.pool) { WantedHistory() }
        history.add(input.now, now, protected, settings.idleHoldMs)
        val steady = history.steady(have, input.now, settings).coerceIn(policy.minServers, policy.maxServers)
        return Needs(steady, minOf(steady, history.highestProtected()))
    }

    private fun serversFor(busySlots: Double, slots: Int) =
        ceil(busySlots / (slots * settings.targetUtilisation)).toInt()

    // Reclaimable servers are spread evenly, so an eviction takes one share of them.
    private fun headroom(reclaimable: Int, domains: Int): Int {
        if (reclaimable <= 0 || domains == 0) return 0
        val largestLoss = ceil(reclaimable.toDouble() / domains)
        return ceil(largestLoss * settings.evictionHeadroom).toInt()
    }
}

/** How many servers may still begin to load weights; shared by all pools of a plan. */
internal class StartAllowance(private var left: Int) {
    fun take(): Boolean = (left > 0).also { if (it) left-- }
}

/** What was wanted of one pool lately. */
internal class WantedHistory {
    private class Sample(val at: TimeMs, val wanted: Int, val protected: Int)

    private val samples = ArrayDeque<Sample>()
    private var since: TimeMs? = null

    fun add(now: TimeMs, wanted: Int, protected: Int, keepMs: Long) {
        if (since == null) since = now
        samples.addLast(Sample(now, wanted, protected))
        while (samples.size > 1 && now - samples[1].at >= keepMs) samples.removeFirst()
    }

    /** The highest protected demand within the history, so that regular servers do not come and go with each burst. */
    fun highestProtected(): Int = samples.maxOf { it.protected }

    /** The number of servers to have: [have], unless more or fewer were wanted for long enough. */
    fun steady(have: Int, now: TimeMs, settings: PlannerSettings): Int {
        val start = since ?: return have
        val lately = samples.filter { now - it.at <= settings.scaleUpHoldMs }
        val least = lately.minOf { it.wanted }
        if (least > have && now - start >= settings.scaleUpHoldMs) return least
        val most = samples.maxOf { it.wanted }
        return if (most < have && now - start >= settings.idleHoldMs) most else have
    }
}
