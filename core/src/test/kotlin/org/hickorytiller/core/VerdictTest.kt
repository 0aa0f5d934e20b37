package org.hickorytiller.core

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.shouldBe

class VerdictTest : AnnotationSpec() {
    private data class Case(val verdict: Verdict, val idempotent: Boolean, val retryAllowed: Boolean)

    @Test
    fun `non-idempotent request is retried only if it was not executed`() {
        listOf(
            Case(Verdict.NOT_RUN, idempotent = true, retryAllowed = true),
            Case(Verdict.NOT_RUN, idempotent = false, retryAllowed = true),
            Case(Verdict.MAY_HAVE_RUN, idempotent = true, retryAllowed = true),
            Case(Verdict.MAY_HAVE_RUN, idempotent = false, retryAllowed = false),
            Case(Verdict.RAN, idempotent = true, retryAllowed = false),
            Case(Verdict.RAN, idempotent = false, retryAllowed = false),
        ).forAll { it.verdict.allowsRetry(it.idempotent) shouldBe it.retryAllowed }
    }
}
