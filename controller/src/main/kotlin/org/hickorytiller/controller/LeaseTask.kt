/** Follows the lease stream and competes for one duty. */
package org.hickorytiller.controller

import arrow.core.getOrElse
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.module.kotlin.readValue
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import org.hickorytiller.core.Clock
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.TimeMs
import org.hickorytiller.core.json
import org.hickorytiller.leases.Claim
import org.hickorytiller.leases.ClaimId
import org.hickorytiller.leases.Duty
import org.hickorytiller.leases.LEASE_STREAM
import org.hickorytiller.leases.LeaseRecord
import org.hickorytiller.leases.LeaseTable
import org.hickorytiller.leases.Renewal
import org.hickorytiller.platform.Append
import org.hickorytiller.platform.LogRecord
import org.hickorytiller.platform.Read
import org.hickorytiller.platform.followStream
import java.util.UUID

/** Candidate for the lease of [duty]. Confined to the event loop. */
internal class LeaseTask(
    private val duty: Duty,
    private val settings: ControllerSettings,
    private val clock: Clock,
    private val append: Append,
    private val read: Read,
) {
    private val table = LeaseTable(settings.driftMarginMs)
    private var claimId: ClaimId? = null
    private var heldUntil: TimeMs? = null

    /** Whether this process holds the lease for at least [remainingMs] more. */
    fun holds(remainingMs: Long): Boolean = heldUntil?.let { clock() + remainingMs < it } ?: false

    /** Keeps the table up to date; does not return. */
    suspend fun follow(): Nothing = followStream(read, LEASE_STREAM, LogOffset(0)) { page ->
        page.records.forEach(::apply)
        if (table.seenThrough.next() >= page.end) table.caughtUp(clock())
    }

    /** Claims the lease when it is free and renews it while it is held; does not return. */
    suspend fun compete(): Nothing {
        while (true) {
            if (holds(0)) renew() else claimIfFree()
            delay(settings.renewIntervalMs)
        }
    }

    private suspend fun claimIfFree() {
        if (!table.mayClaim(duty, clock(), settings.termMs)) return
        val id = ClaimId(UUID.randomUUID().toString())
        val sentAt = clock()
        val record = Claim(duty.value, settings.host.value, id.value, settings.termMs, table.seenThrough.value)
        val offset = append(LEASE_STREAM, json.writeValueAsBytes(record)).getOrElse { return }
        awaitRead(offset)
        if (table.lease(duty)?.claimId != id) return
        claimId = id
        heldUntil = sentAt + settings.termMs
        log.info { "lease $duty held with fencing token $offset" }
    }

    private suspend fun renew() {
        val id = claimId ?: return
        val sentAt = clock()
        val record = Renewal(duty.value, settings.host.value, id.value, settings.termMs, table.seenThrough.value)
        val offset = append(LEASE_STREAM, json.writeValueAsBytes(record)).getOrElse { return }
        awaitRead(offset)
        if (table.lease(duty)?.lastOffset == offset) heldUntil = sentAt + settings.termMs
    }

    private suspend fun awaitRead(offset: LogOffset) {
        while (table.seenThrough < offset) delay(READ_BACK_INTERVAL_MS)
    }

    private fun apply(record: LogRecord) {
        try {
            table.apply(json.readValue<LeaseRecord>(record.data), record.offset, clock())
        } catch (e: JsonProcessingException) {
            log.warn { "lease record ${record.offset} is malformed: ${e.originalMessage}" }
        }
    }

    private companion object {
        val log = KotlinLogging.logger {}
        const val READ_BACK_INTERVAL_MS = 20L
    }
}
