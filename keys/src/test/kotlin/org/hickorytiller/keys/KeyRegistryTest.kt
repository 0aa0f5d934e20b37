package org.hickorytiller.keys

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.CustomerId

class KeyRegistryTest : AnnotationSpec() {
    private val hash = hashKey("secret")
    private val customer = CustomerId("clinic")

    @Test
    fun `guards against a withdrawn key that works again after a later grant`() {
        val registry = KeyRegistry()
        registry.replaceGrants(mapOf(hash to customer))
        registry.customerOf(hash) shouldBe customer
        registry.withdraw(hash) shouldBe true
        registry.replaceGrants(mapOf(hash to customer))
        registry.customerOf(hash) shouldBe null
    }

    @Test
    fun `guards against a running request that outlives the withdrawal of its key`() {
        val registry = KeyRegistry()
        registry.replaceGrants(mapOf(hash to customer))
        var ended = 0
        registry.attach(hash) { ended++ }
        registry.attach(hash) { ended++ }.close()
        registry.withdraw(hash)
        registry.withdraw(hash)
        ended shouldBe 1
        registry.useCount(hash) shouldBe 0
    }

    @Test
    fun `guards against a running request that outlives the removal of its grant`() {
        val registry = KeyRegistry()
        registry.replaceGrants(mapOf(hash to customer))
        var ended = 0
        registry.attach(hash) { ended++ }
        registry.replaceGrants(emptyMap())
        ended shouldBe 1
    }
}
