package org.hickorytiller.mesh

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.quarantine.PartAnswer
import org.hickorytiller.quarantine.PartCrash
import org.hickorytiller.quarantine.PartEvidence
import org.hickorytiller.quarantine.PartFingerprint
import org.hickorytiller.quarantine.PartQuarantine
import org.hickorytiller.quarantine.ServerIncarnation

class PartEvidenceCodecTest : AnnotationSpec() {
    private val part = PartFingerprint("5c1e07a291bd3f06")
    private val crash = PartCrash(part, ServerIncarnation(BackendServerId("i-0123456789"), 1_796_387_703_962), FailureDomain("cl-central-a"), 40)
    private val evidence = PartEvidence(listOf(crash), listOf(PartAnswer(part, 50)), listOf(PartQuarantine(part, 60)))

    private fun decode(text: String) = decodePartEvidence(parseMessage(text.toByteArray()).shouldNotBeNull())

    @Test
    fun `evidence is decoded as it was encoded and is no other kind of message`() {
        val message = parseMessage(encodePartEvidence(evidence)).shouldNotBeNull()
        decodePartEvidence(message) shouldBe evidence
        decodeStatus(message) shouldBe null
        decodeTopicRecords(message) shouldBe null
        decode("{\"topic\":\"keyed.servers\",\"from\":1,\"records\":[]}") shouldBe null
    }

    // Guards against a malformed datagram that quarantines or releases a part.
    @Test
    fun `invalid entries are skipped`() {
        listOf("[]", "7", "[7,1]", "[\"p\"]", "[\"p\",\"1\"]", "[\"p\",-1]", "[\"p\",1.5]", "null", "{}").forAll { entry ->
            decode("{\"partEvidence\":{\"crashes\":[$entry],\"answers\":[$entry],\"quarantines\":[$entry]}}") shouldBe PartEvidence()
        }
        listOf("[\"p\",1]", "[\"p\",1,\"s\"]", "[\"p\",1,\"s\",2]", "[\"p\",1,\"s\",\"2\",\"d\"]").forAll { entry ->
            decode("{\"partEvidence\":{\"crashes\":[$entry]}}") shouldBe PartEvidence()
        }
        decode("{\"partEvidence\":{\"crashes\":7}}") shouldBe PartEvidence()
    }

    @Test
    fun `all shared evidence fits into a datagram`() {
        val largest = PartEvidence(List(24) { crash }, List(24) { PartAnswer(part, 2_900) }, List(24) { PartQuarantine(part, 590_000) })
        encodePartEvidence(largest).size shouldBeLessThanOrEqual 16_384
    }
}
