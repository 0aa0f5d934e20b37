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
    fun `there is no proof before the first read`() {
        proof.isFresh() shouldBe false
        proof.ageMs() shouldBe null
    }

    @Test
    fun `the age counts from the time at which a long read was sent`() {
        val sentAt = proof.now()
        pass(3_000)
        proof.recordRead(sentAt)
        proof.ageMs() shouldBe 3_000
        pass(1_001)
        proof.isFresh() shouldBe false
    }

    @Test
    fun `a proof becomes void when the host is suspended`() {
        proof.recordRead(proof.now())
        wallMs += 8_000
        proof.isFresh() shouldBe false
        proof.recordRead(proof.now())
        proof.isFresh() shouldBe true
    }

    @Test
    fun `a read sent before a suspension gives no proof after it`() {
        val sentAt = proof.now()
        wallMs += 8_000
        proof.recordRead(sentAt)
        proof.isFresh() shouldBe false
    }

    @Test
    fun `a new read gives a valid proof after the wall clock has jumped`() {
        proof.recordRead(proof.now())
        wallMs -= 2_400
        proof.isFresh() shouldBe false
        pass(10)
        proof.recordRead(proof.now())
        proof.ageMs() shouldBe 0
    }

    @Test
    fun `an older read does not replace a newer proof`() {
        val older = proof.now()
        pass(1_000)
        proof.recordRead(proof.now())
        proof.recordRead(older)
        proof.ageMs() shouldBe 0
    }
}
