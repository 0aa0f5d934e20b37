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

    private fun applyRecord(record: LeaseRecord, nowMs: Long) {
        table.apply(record, LogOffset(end++), TimeMs(nowMs))
        candidate.tableChanged()
    }

    private fun holdFrom(nowMs: Long) = applyRecord(send(nowMs), nowMs + 5)

    @Test
    fun `first claim waits for a term and the drift margin after process start`() {
        candidate.nextAction(TimeMs(5)) shouldBe LeaseAction.Wait(TimeMs(START_MS))
        send(START_MS).shouldBeInstanceOf<Claim>()
    }

    @Test
    fun `term counts from the sending of the append, not from its response`() {
        applyRecord(send(START_MS), START_MS + 1_900)
        candidate.heldAt(TimeMs(START_MS + 1_900))?.expiresAt shouldBe TimeMs(START_MS + TERM_MS)
        candidate.holds(TimeMs(START_MS + TERM_MS - 100), 99) shouldBe true
        candidate.holds(TimeMs(START_MS + TERM_MS - 100), 100) shouldBe false
    }

    @Test
    fun `lease is not held before its claim is read back`() {
        send(START_MS)
        candidate.heldAt(TimeMs(START_MS + 10)) shouldBe null
        candidate.appendFailed(TimeMs(START_MS + 10))
        candidate.heldAt(TimeMs(START_MS + 20)) shouldBe null
    }

    @Test
    fun `claim with a lost response takes effect when it is read back`() {
        val claim = send(START_MS)
        candidate.appendFailed(TimeMs(START_MS + 2_000))
        applyRecord(claim, START_MS + 2_100)
        candidate.heldAt(TimeMs(START_MS + 2_100))?.expiresAt shouldBe TimeMs(START_MS + TERM_MS)
    }

    @Test
    fun `second claim of the same process does not supersede its first`() {
        val first = send(START_MS)
        candidate.appendFailed(TimeMs(START_MS + 2_000))
        val second = send(START_MS + 2_600)
        applyRecord(first, START_MS + 2_700)
        applyRecord(second, START_MS + 2_700)
        candidate.heldAt(TimeMs(START_MS + 2_700))?.claimId?.value shouldBe first.claimId
    }

    @Test
    fun `renewal with a lost response extends the term only when it is read back`() {
        holdFrom(START_MS)
        val renewal = send(START_MS + 3_000)
        candidate.appendFailed(TimeMs(START_MS + 5_000))
        candidate.heldAt(TimeMs(START_MS + 9_999))?.expiresAt shouldBe TimeMs(START_MS + TERM_MS)
        applyRecord(renewal, START_MS + 5_100)
        candidate.heldAt(TimeMs(START_MS + 5_100))?.expiresAt shouldBe TimeMs(START_MS + 3_000 + TERM_MS)
    }

    @Test
    fun `renewed term counts from the attempt that was read back, not from a later one`() {
        holdFrom(START_MS)
        val first = send(START_MS + 3_000)
        candidate.appendFailed(TimeMs(START_MS + 5_000))
        send(START_MS + 5_500)
        applyRecord(first, START_MS + 5_600)
        candidate.heldAt(TimeMs(START_MS + 5_600))?.expiresAt shouldBe TimeMs(START_MS + 3_000 + TERM_MS)
    }

    @Test
    fun `lease expires when renewals fail for a whole term`() {
        holdFrom(START_MS)
        var nowMs = START_MS + 3_000
        while (nowMs < START_MS + TERM_MS) {
            if (candidate.nextAction(TimeMs(nowMs)) is LeaseAction.Send) candidate.appendFailed(TimeMs(nowMs))
            nowMs += 100
        }
        candidate.heldAt(TimeMs(START_MS + TERM_MS)) shouldBe null
    }

    @Test
    fun `lease ends when a later claim of another host is read`() {
        holdFrom(START_MS)
        applyRecord(Claim(duty.value, "host-2", "other", TERM_MS, end - 1), START_MS + 500)
        candidate.heldAt(TimeMs(START_MS + 500)) shouldBe null
    }

    @Test
    fun `claim is not relied on when an unread renewal of another claim precedes it`() {
        val claim = send(START_MS)
        table.apply(Renewal(duty.value, "host-2", "dead", TERM_MS, -1, 9), LogOffset(end++), TimeMs(START_MS))
        applyRecord(claim, START_MS + 5)
        candidate.heldAt(TimeMs(START_MS + 5)) shouldBe null
    }

    @Test
    fun `lease is not held after dropped records, and a released candidate does not claim`() {
        holdFrom(START_MS)
        candidate.onRecordsDropped()
        candidate.heldAt(TimeMs(START_MS + 10)) shouldBe null
        val again = LeaseCandidate(duty, "host-1", LeaseTiming(), LeaseTable(MARGIN_MS), 0) { ClaimId("x") }
        again.release(TimeMs(0)) shouldBe null
        again.nextAction(TimeMs(START_MS)) shouldBe LeaseAction.Wait(null)
    }

    @Test
    fun `duty can be claimed at once after a planned stop`() {
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
