/** Plans the signals of one run. The plan depends on the seed alone. */
package org.hickorytiller.soak

import java.util.Random

internal enum class SignalKind {
    TERM,
    HUP,

    /** SIGTERM to the process that replaces the current one, while it starts. */
    TERM_AFTER_RESTART,
}

/**
 * @property atMs time since the start of the schedule
 * @property host index of the host
 * @property afterLaunchMs for [SignalKind.TERM_AFTER_RESTART], the time since the launch of the new process
 */
internal data class PlannedSignal(val atMs: Long, val host: Int, val kind: SignalKind, val afterLaunchMs: Long = 0)

/** @property endMs time since the start of the schedule at which all stops and restarts have ended */
internal data class Schedule(val signals: List<PlannedSignal>, val endMs: Long)

/** A pattern of signals, called an episode. */
internal enum class Episode { ONE_HOST, SEVERAL_HOSTS, ROLLING, TERM_TWICE, BESIDE_HUP, DURING_START }

/** Plans [episodes] patterns of signals for [hostCount] hosts. */
internal fun planSignals(seed: Long, hostCount: Int, episodes: Int): Schedule {
    val random = Random(seed)
    val patterns = ArrayDeque<Episode>()
    val signals = mutableListOf<PlannedSignal>()
    var startMs = 0L
    repeat(episodes) {
        // Shuffled rounds, so that each pattern occurs once in any six episodes.
        if (patterns.isEmpty()) patterns += Episode.entries.shuffled(random)
        val episode = planEpisode(patterns.removeFirst(), startMs, hostCount, random)
        signals += episode
        startMs = episode.maxOf { it.atMs } + EPISODE_MS + random.nextInt(EPISODE_SPREAD_MS)
    }
    return Schedule(signals.sortedBy { it.atMs }, startMs)
}

private fun planEpisode(episode: Episode, startMs: Long, hostCount: Int, random: Random): List<PlannedSignal> {
    val hosts = (0 until hostCount).shuffled(random)
    val first = PlannedSignal(startMs, hosts.first(), SignalKind.TERM)
    return when (episode) {
        Episode.ONE_HOST -> listOf(first)
        Episode.SEVERAL_HOSTS ->
            hosts.take(maxOf(2, hostCount - 1)).map {
                PlannedSignal(startMs + random.nextInt(SEVERAL_WITHIN_MS), it, SignalKind.TERM)
            }
        Episode.ROLLING -> rolling(hosts, startMs, random)
        Episode.TERM_TWICE -> listOf(first, first.copy(atMs = startMs + random.nextInt(SECOND_TERM_WITHIN_MS)))
        Episode.BESIDE_HUP ->
            listOf(
                first.copy(atMs = startMs + random.nextInt(HUP_WITHIN_MS)),
                PlannedSignal(startMs + random.nextInt(HUP_WITHIN_MS), first.host, SignalKind.HUP),
            )
        Episode.DURING_START ->
            hosts.take(maxOf(1, hostCount - 1)).flatMap {
                val term = PlannedSignal(startMs + random.nextInt(SEVERAL_WITHIN_MS), it, SignalKind.TERM)
                listOf(
                    term,
                    term.copy(kind = SignalKind.TERM_AFTER_RESTART, afterLaunchMs = random.nextInt(START_MS).toLong()),
                )
            }
    }
}

private fun rolling(hosts: List<Int>, startMs: Long, random: Random): List<PlannedSignal> {
    var atMs = startMs
    return hosts.map {
        PlannedSignal(atMs, it, SignalKind.TERM).also { atMs += ROLLING_GAP_MS + random.nextInt(ROLLING_SPREAD_MS) }
    }
}

/** Time for a stop, a restart and a second stop during the start. */
private const val EPISODE_MS = 12_000L
private const val EPISODE_SPREAD_MS = 4_000
private const val SEVERAL_WITHIN_MS = 1_000
private const val SECOND_TERM_WITHIN_MS = 6_000
private const val HUP_WITHIN_MS = 600
private const val ROLLING_GAP_MS = 1_000L
private const val ROLLING_SPREAD_MS = 1_000

/** The daemon listens and installs its handlers within 2 s of its launch, even on a busy machine. */
private const val START_MS = 2_000
