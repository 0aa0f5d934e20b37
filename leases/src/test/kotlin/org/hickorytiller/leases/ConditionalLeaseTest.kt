package org.hickorytiller.leases

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.LogOffset
import org.hickorytiller.core.TimeMs
import kotlin.random.Random

class ConditionalLeaseTest : AnnotationSpec() {
    private val timing = ConditionalLeaseTiming(termMs = 3_000, marginMs = 400)

    /** A process with clocks of its own, before a log that takes an append only at its end. */
    private inner class Candidate(val id: String, private val log: MutableList<String>) {
        var monotonicMs = 0L
        var wallMs = 1_000_000L
        val lease = ConditionalLease(ClaimId(id), { TimeMs(monotonicMs) }, { wallMs }, timing)

        fun pass(ms: Long) {
            monotonicMs += ms
            wallMs += ms
        }

        fun read() = lease.logRead(LogOffset(log.size.toLong()), log.lastOrNull()?.let(::ClaimId))

        /** Tries to append; [loseAnswer] drops the answer after the append took effect. */
        fun append(loseAnswer: Boolean = false) {
            val at = lease.nextAppendOffset() ?: return
            val sentAt = TimeMs(monotonicMs)
            if (at.value != log.size.toLong()) return lease.appendConflicted()
            log += id
            if (!loseAnswer) lease.appended(at, sentAt, wallMs)
        }
    }

    @Test
    fun `guards against a claim while the holder may still act`() {
        val log = mutableListOf<String>()
        val holder = Candidate("a", log).apply { read() }
        holder.append()
        holder.lease.holds() shouldBe true
        val other = Candidate("b", log).apply { read() }
        other.pass(3_399)
        other.lease.nextAppendOffset() shouldBe null
        holder.pass(1_000)
        holder.append()
        other.read()
        other.pass(3_399)
        other.append()
        other.lease.holds() shouldBe false
    }

    @Test
    fun `guards against a second wait for a holder whose last renewal was heard of`() {
        val log = mutableListOf<String>()
        val holder = Candidate("a", log).apply { read() }
        holder.append()
        val other = Candidate("b", log)
        other.lease.heard(holder.lease.logEndWhileHeld!!)
        other.pass(3_400)
        holder.pass(3_400)
        other.read()
        other.append()
        other.lease.holds() shouldBe true
        holder.lease.holds() shouldBe false
        holder.lease.logEndWhileHeld shouldBe null
    }

    @Test
    fun `guards against a claim after a renewal that was not heard of`() {
        val log = mutableListOf<String>()
        val holder = Candidate("a", log).apply { read() }
        holder.append()
        val other = Candidate("b", log)
        other.lease.heard(holder.lease.logEndWhileHeld!!)
        other.pass(3_400)
        holder.pass(1_000)
        holder.append()
        other.read()
        other.lease.nextAppendOffset() shouldBe null
        // An older message that arrives late does not bring the wait forward or put it off.
        other.lease.heard(LogOffset(1))
        other.pass(3_399)
        other.lease.nextAppendOffset() shouldBe null
        other.pass(1)
        other.lease.nextAppendOffset() shouldBe LogOffset(2)
    }

    @Test
    fun `guards against a holder that acts after a suspension`() {
        val holder = Candidate("a", mutableListOf()).apply { read() }
        holder.append()
        holder.wallMs += 5_000
        holder.lease.holds() shouldBe false
        holder.lease.isRenewalDue() shouldBe true
        holder.append()
        holder.lease.holds() shouldBe true
    }

    @Test
    fun `guards against a term that counts from the answer`() {
        val log = mutableListOf<String>()
        val holder = Candidate("a", log).apply { read() }
        val sentAt = TimeMs(holder.monotonicMs)
        val sentAtWallMs = holder.wallMs
        holder.pass(2_000)
        holder.lease.appended(LogOffset(0), sentAt, sentAtWallMs)
        holder.pass(1_000)
        holder.lease.holds() shouldBe false
    }

    @Test
    fun `guards against an overtaken holder that goes on under its old token`() {
        val log = mutableListOf<String>()
        val first = Candidate("a", log).apply { read() }
        first.append()
        val firstToken = first.lease.token!!
        val second = Candidate("b", log).apply { read() }
        second.pass(3_400)
        second.append()
        second.lease.token!! shouldBeGreaterThan firstToken
        first.append()
        first.lease.token shouldBe null
        first.lease.holds() shouldBe false
    }

    @Test
    fun `guards against two holders at once and against tokens that do not grow, over random interleavings`() {
        (1L..200L).forEach { seed ->
            val random = Random(seed)
            val log = mutableListOf<String>()
            val candidates = List(3) { Candidate("p$it", log) }
            var lastHolder: Candidate? = null
            var lastToken = 0L
            repeat(400) {
                val stepMs = random.nextLong(400)
                candidates.forEach { candidate ->
                    // Suspended now and then: the monotonic clock stands still, the time of day goes on.
                    if (random.nextInt(40) == 0) candidate.wallMs += stepMs else candidate.pass(stepMs)
                    if (random.nextInt(40) == 0) candidate.monotonicMs += 0
                }
                val candidate = candidates.random(random)
                if (candidate.lease.token == null || random.nextInt(8) == 0) candidate.read()
                candidate.append(loseAnswer = random.nextInt(10) == 0)
                val holders = candidates.filter { it.lease.holds() }
                (holders.size <= 1) shouldBe true
                val holder = holders.singleOrNull() ?: return@repeat
                val token = holder.lease.token!!
                if (holder !== lastHolder) token shouldBeGreaterThan lastToken
                lastHolder = holder
                lastToken = maxOf(lastToken, token)
            }
        }
    }
}
