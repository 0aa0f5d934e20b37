package org.hickorytiller.mesh

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.BackendServerId
import org.hickorytiller.core.parseTree
import org.hickorytiller.placement.RateLimitNotice

class RateLimitCodecTest : AnnotationSpec() {
    private fun decode(text: String) = decodeRateLimits(parseTree(text.toByteArray()).shouldNotBeNull())

    @Test
    fun `notices are decoded as they were encoded and are no other kind of message`() {
        val notices = listOf(RateLimitNotice(BackendServerId("i-1"), 1.25, 40), RateLimitNotice(BackendServerId("i-2"), null, 0))
        val message = parseTree(encodeRateLimits(notices)).shouldNotBeNull()
        decodeRateLimits(message) shouldBe notices
        decodeStatus(message) shouldBe null
        decodeCrashEvidence(message) shouldBe null
        decode("{}") shouldBe null
    }

    // Guards against a malformed datagram that stops the use of a server.
    @Test
    fun `invalid notices are skipped`() {
        listOf("7", "[]", "[\"s\"]", "[\"s\",1.0]", "[\"s\",\"1\",2]", "[\"s\",-1,2]", "[\"s\",1,-2]", "[7,1,2]", "[\"s\",true,2]").forAll {
            decode("{\"rateLimits\":[$it]}") shouldBe emptyList()
        }
    }

    @Test
    fun `all shared notices fit into a datagram`() {
        val notices = List(200) { RateLimitNotice(BackendServerId("i-0123456789ab"), 123.456789, 2_900) }
        encodeRateLimits(notices).size shouldBeLessThanOrEqual 16_384
    }
}
