package org.hickorytiller.router

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.shouldBe

/** Guards against a load report or a request body that ends the task reading it. */
class UntrustedInputTest : AnnotationSpec() {
    // Jackson reports the faults of UTF-32, which it assumes here, with an exception that is none of its own.
    private val hostile =
        listOf(
            byteArrayOf(0, 0, 0, 16) + ByteArray(16) { 0xD8.toByte() },
            "[".repeat(200_000).toByteArray(),
            "9".repeat(200_000).toByteArray(),
        )

    @Test
    fun `a load report in any bytes counts as none, and a request body is rejected`() = hostile.forAll {
        parseLoadReport(it) shouldBe null
        parseChatRequest(it).isLeft() shouldBe true
    }
}
