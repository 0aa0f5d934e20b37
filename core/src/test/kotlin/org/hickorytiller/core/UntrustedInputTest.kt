package org.hickorytiller.core

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

/** Guards against a record or a settings file that ends the task reading it. */
class UntrustedInputTest : AnnotationSpec() {
    // Jackson reports the faults of UTF-32, which it assumes here, with an exception that is none of its own.
    private val binary = byteArrayOf(0, 0, 0, 16) + ByteArray(16) { 0xD8.toByte() }

    @Test
    fun `a record in any bytes is malformed`() {
        listOf(binary, "[".repeat(200_000).toByteArray(), "9".repeat(200_000).toByteArray()).forAll {
            decodeRecord(it, Map::class.java, newestSchema = 1).leftOrNull().shouldBeInstanceOf<RecordFault.Malformed>()
            parseTree(it) shouldBe null
        }
    }

    // The platform may write the file while it is read.
    @Test
    fun `an empty or truncated settings file is a fault`() {
        listOf("", " ", "a = ", "a = [", "\u0000", "a = " + "[".repeat(50_000)).forAll { text ->
            readSettings(text) { it.string("name") }.isLeft() shouldBe true
        }
    }

    @Test
    fun `a decoder that exhausts the stack or throws returns a fault`() {
        fun recurse(depth: Int): Int = 1 + recurse(depth + 1)
        decodeUntrusted { recurse(0) }.isLeft() shouldBe true
        decodeUntrusted { error("x") }.leftOrNull() shouldBe DecodingFault("x")
        decodeUntrusted { 1 }.getOrNull() shouldBe 1
    }
}
