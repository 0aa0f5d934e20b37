package org.hickorytiller.leases

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.TimeMs

class LeaseHolderTest : AnnotationSpec() {
    private val duty = Duty("usage-windows")
    private lateinit var table: LeaseTable
    private lateinit var holder: LeaseHolder
    private var claims = 0
    private var end = 0L

    @BeforeEach
    fun `start at the end of an empty stream`() {
        table = LeaseTable(MARGIN_MS)
        holder = LeaseHolder(duty, "host-1", LeaseTiming(), table, claimDelayMs = 0) { ClaimId("claim-${claims++}") }
        end = 0
        table.caughtUp(TimeMs(0))
    }

    private fun send(nowMs: Long): LeaseRecord = holder.step(TimeMs(nowMs)).shouldBeInstanceOf<LeaseStep.Send>().record

    private fun land(record: LeaseRecord, nowMs: Long) {
        table.apply(record, LogOffset(end++), TimeMs(nowMs))
        holder.tableChanged()
    }

    private fun holdFrom(nowMs: Long) = land(send(nowMs), nowMs + 5)

    @Test
    fun `guards against a claim without the startup wait`() {
        holder.step(TimeMs(5)) shouldBe LeaseStep.Wait(TimeMs(START_MS))
        send(START_MS).shouldBeInstanceOf<Claim>()
    }

    @Test
    fun `guards against a term that counts from the answer instead of from before the append`() {
        land(send(START_MS), START_MS + 1_900)
        holder.heldAt(TimeMs(START_MS + 1_900))?.until shouldBe TimeMs(START_MS + TERM_MS)
        holder.holds(TimeMs(START_MS + TERM_MS - 100), 99) shouldBe true
        holder.holds(TimeMs(START_MS + TERM_MS - 100), 100) shouldBe false
    }

    @Test
    fun `guards against a holder that believes an append before it has read it back`() {
        send(START_MS)
        holder.heldAt(TimeMs(START_MS + 10)) shouldBe null
        holder.appendFailed(TimeMs(START_MS + 10))
        holder.heldAt(TimeMs(START_MS + 20)) shouldBe null
    }

    @Test
    fun `guards against a lost claim whose record took effect`() {
        val claim = send(START_MS)
        holder.appendFailed(TimeMs(START_MS + 2_000))
        land(claim, START_MS + 2_100)
        holder.heldAt(TimeMs(START_MS + 2_100))?.until shouldBe TimeMs(START_MS + TERM_MS)
    }

    @Test
    fun `guards against a second claim that takes the lease from the first of the same process`() {
        val first = send(START_MS)
        holder.appendFailed(TimeMs(START_MS + 2_000))
        val second = send(START_MS + 2_600)
        land(first, START_MS + 2_700)
        land(second, START_MS + 2_700)
        holder.heldAt(TimeMs(START_MS + 2_700))?.claimId?.value shouldBe first.claimId
    }

    @Test
    fun `guards against a renewal with a lost answer that extends the term without being read back`() {
        holdFrom(START_MS)
        val renewal = send(START_MS + 3_000)
        holder.appendFailed(TimeMs(START_MS + 5_000))
        holder.heldAt(TimeMs(START_MS + 9_999))?.until shouldBe TimeMs(START_MS + TERM_MS)
        land(renewal, START_MS + 5_100)
        holder.heldAt(TimeMs(START_MS + 5_100))?.until shouldBe TimeMs(START_MS + 3_000 + TERM_MS)
    }

    @Test
    fun `guards against a renewal that counts from a later attempt than the one that was read back`() {
        holdFrom(START_MS)
        val first = send(START_MS + 3_000)
        holder.appendFailed(TimeMs(START_MS + 5_000))
        send(START_MS + 5_500)
        land(first, START_MS + 5_600)
        holder.heldAt(TimeMs(START_MS + 5_600))?.until shouldBe TimeMs(START_MS + 3_000 + TERM_MS)
    }

    @Test
    fun `guards against a holder that goes on through an outage beyond its term`() {
        holdFrom(START_MS)
        var nowMs = START_MS + 3_000
        while (nowMs < START_MS + TERM_MS) {
            if (holder.step(TimeMs(nowMs)) is LeaseStep.Send) holder.appendFailed(TimeMs(nowMs))
            nowMs += 100
        }
        holder.heldAt(TimeMs(START_MS + TERM_MS)) shouldBe null
    }

    @Test
    fun `guards against a holder that goes on after it has read another claim`() {
        holdFrom(START_MS)
        land(Claim(duty.value, "host-2", "other", TERM_MS, end - 1), START_MS + 500)
        holder.heldAt(TimeMs(START_MS + 500)) shouldBe null
    }

    @Test
    fun `guards against a holder that relies on a claim with another record before it`() {
        val claim = send(START_MS)
        table.apply(Renewal(duty.value, "host-2", "dead", TERM_MS, -1, 9), LogOffset(end++), TimeMs(START_MS))
        land(claim, START_MS + 5)
        holder.heldAt(TimeMs(START_MS + 5)) shouldBe null
    }

    @Test
    fun `guards against work after a release or after lost history`() {
        holdFrom(START_MS)
        holder.historyLost()
        holder.heldAt(TimeMs(START_MS + 10)) shouldBe null
        val again = LeaseHolder(duty, "host-1", LeaseTiming(), LeaseTable(MARGIN_MS), 0) { ClaimId("x") }
        again.release(TimeMs(0)) shouldBe null
        again.step(TimeMs(START_MS)) shouldBe LeaseStep.Wait(null)
    }

    @Test
    fun `guards against a planned stop that leaves the duty vacant for a term`() {
        holdFrom(START_MS)
        val release = holder.release(TimeMs(START_MS + 100)).shouldBeInstanceOf<Release>()
        holder.heldAt(TimeMs(START_MS + 100)) shouldBe null
        table.apply(release, LogOffset(end++), TimeMs(START_MS + 150))
        (table.claimableAt(duty, TERM_MS)!! <= TimeMs(START_MS + 150)) shouldBe true
    }

    private companion object {
        const val TERM_MS = 10_000L
        const val MARGIN_MS = 1_000L
        const val START_MS = TERM_MS + MARGIN_MS
    }
}
