package org.hickorytiller.configuration

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

/** Guards against a log record or a snapshot that ends the task reading it. */
class UntrustedInputTest : AnnotationSpec() {
    // Jackson reports the faults of UTF-32, which it assumes here, with an exception that is none of its own.
    private val hostile =
        listOf(
            byteArrayOf(0, 0, 0, 16) + ByteArray(16) { 0xD8.toByte() },
            "[".repeat(200_000).toByteArray(),
            "9".repeat(200_000).toByteArray(),
        )

    @Test
    fun `a record, a state and a transfer in any bytes are faults`() = hostile.forAll {
        decodeConfigurationRecord(it).shouldBeInstanceOf<DecodedRecord.Malformed>()
        decodeState(it).isLeft() shouldBe true
        decodeTransfer(it).isLeft() shouldBe true
    }
}
