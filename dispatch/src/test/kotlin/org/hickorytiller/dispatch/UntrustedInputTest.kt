package org.hickorytiller.dispatch

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.shouldBe

/** Guards against an event or a log record that ends the task reading it. */
class UntrustedInputTest : AnnotationSpec() {
    // Jackson reports the faults of UTF-32, which it assumes here, with an exception that is none of its own.
    private val hostile =
        listOf(
            byteArrayOf(0, 0, 0, 16) + ByteArray(16) { 0xD8.toByte() },
            "[".repeat(200_000).toByteArray(),
            "9".repeat(200_000).toByteArray(),
        )

    @Test
    fun `an event, a response and an intent record in any bytes are read as faulty`() = hostile.forAll {
        parseUsage(it) shouldBe null
        parseCompletionEvent(String(it)).tokens shouldBe 0
        decodeIntents(it).isLeft() shouldBe true
    }
}
