/**
 * Decides which backend servers to start and stop. Servers are started once a higher demand has lasted a few seconds
 * and stopped only after minutes of low demand, so that orders do not flap. Regular servers carry the demand that must
 * survive an eviction; reclaimable servers carry the rest while they are on offer.
 */
package org.hickorytiller.orders

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.TimeMs
import kotlin.math.ceil

/** Plans orders from the running servers and the demand. Keeps the recent demand. Confined to the event loop. */
class OrderPlanner(private val settings: PlannerSettings) {
    private val histories = HashMap<PoolId, RequiredServersHistory>()
    private val startingSince = HashMap<BackendServerId, TimeMs>()
    private val evictionSeenAt = HashMap<FailureDomain, TimeMs>()

    /** Returns the plan for [input]. The time of the input must not decrease from call to call. */
    fun plan(input: PlannerInput): OrderPlan {
        observe(input)
        val starts = StartAllowance(settings.maxConcurrentStarts - loading(input))
        val drafts = input.policies.sortedWith(mostUrgentFirst(input)).map { draft(it, input, starts) }
        return OrderPlan(drafts.flatMap { it.orders }, drafts.map { it.plan() })
    }

    // A pool of a more urgent tier must not wait for the weight store behind a less urgent one.
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
            .forEach { evictionSeenAt[it.failureDomain] = input.now }
        evictionSeenAt.values.removeAll { input.now - it >= settings.evictionHoldMs }
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
        val target = target(policy, listed, counted.size + pending.sumOf { it.count }, input)
        draft.planTowards(target.servers, target.regular)
        draft.stopOverdue(overdue)
        return draft
    }

    private fun usableOffers(input: PlannerInput): List<Offer> = input.failureDomains
        .sortedBy { it.value }
        .flatMap { listOf(Offer(it, reclaimable = false), Offer(it, reclaimable = true)) }
        .filter { it !in input.unavailableOffers && !(it.reclaimable && it.failureDomain in evictionSeenAt) }

    private class Target(val servers: Int, val regular: Int)

    private fun target(policy: PoolPolicy, listed: List<BackendServer>, have: Int, input: PlannerInput): Target {
        val slots = listed.map { it.slots }.sorted().let { it.getOrNull(it.size / 2) } ?: settings.defaultSlots
        val demand = input.demand.filter { it.pool == policy.pool }
        val protectedDemand = demand.filter { it.tier <= settings.protectedTier }
        val protected = serversFor(protectedDemand.sumOf { it.busySlots }, slots)
        val base = serversFor(demand.sumOf { it.busySlots }, slots)
        val required = base + headroom(base - protected, input.failureDomains.size)
        val history = histories.getOrPut(policy.pool) { RequiredServersHistory() }
        history.add(input.now, required, protected, settings.idleHoldMs)
        val servers = history.stableTarget(have, input.now, settings).coerceIn(policy.minServers, policy.maxServers)
        return Target(servers, minOf(servers, history.highestProtected()))
    }

    private fun serversFor(busySlots: Double, slots: Int) =
        ceil(busySlots / (slots * settings.targetUtilisation)).toInt()

    // Reclaimable servers are spread evenly over the failure domains, so an eviction removes one share of them.
    private fun headroom(reclaimable: Int, domains: Int): Int {
        if (reclaimable <= 0 || domains == 0) return 0
        val largestLoss = ceil(reclaimable.toDouble() / domains)
        return ceil(largestLoss * settings.evictionHeadroom).toInt()
    }
}

/** The number of servers that may still start to load weights; shared by all pools of a plan. */
internal class StartAllowance(private var remaining: Int) {
    fun tryTake(): Boolean = (remaining > 0).also { if (it) remaining-- }
}

/** The recently required numbers of servers of one pool. */
internal class RequiredServersHistory {
    private class Sample(val at: TimeMs, val required: Int, val protected: Int)

    private val samples = ArrayDeque<Sample>()
    private var firstSampleAt: TimeMs? = null

    fun add(now: TimeMs, required: Int, protected: Int, retentionMs: Long) {
        if (firstSampleAt == null) firstSampleAt = now
        samples.addLast(Sample(now, required, protected))
        while (samples.size > 1 && now - samples[1].at >= retentionMs) samples.removeFirst()
    }

    /** Returns the highest protected number in the history, so that bursts do not start and stop regular servers. */
    fun highestProtected(): Int = samples.maxOf { it.protected }

    /** Returns the target number of servers: [have], unless more or fewer were required for the whole hold time. */
    fun stableTarget(have: Int, now: TimeMs, settings: PlannerSettings): Int {
        val start = firstSampleAt ?: return have
        val recent = samples.filter { now - it.at <= settings.scaleUpHoldMs }
        val minRequired = recent.minOf { it.required }
        if (minRequired > have && now - start >= settings.scaleUpHoldMs) return minRequired
        val maxRequired = samples.maxOf { it.required }
        return if (maxRequired < have && now - start >= settings.idleHoldMs) maxRequired else have
    }
}
