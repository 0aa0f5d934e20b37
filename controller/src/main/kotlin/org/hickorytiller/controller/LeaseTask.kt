/**
 * Follows the lease stream once for all duties and carries out what the candidate of each duty decides. Every wait ends
 * with a record of the stream or at the time that the decision gave.
 */
package org.hickorytiller.controller

import arrow.core.Either
import arrow.core.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.collectLatest
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.hickorytiller.core.Clock
import org.hickorytiller.core.HostId
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.RecordFault
import org.hickorytiller.core.decodeRecord
import org.hickorytiller.core.json
import org.hickorytiller.leases.ClaimId
import org.hickorytiller.leases.Duty
import org.hickorytiller.leases.HeldLease
import org.hickorytiller.leases.LEASE_SCHEMA
import org.hickorytiller.leases.LEASE_STREAM
import org.hickorytiller.leases.LeaseAction
import org.hickorytiller.leases.LeaseCandidate
import org.hickorytiller.leases.LeaseRecord
import org.hickorytiller.leases.LeaseTable
import org.hickorytiller.leases.LeaseTiming
import org.hickorytiller.platform.AppendToLog
import org.hickorytiller.platform.LogFailure
import org.hickorytiller.platform.LogPage
import org.hickorytiller.platform.LogRecord
import org.hickorytiller.platform.ReadLog
import org.hickorytiller.platform.followStream
import java.nio.ByteBuffer
import java.security.MessageDigest
import java.util.UUID

/** What a process does while it holds the lease of a duty; it is cancelled when the lease ends. */
internal typealias DutyWork = suspend (LeaseHandle) -> Unit

/** A lease as the work of its duty sees it. */
internal class LeaseHandle(val lease: HeldLease, private val candidate: LeaseCandidate, private val clock: Clock) {
    /** Offset of the claim, which every order carries. */
    val fencingToken: LogOffset get() = lease.fencingToken

    /** Whether this very lease is held for at least [remainingMs] more. */
    fun holds(remainingMs: Long): Boolean {
        val now = clock()
        return candidate.heldAt(now)?.claimId == lease.claimId && candidate.holds(now, remainingMs)
    }
}

/** Candidate for the leases of all duties of a controller. Confined to the event loop. */
internal class LeaseTask(
    private val host: HostId,
    private val timing: LeaseTiming,
    private val clock: Clock,
    private val append: AppendToLog,
    private val read: ReadLog,
    private val newClaimId: () -> ClaimId = { ClaimId(UUID.randomUUID().toString()) },
    private val onChange: (Duty, HeldLease?) -> Unit = { _, _ -> },
) {
    private class Candidate(val holder: LeaseCandidate) {
        val changed = Channel<Unit>(Channel.CONFLATED)
        val held = MutableStateFlow<HeldLease?>(null)
        val stop = CompletableDeferred<Unit>()
        val workEnded = CompletableDeferred<Unit>()
    }

    private val table = LeaseTable(timing.driftMarginMs)
    private val candidates = LinkedHashMap<Duty, Candidate>()
    private var halted = false

    /** Why the stream is no longer applied; null while it is. */
    var fault: String? = null
        private set

    /** The lease of each duty that this process holds now. */
    fun heldLeases(): List<HeldLease> = candidates.values.mapNotNull { it.holder.heldAt(clock()) }

    /** Keeps the table up to date. Does not return. */
    suspend fun follow(): Nothing = followStream(read, LEASE_STREAM, LogOffset(0)) { page ->
        if (halted) awaitCancellation()
        noteDroppedRecords(page)
        page.records.forEach(::apply)
        if (table.seenThrough.next() >= page.end) table.markCaughtUp(clock())
        candidates.values.forEach {
            it.holder.tableChanged()
            it.changed.trySend(Unit)
        }
    }

    /** Competes for [duty] and runs [work] whenever and as long as the lease is held. Returns after [release]. */
    suspend fun perform(duty: Duty, work: DutyWork) {
        val candidate = candidates.getOrPut(duty) { newCandidate(duty) }
        coroutineScope {
            val competing = launch { compete(candidate) }
            val working = launch { runWhileHeld(candidate, work) }
            candidate.stop.await()
            working.cancel()
            working.join()
            candidate.workEnded.complete(Unit)
            competing.cancel()
        }
    }

    /** Ends the candidacy for all duties: stops their work first, then tells the other candidates. */
    suspend fun release() {
        candidates.values.forEach { it.stop.complete(Unit) }
        coroutineScope { candidates.values.forEach { launch { release(it) } } }
    }

    private suspend fun release(candidate: Candidate) {
        candidate.workEnded.await()
        val record = candidate.holder.release(clock()) ?: return
        append(LEASE_STREAM, json.writeValueAsBytes(record))
            .onRight { log.info { "lease ${record.duty} released" } }
            .onLeft { log.warn { "lease ${record.duty} runs out, its release failed: ${it.name.lowercase()}" } }
        publish(candidate)
    }

    private fun newCandidate(duty: Duty): Candidate {
        val claimDelayMs = claimDelayMs(host, duty, timing)
        return Candidate(LeaseCandidate(duty, host.value, timing, table, claimDelayMs, newClaimId))
    }

    private suspend fun compete(candidate: Candidate) {
        while (true) {
            val action = candidate.holder.nextAction(clock())
            publish(candidate)
            when (action) {
                is LeaseAction.Send -> send(candidate, action.record)
                is LeaseAction.Wait -> await(candidate, action)
            }
        }
    }

    // The answer of an append is not used beyond a failure: a record counts only when it is read back.
    private suspend fun send(candidate: Candidate, record: LeaseRecord) {
        val answer: Either<LogFailure, LogOffset> = append(LEASE_STREAM, json.writeValueAsBytes(record))
        answer.onLeft { candidate.holder.appendFailed(clock()) }
    }

    private suspend fun await(candidate: Candidate, action: LeaseAction.Wait) {
        val until = action.until ?: return candidate.changed.receive()
        val waitMs = until - clock()
        if (waitMs > 0) withTimeoutOrNull(waitMs) { candidate.changed.receive() }
    }

    private suspend fun runWhileHeld(candidate: Candidate, work: DutyWork) {
        candidate.held.collectLatest { lease ->
            if (lease != null) work(LeaseHandle(lease, candidate.holder, clock))
        }
    }

    // A renewal changes only the end of the lease, which must not restart the work.
    private fun publish(candidate: Candidate) {
        val now = candidate.holder.heldAt(clock())
        val before = candidate.held.value
        if (now?.claimId == before?.claimId) return
        candidate.held.value = now
        onChange(candidate.holder.duty, now)
        log.info { "lease ${candidate.holder.duty} ${if (now == null) "lost" else "held, token ${now.fencingToken}"}" }
    }

    private fun noteDroppedRecords(page: LogPage) {
        if (page.earliest <= table.seenThrough.next()) return
        log.warn { "records before ${page.earliest} were dropped before they were read" }
        table.reset(LogOffset(page.earliest.value - 1))
        candidates.values.forEach { it.holder.recordsDropped() }
    }

    private fun apply(record: LogRecord) {
        if (halted) return
        decodeRecord(record.data, LeaseRecord::class.java, LEASE_SCHEMA)
            .onRight { table.apply(it, record.offset, clock()) }
            .getOrElse { fault -> passOver(record, fault) }
    }

    private fun passOver(record: LogRecord, recordFault: RecordFault) {
        table.skip(record.offset)
        when (recordFault) {
            is RecordFault.Malformed -> log.warn { "lease record ${record.offset}: ${recordFault.message}" }
            is RecordFault.UnknownSchema -> {
                halted = true
                table.halt()
                candidates.values.forEach { it.holder.recordsDropped() }
                fault = "lease record ${record.offset} has type ${recordFault.type}, schema ${recordFault.schema}"
                log.error { "$fault; this process stops competing for leases" }
            }
        }
    }

    private companion object {
        val log = KotlinLogging.logger {}
    }
}

/**
 * Delay of the claim of [duty] by [host], different for each pair, so that free duties spread over the hosts and the
 * candidates do not all append at once: 360 appends at once are about the whole rate of the log.
 */
internal fun claimDelayMs(host: HostId, duty: Duty, timing: LeaseTiming): Long {
    val bytes = MessageDigest.getInstance("SHA-256").digest("${host.value} ${duty.value}".toByteArray())
    return Math.floorMod(ByteBuffer.wrap(bytes).getLong(), timing.renewIntervalMs)
}
