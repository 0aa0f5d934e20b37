package org.hickorytiller.routes

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.TimeMs

class FreshnessProofTest : AnnotationSpec() {
    private var monotonicMs = 10_000L
    private var wallMs = 1_700_000_000_000L
    private lateinit var proof: FreshnessProof

    @BeforeEach
    fun start() {
        proof = FreshnessProof({ TimeMs(monotonicMs) }, { wallMs }, FreshnessRules(maxAgeMs = 4_000))
    }

    private fun pass(ms: Long) {
        monotonicMs += ms
        wallMs += ms
    }

    @Test
    fun `guards against keyed requests before anything is read`() {
        proof.holds() shouldBe false
        proof.ageMs() shouldBe null
    }

    @Test
    fun `guards against an age that counts from the answer of a long read`() {
        val sentAt = proof.now()
        pass(3_000)
        proof.proven(sentAt)
        proof.ageMs() shouldBe 3_000
        pass(1_001)
        proof.holds() shouldBe false
    }

    @Test
    fun `guards against a proof that outlives a suspension of the host`() {
        proof.proven(proof.now())
        wallMs += 8_000
        proof.holds() shouldBe false
        proof.proven(proof.now())
        proof.holds() shouldBe true
    }

    @Test
    fun `guards against a read from before a suspension that is taken for fresh after it`() {
        val sentAt = proof.now()
        wallMs += 8_000
        proof.proven(sentAt)
        proof.holds() shouldBe false
    }

    @Test
    fun `guards against a proof that stays void after the time of day has jumped`() {
        proof.proven(proof.now())
        wallMs -= 2_400
        proof.holds() shouldBe false
        pass(10)
        proof.proven(proof.now())
        proof.ageMs() shouldBe 0
    }

    @Test
    fun `guards against an older read that replaces a newer proof`() {
        val older = proof.now()
        pass(1_000)
        proof.proven(proof.now())
        proof.proven(older)
        proof.ageMs() shouldBe 0
    }
}
