package org.hickorytiller.dispatch

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.CustomerId

class RequestHashesTest : AnnotationSpec() {
    @Test
    fun `parts that concatenate to the same text have different fingerprints`() {
        sha256Fingerprint(CustomerId("ab"), "c", ByteArray(0)) shouldBe sha256Fingerprint(CustomerId("ab"), "c", ByteArray(0))
        (sha256Fingerprint(CustomerId("a"), "bc", ByteArray(0)) == sha256Fingerprint(CustomerId("ab"), "c", ByteArray(0))) shouldBe false
    }
}
