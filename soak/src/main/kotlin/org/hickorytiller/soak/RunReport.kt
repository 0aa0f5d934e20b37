/** What one run showed: counts, and each broken case with what the caller, the servers and the logs say of it. */
package org.hickorytiller.soak

import org.hickorytiller.core.TimeMs
import org.hickorytiller.core.monotonicClock
import org.hickorytiller.core.wallTimeMs
import org.hickorytiller.http.HttpStatus
import org.hickorytiller.standins.ServerWork
import java.nio.file.Files

internal class RunReport(
    private val seed: Long,
    private val records: List<RequestRecord>,
    private val work: Map<String, List<ServerWork>>,
    private val hosts: List<HostProcess>,
) {
    // Difference between the wall clock of the daemons' logs and the clock of the records.
    private val wallOffsetMs = wallTimeMs() - monotonicClock().value
    private val verdicts = records.associateWith { lossVerdict(it, termAt(it), workOf(it)) }
    private val lost = verdicts.filterValues { it == LossVerdict.LOST }.keys
    private val ranTwice = records.filter { !it.plan.kind.mayRepeat && runCount(it) > 1 }
    private val refusedButRun = records.filter { !it.plan.kind.mayRepeat && it.isRefused && runCount(it) > 0 }
    private val ownEnds =
        hosts.flatMap { host ->
            host.runs.filter { it.endedAt != null && it.termAt == null }.map { host to it }
        }

    /** Whether a rule was broken. */
    val isBroken: Boolean =
        lost.isNotEmpty() || ranTwice.isNotEmpty() || refusedButRun.isNotEmpty() || ownEnds.isNotEmpty()

    /** Returns the counts in one line. */
    fun summary(): String {
        val byVerdict = verdicts.values.groupingBy { it }.eachCount()
        val states = lost.groupingBy { cutState(it, workOf(it)) }.eachCount()
        val others = LossVerdict.entries.filter { it != LossVerdict.COMPLETE && it != LossVerdict.LOST }
        return "seed=$seed requests=${records.size} complete=${byVerdict[LossVerdict.COMPLETE] ?: 0} " +
            "refused=${records.count { it.isRefused }} " +
            others.joinToString(" ") { "${it.name.lowercase()}=${byVerdict[it] ?: 0}" } +
            " lost=${lost.size} $states twice=${ranTwice.size} refusedButRun=${refusedButRun.size} " +
            "ownEnds=${ownEnds.size} stops=${hosts.sumOf { host -> host.runs.count { it.termAt != null } }} " +
            "kills=${hosts.sumOf { host -> host.runs.count { it.wasKilled } }}" +
            (if (isBroken) " logs=${hosts.first().logFile.parent}" else "")
    }

    /** Returns the broken cases in full. */
    fun brokenCases(): List<String> =
        lost.sortedBy { it.endedAt }.map { describe("LOST ${cutState(it, workOf(it))}", it) } +
            ranTwice.map { describe("TWICE", it) } +
            refusedButRun.map { describe("REFUSED", it) } +
            ownEnds.map { (host, run) ->
                "process of host ${host.index} ended without a signal, status ${run.process.exitValue()}; " +
                    "log ${host.logFile}"
            }

    private fun describe(rule: String, request: RequestRecord): String {
        val host = hosts[request.host]
        val run = host.runAt(request.firstByteAt)
        val zero = run?.termAt ?: request.firstByteAt
        val plan = request.plan
        val caller =
            "$rule id=${request.id} kind=${plan.kind} host=${request.host} deadline=${plan.deadlineMs} ms" +
                (if (plan.isChunked) " chunked" else "") + " bodyPause=${plan.bodyPauseMs} ms; ms from " +
                (if (run?.termAt == null) "the first byte" else "the SIGTERM") +
                ": sent ${request.firstByteAt - zero}..${request.lastByteAt?.let { it - zero }} " +
                "end ${request.endedAt - zero} ${request.end} status=${request.status} " +
                "bytes=${request.receivedBytes} event=${request.lastEvent}/${plan.events}; " +
                "process ended ${run?.endedAt?.let { it - zero }} killed=${run?.wasKilled}"
        val servers = workOf(request).map { describe(it, zero) }.ifEmpty { listOf("no server got it") }
        return (listOf(caller) + servers + logLines(host, request, run, zero)).joinToString("\n    ")
    }

    private fun describe(work: ServerWork, zero: TimeMs): String =
        "server ${work.server}: arrived ${work.arrivedAt - zero} started ${work.startedAt?.let { it - zero }} " +
            "ended ${work.endedAt?.let { it - zero }} ${work.end}"

    /** The lines of the process that served [request], with their times from [zero] on. */
    private fun logLines(host: HostProcess, request: RequestRecord, run: ProcessRun?, zero: TimeMs): List<String> {
        val named = Regex("id=${Regex.escape(request.id.value)}\\b")
        val times = run?.let { it.launchedAt..(it.endedAt ?: TimeMs(Long.MAX_VALUE)) } ?: return emptyList()
        return Files.readAllLines(host.logFile).mapNotNull { line ->
            val wallMs = WALL_TIME.find(line)?.groupValues?.get(1)?.toLong() ?: return@mapNotNull null
            val at = TimeMs(wallMs - wallOffsetMs)
            val isWanted = named.containsMatchIn(line) || STOP_EVENTS.any { it in line }
            if (isWanted && at in times) "log of host ${host.index}: ${at - zero} $line" else null
        }
    }

    private fun workOf(request: RequestRecord): List<ServerWork> = work[request.id.value].orEmpty()

    private fun runCount(request: RequestRecord): Int = workOf(request).count { it.startedAt != null }

    private fun termAt(request: RequestRecord): TimeMs? = hosts[request.host].runAt(request.firstByteAt)?.termAt

    private val RequestRecord.isRefused: Boolean
        get() = status == HttpStatus.SERVICE_UNAVAILABLE || status == TOO_MANY_REQUESTS

    private companion object {
        const val TOO_MANY_REQUESTS = 429
        val WALL_TIME = Regex("wallMs=(\\d+)")
        val STOP_EVENTS = listOf("event=stop_begun", "event=stop_ended", "event=cut_off")
    }
}
