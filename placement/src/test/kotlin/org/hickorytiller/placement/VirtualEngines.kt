/**
 * Model engines in virtual time: one step generates a token for each running request and prefills up to a chunk of the
 * oldest prompts, so a long prompt stretches the steps of every stream on the engine. Several hosts place requests on
 * them; each host knows the load of the others as of their latest exchange.
 */
package org.hickorytiller.placement

import org.hickorytiller.core.BackendServer
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.BackendServerState
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.TimeMs
import java.net.InetSocketAddress
import kotlin.random.Random

/** Speed of an engine; the members are the figures of its data sheet. */
internal class EngineModel(
    val prefillTokensPerMs: Double,
    val stepMs: Double,
    val chunkTokens: Int = 4_096,
    val tokensPerEvent: Int = 4,
    val slots: Int = 128,
)

/** One kind of request. [sharedParts] is the number of different shared parts, each [sharedTokens] long. */
internal class RequestKind(
    val perSecond: Double,
    val sharedTokens: Int,
    val sharedParts: Int,
    val ownTokens: IntRange,
    val events: Int,
    val targetMs: Long,
    val gapTargetMs: Long,
)

/** Outcome of all requests of a kind. */
internal class KindResult(var requests: Int = 0, var late: Int = 0) {
    val lateShare: Double get() = late.toDouble() / requests
}

internal class VirtualEngines(
    private val model: EngineModel,
    engines: Int,
    private val hosts: Int,
    private val rules: PlacementRules = PlacementRules(),
    seed: Int = 20261204,
) {
    private val random = Random(seed)
    private val pool = PoolId("engines")
    private val domain = FailureDomain("a")
    private val engines = List(engines) { Engine(BackendServerId("engine-$it")) }
    private val placements = List(hosts) { newPlacement() }
    private var nowMs = 0.0

    private fun newPlacement() = Placement({ TimeMs(nowMs.toLong()) }, rules).apply {
        replace(engines.map { server(it.id) })
    }

    private fun server(id: BackendServerId) = BackendServer(id, pool, InetSocketAddress("127.0.0.1", 1), domain, BackendServerState.RUNNING, model.slots, reclaimable = false, startedMs = 1)

    /** Plays [kinds] for [forMs] and returns their outcomes; requests of the first [warmUpMs] are not counted. */
    fun play(kinds: List<RequestKind>, forMs: Long, warmUpMs: Long): Map<RequestKind, KindResult> {
        val results = kinds.associateWith { KindResult() }
        val nextAtMs = kinds.associateWith { nextArrivalMs(it) }.toMutableMap()
        var nextExchangeMs = 0.0
        while (nowMs < forMs) {
            if (nowMs >= nextExchangeMs) {
                exchange()
                nextExchangeMs = nowMs + EXCHANGE_MS
            }
            for (kind in kinds) {
                while (nextAtMs.getValue(kind) <= nowMs) {
                    place(kind, results.getValue(kind).takeIf { nowMs >= warmUpMs })
                    nextAtMs[kind] = nextAtMs.getValue(kind) + nextArrivalMs(kind)
                }
            }
            engines.forEach { it.runUntil(nowMs) }
            nowMs += TICK_MS
        }
        return results
    }

    private fun nextArrivalMs(kind: RequestKind) = -Math.log(1 - random.nextDouble()) * 1_000 / kind.perSecond

    private fun exchange() {
        val loads = placements.map { it.localLoad() }
        placements.forEachIndexed { host, placement ->
            val sums = HashMap<BackendServerId, ServerLoad>()
            loads.filterIndexed { index, _ -> index != host }.forEach { load ->
                load.forEach { (id, one) ->
                    sums.merge(id, one) { a, b -> ServerLoad(a.requests + b.requests, a.pendingPrefillTokens + b.pendingPrefillTokens) }
                }
            }
            placement.replacePeerLoad(sums)
            placements.filterIndexed { index, _ -> index != host }.forEach { placement.applyPeerPartLocations(it.recentPartLocations()) }
        }
    }

    private fun place(kind: RequestKind, result: KindResult?) {
        val shared = random.nextInt(kind.sharedParts) + kind.sharedTokens * 1_000L
        val own = random.nextInt(kind.ownTokens.first, kind.ownTokens.last + 1)
        val parts = listOf(PromptPart(PromptPartId(shared), kind.sharedTokens), PromptPart(PromptPartId(random.nextLong()), own))
        val prompt = Prompt(null, parts, kind.sharedTokens + own, kind.events * model.tokensPerEvent)
        val placement = placements.random(random)
        val request = PlacementRequest(pool, prompt, domain, eventGapTargetMs = kind.gapTargetMs)
        val id = placement.choose(request)!!.id
        val tokens = placement.started(id, request)
        result?.let { it.requests++ }
        engines.first { it.id == id }.accept(Run(kind, shared, own, nowMs, placement, tokens, result))
    }

    private inner class Run(
        val kind: RequestKind,
        val shared: Long,
        var leftTokens: Int,
        val arrivedMs: Double,
        val placement: Placement,
        val expectedTokens: Int,
        val result: KindResult?,
    ) {
        var generated = 0
        var lastEventMs: Double? = null
        var isLate = false
    }

    private inner class Engine(val id: BackendServerId) {
        private val waiting = ArrayDeque<Run>()
        private val running = mutableListOf<Run>()
        private val cached = HashSet<Long>()
        private var timeMs = 0.0

        fun accept(run: Run) {
            timeMs = maxOf(timeMs, nowMs)
            if (run.shared !in cached) run.leftTokens += run.kind.sharedTokens
            waiting.addLast(run)
        }

        fun runUntil(untilMs: Double) {
            while (timeMs < untilMs && (waiting.isNotEmpty() || running.isNotEmpty())) step()
        }

        private fun step() {
            var chunk = 0
            val prefilled = mutableListOf<Run>()
            while (waiting.isNotEmpty() && chunk < model.chunkTokens && running.size + prefilled.size < model.slots) {
                val first = waiting.first()
                val tokens = minOf(first.leftTokens, model.chunkTokens - chunk)
                chunk += tokens
                first.leftTokens -= tokens
                if (first.leftTokens > 0) break
                prefilled += waiting.removeFirst()
                cached += first.shared
            }
            timeMs += model.stepMs + chunk / model.prefillTokensPerMs
            prefilled.forEach { it.placement.prefillEnded(id, it.expectedTokens) }
            running += prefilled
            running.forEach(::generate)
            running.filter { it.generated >= it.kind.events * model.tokensPerEvent }.forEach(::end)
        }

        private fun generate(run: Run) {
            run.generated++
            if (run.generated != 1 && run.generated % model.tokensPerEvent != 0) return
            val last = run.lastEventMs
            val limitMs = if (last == null) run.kind.targetMs else run.kind.gapTargetMs
            if (timeMs - (last ?: run.arrivedMs) > limitMs) run.isLate = true
            run.lastEventMs = timeMs
        }

        private fun end(run: Run) {
            running -= run
            run.placement.ended(id)
            if (run.isLate) run.result?.let { it.late++ }
        }
    }

    private companion object {
        const val TICK_MS = 2.0
        const val EXCHANGE_MS = 500.0
    }
}
