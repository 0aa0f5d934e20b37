package org.hickorytiller.leases

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.TimeMs

class LeaseCandidateTest : AnnotationSpec() {
    private val duty = Duty("usage-windows")
    private lateinit var table: LeaseTable
    private lateinit var candidate: LeaseCandidate
    private var claims = 0
    private var end = 0L

    @BeforeEach
    fun `start at the end of an empty stream`() {
        table = LeaseTable(MARGIN_MS)
        candidate = LeaseCandidate(duty, "host-1", LeaseTiming(), table, claimDelayMs = 0) { ClaimId("claim-${claims++}") }
        end = 0
        table.markCaughtUp(TimeMs(0))
    }

    private fun send(nowMs: Long): LeaseRecord = candidate.nextAction(TimeMs(nowMs)).shouldBeInstanceOf<LeaseAction.Send>().record

    private fun land(record: LeaseRecord, nowMs: Long) {
        table.apply(record, LogOffset(end++), TimeMs(nowMs))
        candidate.tableChanged()
    }

    private fun holdFrom(nowMs: Long) = land(send(nowMs), nowMs + 5)

    @Test
    fun `guards against a claim without the startup wait`() {
        candidate.nextAction(TimeMs(5)) shouldBe LeaseAction.Wait(TimeMs(START_MS))
        send(START_MS).shouldBeInstanceOf<Claim>()
    }

    @Test
    fun `guards against a term that counts from the answer instead of from before the append`() {
        land(send(START_MS), START_MS + 1_900)
        candidate.heldAt(TimeMs(START_MS + 1_900))?.expiresAt shouldBe TimeMs(START_MS + TERM_MS)
        candidate.holds(TimeMs(START_MS + TERM_MS - 100), 99) shouldBe true
        candidate.holds(TimeMs(START_MS + TERM_MS - 100), 100) shouldBe false
    }

    @Test
    fun `guards against a holder that believes an append before it has read it back`() {
        send(START_MS)
        candidate.heldAt(TimeMs(START_MS + 10)) shouldBe null
        candidate.appendFailed(TimeMs(START_MS + 10))
        candidate.heldAt(TimeMs(START_MS + 20)) shouldBe null
    }

    @Test
    fun `guards against a lost claim whose record took effect`() {
        val claim = send(START_MS)
        candidate.appendFailed(TimeMs(START_MS + 2_000))
        land(claim, START_MS + 2_100)
        candidate.heldAt(TimeMs(START_MS + 2_100))?.expiresAt shouldBe TimeMs(START_MS + TERM_MS)
    }

    @Test
    fun `guards against a second claim that takes the lease from the first of the same process`() {
        val first = send(START_MS)
        candidate.appendFailed(TimeMs(START_MS + 2_000))
        val second = send(START_MS + 2_600)
        land(first, START_MS + 2_700)
        land(second, START_MS + 2_700)
        candidate.heldAt(TimeMs(START_MS + 2_700))?.claimId?.value shouldBe first.claimId
    }

    @Test
    fun `guards against a renewal with a lost answer that extends the term without being read back`() {
        holdFrom(START_MS)
        val renewal = send(START_MS + 3_000)
        candidate.appendFailed(TimeMs(START_MS + 5_000))
        candidate.heldAt(TimeMs(START_MS + 9_999))?.expiresAt shouldBe TimeMs(START_MS + TERM_MS)
        land(renewal, START_MS + 5_100)
        candidate.heldAt(TimeMs(START_MS + 5_100))?.expiresAt shouldBe TimeMs(START_MS + 3_000 + TERM_MS)
    }

    @Test
    fun `guards against a renewal that counts from a later attempt than the one that was read back`() {
        holdFrom(START_MS)
        val first = send(START_MS + 3_000)
        candidate.appendFailed(TimeMs(START_MS + 5_000))
        send(START_MS + 5_500)
        land(first, START_MS + 5_600)
        candidate.heldAt(TimeMs(START_MS + 5_600))?.expiresAt shouldBe TimeMs(START_MS + 3_000 + TERM_MS)
    }

    @Test
    fun `guards against a holder that goes on through an outage beyond its term`() {
        holdFrom(START_MS)
        var nowMs = START_MS + 3_000
        while (nowMs < START_MS + TERM_MS) {
            if (candidate.nextAction(TimeMs(nowMs)) is LeaseAction.Send) candidate.appendFailed(TimeMs(nowMs))
            nowMs += 100
        }
        candidate.heldAt(TimeMs(START_MS + TERM_MS)) shouldBe null
    }

    @Test
    fun `guards against a holder that goes on after it has read another claim`() {
        holdFrom(START_MS)
        land(Claim(duty.value, "host-2", "other", TERM_MS, end - 1), START_MS + 500)
        candidate.heldAt(TimeMs(START_MS + 500)) shouldBe null
    }

    @Test
    fun `guards against a holder that relies on a claim with another record before it`() {
        val claim = send(START_MS)
        table.apply(Renewal(duty.value, "host-2", "dead", TERM_MS, -1, 9), LogOffset(end++), TimeMs(START_MS))
        land(claim, START_MS + 5)
        candidate.heldAt(TimeMs(START_MS + 5)) shouldBe null
    }

    @Test
    fun `guards against work after a release or after lost history`() {
        holdFrom(START_MS)
        candidate.recordsDropped()
        candidate.heldAt(TimeMs(START_MS + 10)) shouldBe null
        val again = LeaseCandidate(duty, "host-1", LeaseTiming(), LeaseTable(MARGIN_MS), 0) { ClaimId("x") }
        again.release(TimeMs(0)) shouldBe null
        again.nextAction(TimeMs(START_MS)) shouldBe LeaseAction.Wait(null)
    }

    @Test
    fun `guards against a planned stop that leaves the duty vacant for a term`() {
        holdFrom(START_MS)
        val release = candidate.release(TimeMs(START_MS + 100)).shouldBeInstanceOf<Release>()
        candidate.heldAt(TimeMs(START_MS + 100)) shouldBe null
        table.apply(release, LogOffset(end++), TimeMs(START_MS + 150))
        (table.claimableAt(duty, TERM_MS)!! <= TimeMs(START_MS + 150)) shouldBe true
    }

    private companion object {
        const val TERM_MS = 10_000L
        const val MARGIN_MS = 1_000L
        const val START_MS = TERM_MS + MARGIN_MS
    }
}
