package org.hickorytiller.leases

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.TimeMs
import kotlin.random.Random

class ConditionalLeaseTest : AnnotationSpec() {
    private val timing = ConditionalLeaseTiming(termMs = 3_000, driftMarginMs = 400)

    /** A process with its own clocks that uses a log which accepts an append only at its end. */
    private inner class Candidate(val id: String, private val log: MutableList<String>) {
        var monotonicMs = 0L
        var wallMs = 1_000_000L
        val lease = ConditionalLease(ClaimId(id), { TimeMs(monotonicMs) }, { wallMs }, timing)

        fun advance(ms: Long) {
            monotonicMs += ms
            wallMs += ms
        }

        fun read() = lease.recordRead(LogOffset(log.size.toLong()), log.lastOrNull()?.let(::ClaimId))

        /** Tries to append; [loseResponse] drops the response after the append took effect. */
        fun append(loseResponse: Boolean = false) {
            val at = lease.nextAppendOffset() ?: return
            val sentAt = TimeMs(monotonicMs)
            if (at.value != log.size.toLong()) return lease.appendConflicted()
            log += id
            if (!loseResponse) lease.appended(at, sentAt, wallMs)
        }
    }

    @Test
    fun `allows no claim before the term and margin of the holder have passed`() {
        val log = mutableListOf<String>()
        val holder = Candidate("a", log).apply { read() }
        holder.append()
        holder.lease.holds() shouldBe true
        val other = Candidate("b", log).apply { read() }
        other.advance(3_399)
        other.lease.nextAppendOffset() shouldBe null
        holder.advance(1_000)
        holder.append()
        other.read()
        other.advance(3_399)
        other.append()
        other.lease.holds() shouldBe false
    }

    @Test
    fun `does not restart the wait for a term when the reported end of the log is read`() {
        val log = mutableListOf<String>()
        val holder = Candidate("a", log).apply { read() }
        holder.append()
        val other = Candidate("b", log)
        other.lease.recordReportedEnd(holder.lease.logEndWhileHeld!!)
        other.advance(3_400)
        holder.advance(3_400)
        other.read()
        other.append()
        other.lease.holds() shouldBe true
        holder.lease.holds() shouldBe false
        holder.lease.logEndWhileHeld shouldBe null
    }

    @Test
    fun `restarts the wait for a term when an unreported renewal is read`() {
        val log = mutableListOf<String>()
        val holder = Candidate("a", log).apply { read() }
        holder.append()
        val other = Candidate("b", log)
        other.lease.recordReportedEnd(holder.lease.logEndWhileHeld!!)
        other.advance(3_400)
        holder.advance(1_000)
        holder.append()
        other.read()
        other.lease.nextAppendOffset() shouldBe null
        // A late message with an older end neither shortens nor extends the wait.
        other.lease.recordReportedEnd(LogOffset(1))
        other.advance(3_399)
        other.lease.nextAppendOffset() shouldBe null
        other.advance(1)
        other.lease.nextAppendOffset() shouldBe LogOffset(2)
    }

    @Test
    fun `suspension of the holder makes the lease invalid until it is renewed`() {
        val holder = Candidate("a", mutableListOf()).apply { read() }
        holder.append()
        holder.wallMs += 5_000
        holder.lease.holds() shouldBe false
        holder.lease.isRenewalDue() shouldBe true
        holder.append()
        holder.lease.holds() shouldBe true
    }

    @Test
    fun `term counts from the sending of the append, not from its response`() {
        val log = mutableListOf<String>()
        val holder = Candidate("a", log).apply { read() }
        val sentAt = TimeMs(holder.monotonicMs)
        val sentAtWallMs = holder.wallMs
        holder.advance(2_000)
        holder.lease.appended(LogOffset(0), sentAt, sentAtWallMs)
        holder.advance(1_000)
        holder.lease.holds() shouldBe false
    }

    @Test
    fun `superseded holder loses the lease and its token`() {
        val log = mutableListOf<String>()
        val first = Candidate("a", log).apply { read() }
        first.append()
        val firstToken = first.lease.fencingToken!!
        val second = Candidate("b", log).apply { read() }
        second.advance(3_400)
        second.append()
        second.lease.fencingToken!! shouldBeGreaterThan firstToken
        first.append()
        first.lease.fencingToken shouldBe null
        first.lease.holds() shouldBe false
    }

    @Test
    fun `random interleavings never yield two holders or a token that does not grow`() {
        (1L..200L).forEach { seed ->
            val random = Random(seed)
            val log = mutableListOf<String>()
            val candidates = List(3) { Candidate("p$it", log) }
            var lastHolder: Candidate? = null
            var lastToken = 0L
            repeat(400) {
                val stepMs = random.nextLong(400)
                candidates.forEach { candidate ->
                    // Simulates an occasional suspension: the monotonic clock stands still while the wall clock advances.
                    if (random.nextInt(40) == 0) candidate.wallMs += stepMs else candidate.advance(stepMs)
                    // Leaves the clock as it is; only the draw affects the sequence of random numbers.
                    if (random.nextInt(40) == 0) candidate.monotonicMs += 0
                }
                val candidate = candidates.random(random)
                if (candidate.lease.fencingToken == null || random.nextInt(8) == 0) candidate.read()
                candidate.append(loseResponse = random.nextInt(10) == 0)
                val holders = candidates.filter { it.lease.holds() }
                (holders.size <= 1) shouldBe true
                val holder = holders.singleOrNull() ?: return@repeat
                val token = holder.lease.fencingToken!!
                if (holder !== lastHolder) token shouldBeGreaterThan lastToken
                lastHolder = holder
                lastToken = maxOf(lastToken, token)
            }
        }
    }
}
