package org.hickorytiller.dispatch

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.CustomerId

class RequestFingerprintTest : AnnotationSpec() {
    @Test
    fun `guards against a fingerprint that depends on how its parts are cut`() {
        fingerprint(CustomerId("ab"), "c", ByteArray(0)) shouldBe fingerprint(CustomerId("ab"), "c", ByteArray(0))
        (fingerprint(CustomerId("a"), "bc", ByteArray(0)) == fingerprint(CustomerId("ab"), "c", ByteArray(0))) shouldBe false
    }
}
