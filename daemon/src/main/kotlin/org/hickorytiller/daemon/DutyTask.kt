/**
 * Competes for the lease of the duties and performs them while this host holds it: usage reports and orders of
 * backend servers. The lease is checked right before each call, and the receiver rejects calls with an older token.
 */
package org.hickorytiller.daemon

import arrow.core.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import org.hickorytiller.core.Clock
import org.hickorytiller.core.Delivery
import org.hickorytiller.core.HostId
import org.hickorytiller.core.LogOffset
import org.hickorytiller.leases.ClaimId
import org.hickorytiller.leases.ConditionalLease
import org.hickorytiller.mesh.PeerTable
import org.hickorytiller.metering.WindowReports
import org.hickorytiller.platform.DutyClient
import org.hickorytiller.platform.DutyLeaseRecord
import org.hickorytiller.platform.DutyLeaseStore
import org.hickorytiller.platform.StoreFailure

/** Whether this host may make a further call under its fencing token now. */
internal typealias MayAct = () -> Boolean

/** Sends the orders that are due under a fencing token, each of them only if it may act then. */
internal typealias PlaceOrders = suspend (Long, MayAct) -> Unit

/** The duties of one host. Confined to the event loop. */
internal class DutyTask(
    private val host: HostId,
    private val claim: ClaimId,
    private val clock: Clock,
    private val medianWallMs: () -> Long,
    private val store: DutyLeaseStore,
    private val lease: ConditionalLease,
    private val peers: PeerTable,
    private val duties: Duties,
) {
    /** The work of the lease holder. */
    class Duties(val reports: WindowReports, val client: DutyClient, val placeOrders: PlaceOrders)

    private var wasHolder = false

    /** End of the lease log after this host's latest renewal; null unless it holds the lease now. */
    val leaseLogEnd: LogOffset? get() = lease.logEndWhileHeld

    /**
     * Records that a peer holds the lease and that its log ended at [end], so that the wait for the lease to expire
     * restarts.
     */
    fun onPeerHolder(end: LogOffset) = lease.recordReportedEnd(end)

    /** Competes for the lease and performs the duties while it is held; does not return. */
    suspend fun run(): Nothing {
        while (true) {
            step()
            logHolderChange()
            delay(STEP_MS)
        }
    }

    private suspend fun step() {
        if (lease.fencingToken == null) {
            if (!isCandidate()) return
            competeForLease()
        } else {
            if (lease.isRenewalDue() || duties.reports.hasWindowsToRecord(medianWallMs())) append()
            if (lease.holds()) performDuties()
        }
    }

    /** Whether this host may compete. While a peer reports that it holds the lease, others do not read it. */
    private fun isCandidate(): Boolean {
        val alive = peers.alive()
        if (alive.any { it.leaseLogEnd != null }) return false
        return alive.count { it.host.value < host.value } < CANDIDATES
    }

    private suspend fun competeForLease() {
        val snapshot = store.read().getOrElse { return }
        snapshot.record?.let { duties.reports.applyRecorded(it.figures) }
        lease.recordRead(snapshot.end, snapshot.record?.claim)
        append()
        if (lease.fencingToken == null) delay(COMPETE_MS)
    }

    private suspend fun append() {
        val at = lease.nextAppendOffset() ?: return
        val counts = duties.reports.countsToRecord(medianWallMs())
        val sentAt = clock()
        val sentAtWallMs = System.currentTimeMillis()
        store.append(DutyLeaseRecord(claim, host, counts), at).fold(
            { failure -> appendFailed(failure) },
            { offset ->
                lease.appended(offset, sentAt, sentAtWallMs)
                duties.reports.applyRecorded(counts)
            },
        )
    }

    private suspend fun appendFailed(failure: StoreFailure) {
        log.info { "event=lease_append_failed reason=${failure.name.lowercase()} token=${lease.fencingToken}" }
        when (failure) {
            StoreFailure.UNAVAILABLE -> delay(COMPETE_MS)
            // The append may have taken effect: the newest record shows whether it did.
            else -> {
                if (failure == StoreFailure.OVERTAKEN) lease.appendConflicted()
                val snapshot = store.read().getOrElse { return }
                snapshot.record?.let { duties.reports.applyRecorded(it.figures) }
                lease.recordRead(snapshot.end, snapshot.record?.claim)
            }
        }
    }

    private suspend fun performDuties() {
        val token = lease.fencingToken ?: return
        for ((window, counts) in duties.reports.unacknowledgedCounts(medianWallMs())) {
            if (!mayAct()) return
            val delivery = duties.client.reportUsage(window, counts, token)
            log.info {
                "event=usage_report window=$window requests=${counts.values.sum()} token=$token outcome=$delivery"
            }
            if (delivery == Delivery.Taken) duties.reports.markAcknowledged(window) else return
        }
        duties.placeOrders(token, ::mayAct)
    }

    // Calls may be slow and many are due at a time, so the lease is renewed between them.
    private fun mayAct() = lease.holds() && !lease.isRenewalDue()

    private fun logHolderChange() {
        val holds = lease.holds()
        if (holds == wasHolder) return
        wasHolder = holds
        log.info { "event=${if (holds) "duties_taken" else "duties_lost"} token=${lease.fencingToken}" }
    }

    private companion object {
        val log = KotlinLogging.logger {}
        const val STEP_MS = 250L
        const val COMPETE_MS = 700L

        // Two hosts compete at a time, so that the loss of one does not delay the duties.
        const val CANDIDATES = 2
    }
}
