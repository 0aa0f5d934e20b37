package org.hickorytiller.mesh

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.FailureDomain
import org.hickorytiller.core.parseTree
import org.hickorytiller.quarantine.CrashEvidence
import org.hickorytiller.quarantine.Fingerprint
import org.hickorytiller.quarantine.FingerprintAnswer
import org.hickorytiller.quarantine.FingerprintCrash
import org.hickorytiller.quarantine.FingerprintQuarantine
import org.hickorytiller.quarantine.ServerIncarnation

class CrashEvidenceCodecTest : AnnotationSpec() {
    private val fingerprint = Fingerprint("a67967b6-16-1234-customer-with-name")
    private val crash = FingerprintCrash(fingerprint, ServerIncarnation(BackendServerId("i-0123456789"), 1_796_387_703_962), FailureDomain("cl-central-a"), 40)
    private val evidence = CrashEvidence(listOf(crash), listOf(FingerprintAnswer(fingerprint, 50)), listOf(FingerprintQuarantine(fingerprint, 60)))

    private fun decode(text: String) = decodeCrashEvidence(parseTree(text.toByteArray()).shouldNotBeNull())

    @Test
    fun `evidence is decoded as it was encoded and is no other kind of message`() {
        val message = parseTree(encodeCrashEvidence(evidence)).shouldNotBeNull()
        decodeCrashEvidence(message) shouldBe evidence
        decodeStatus(message) shouldBe null
        decodeTopicRecords(message) shouldBe null
        decode("{\"topic\":\"keyed.servers\",\"from\":1,\"records\":[]}") shouldBe null
    }

    // Guards against a malformed datagram that quarantines or releases a part.
    @Test
    fun `invalid entries are skipped`() {
        listOf("[]", "7", "[7,1]", "[\"p\"]", "[\"p\",\"1\"]", "[\"p\",-1]", "[\"p\",1.5]", "null", "{}").forAll { entry ->
            decode("{\"crashEvidence\":{\"crashes\":[$entry],\"answers\":[$entry],\"quarantines\":[$entry]}}") shouldBe CrashEvidence()
        }
        listOf("[\"p\",1]", "[\"p\",1,\"s\"]", "[\"p\",1,\"s\",2]", "[\"p\",1,\"s\",\"2\",\"d\"]").forAll { entry ->
            decode("{\"crashEvidence\":{\"crashes\":[$entry]}}") shouldBe CrashEvidence()
        }
        decode("{\"crashEvidence\":{\"crashes\":7}}") shouldBe CrashEvidence()
    }

    @Test
    fun `all shared evidence fits into a datagram`() {
        val largest = CrashEvidence(List(64) { crash }, List(64) { FingerprintAnswer(fingerprint, 2_900) }, List(64) { FingerprintQuarantine(fingerprint, 590_000) })
        encodeCrashEvidence(largest).size shouldBeLessThanOrEqual 16_384
    }
}
