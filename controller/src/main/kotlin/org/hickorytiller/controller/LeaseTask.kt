/**
 * Follows the lease stream with one reader for all duties and executes the actions of the candidate of each duty. Every
 * wait ends when a record of the stream is read or at the time given by the action.
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

/** The work of a duty, run while its lease is held and cancelled when the lease ends. */
internal typealias DutyWork = suspend (LeaseHandle) -> Unit

/** The view of a held lease that is passed to the work of its duty. */
internal class LeaseHandle(val lease: HeldLease, private val candidate: LeaseCandidate, private val clock: Clock) {
    /** Offset of the claim; sent with every order. */
    val fencingToken: LogOffset get() = lease.fencingToken

    /** Whether this lease, and not a later one of the same duty, is held for at least [remainingMs] more. */
    fun holds(remainingMs: Long): Boolean {
        val now = clock()
        return candidate.heldAt(now)?.claimId == lease.claimId && candidate.holds(now, remainingMs)
    }
}

/** Competes for the leases of all duties of a controller. Confined to the event loop. */
internal class LeaseTask(
    private val host: HostId,
    private val timing: LeaseTiming,
    private val clock: Clock,
    private val append: AppendToLog,
    private val read: ReadLog,
    private val newClaimId: () -> ClaimId = { ClaimId(UUID.randomUUID().toString()) },
    private val onChange: (Duty, HeldLease?) -> Unit = { _, _ -> },
) {
    private class Candidacy(val candidate: LeaseCandidate) {
        val changed = Channel<Unit>(Channel.CONFLATED)
        val held = MutableStateFlow<HeldLease?>(null)
        val stop = CompletableDeferred<Unit>()
        val workEnded = CompletableDeferred<Unit>()
    }

    private val table = LeaseTable(timing.driftMarginMs)
    private val candidacies = LinkedHashMap<Duty, Candidacy>()
    private var isHalted = false

    /** The reason why records are no longer applied; null while they are. */
    var fault: String? = null
        private set

    /** The leases that this process holds now. */
    fun heldLeases(): List<HeldLease> = candidacies.values.mapNotNull { it.candidate.heldAt(clock()) }

    /** Follows the lease stream and keeps the table up to date. Does not return. */
    suspend fun follow(): Nothing = followStream(read, LEASE_STREAM, LogOffset(0)) { page ->
        if (isHalted) awaitCancellation()
        handleDroppedRecords(page)
        page.records.forEach(::apply)
        if (table.seenThrough.next() >= page.end) table.markCaughtUp(clock())
        candidacies.values.forEach {
            it.candidate.tableChanged()
            it.changed.trySend(Unit)
        }
    }

    /** Competes for [duty] and runs [work] while its lease is held. Returns after [release]. */
    suspend fun perform(duty: Duty, work: DutyWork) {
        val candidacy = candidacies.getOrPut(duty) { newCandidacy(duty) }
        coroutineScope {
            val competing = launch { compete(candidacy) }
            val working = launch { runWhileHeld(candidacy, work) }
            candidacy.stop.await()
            working.cancel()
            working.join()
            candidacy.workEnded.complete(Unit)
            competing.cancel()
        }
    }

    /** Ends the candidacy for all duties: stops their work, then appends a release record for each held lease. */
    suspend fun release() {
        candidacies.values.forEach { it.stop.complete(Unit) }
        coroutineScope { candidacies.values.forEach { launch { release(it) } } }
    }

    private suspend fun release(candidacy: Candidacy) {
        candidacy.workEnded.await()
        val record = candidacy.candidate.release(clock()) ?: return
        append(LEASE_STREAM, json.writeValueAsBytes(record))
            .onRight { log.info { "lease ${record.duty} released" } }
            .onLeft { log.warn { "lease ${record.duty} expires, its release failed: ${it.name.lowercase()}" } }
        publish(candidacy)
    }

    private fun newCandidacy(duty: Duty): Candidacy {
        val claimDelayMs = claimDelayMs(host, duty, timing)
        return Candidacy(LeaseCandidate(duty, host.value, timing, table, claimDelayMs, newClaimId))
    }

    private suspend fun compete(candidacy: Candidacy) {
        while (true) {
            val action = candidacy.candidate.nextAction(clock())
            publish(candidacy)
            when (action) {
                is LeaseAction.Send -> send(candidacy, action.record)
                is LeaseAction.Wait -> await(candidacy, action)
            }
        }
    }

    // Only a failure of the append is used: a record takes effect for this process only when it is read back.
    private suspend fun send(candidacy: Candidacy, record: LeaseRecord) {
        val result: Either<LogFailure, LogOffset> = append(LEASE_STREAM, json.writeValueAsBytes(record))
        result.onLeft { candidacy.candidate.appendFailed(clock()) }
    }

    private suspend fun await(candidacy: Candidacy, action: LeaseAction.Wait) {
        val until = action.until ?: return candidacy.changed.receive()
        val waitMs = until - clock()
        if (waitMs > 0) withTimeoutOrNull(waitMs) { candidacy.changed.receive() }
    }

    private suspend fun runWhileHeld(candidacy: Candidacy, work: DutyWork) {
        candidacy.held.collectLatest { lease ->
            if (lease != null) work(LeaseHandle(lease, candidacy.candidate, clock))
        }
    }

    // A renewal changes only the expiry of the lease and must not restart the work.
    private fun publish(candidacy: Candidacy) {
        val lease = candidacy.candidate.heldAt(clock())
        val previous = candidacy.held.value
        if (lease?.claimId == previous?.claimId) return
        candidacy.held.value = lease
        onChange(candidacy.candidate.duty, lease)
        log.info {
            "lease ${candidacy.candidate.duty} ${if (lease == null) "lost" else "held, token ${lease.fencingToken}"}"
        }
    }

    private fun handleDroppedRecords(page: LogPage) {
        if (page.earliest <= table.seenThrough.next()) return
        log.warn { "records before ${page.earliest} were dropped before they were read" }
        table.reset(LogOffset(page.earliest.value - 1))
        candidacies.values.forEach { it.candidate.onRecordsDropped() }
    }

    private fun apply(record: LogRecord) {
        if (isHalted) return
        decodeRecord(record.data, LeaseRecord::class.java, LEASE_SCHEMA)
            .onRight { table.apply(it, record.offset, clock()) }
            .getOrElse { fault -> handleFault(record, fault) }
    }

    private fun handleFault(record: LogRecord, recordFault: RecordFault) {
        table.skip(record.offset)
        when (recordFault) {
            is RecordFault.Malformed -> log.warn { "lease record ${record.offset}: ${recordFault.message}" }
            is RecordFault.UnknownSchema -> {
                isHalted = true
                table.halt()
                candidacies.values.forEach { it.candidate.onRecordsDropped() }
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
 * Returns the delay of a claim of [duty] by [host]. It differs for each pair, so that vacant duties spread over the
 * hosts and the candidates do not append at once: 360 appends at once use about the whole append rate of the log.
 */
internal fun claimDelayMs(host: HostId, duty: Duty, timing: LeaseTiming): Long {
    val bytes = MessageDigest.getInstance("SHA-256").digest("${host.value} ${duty.value}".toByteArray())
    return Math.floorMod(ByteBuffer.wrap(bytes).getLong(), timing.renewIntervalMs)
}
