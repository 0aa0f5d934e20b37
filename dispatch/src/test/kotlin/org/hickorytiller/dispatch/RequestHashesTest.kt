package org.hickorytiller.dispatch

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.CustomerId

class RequestHashesTest : AnnotationSpec() {
    @Test
    fun `guards against a fingerprint that depends on how its parts are cut`() {
        sha256Fingerprint(CustomerId("ab"), "c", ByteArray(0)) shouldBe sha256Fingerprint(CustomerId("ab"), "c", ByteArray(0))
        (sha256Fingerprint(CustomerId("a"), "bc", ByteArray(0)) == sha256Fingerprint(CustomerId("ab"), "c", ByteArray(0))) shouldBe false
    }
}
