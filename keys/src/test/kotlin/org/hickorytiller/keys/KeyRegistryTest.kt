package org.hickorytiller.keys

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.shouldBe
import org.hickorytiller.core.CustomerId

class KeyRegistryTest : AnnotationSpec() {
    private val hash = hashKey("secret")
    private val customer = CustomerId("clinic")

    @Test
    fun `a withdrawn key stays invalid after a later grant`() {
        val registry = KeyRegistry()
        registry.replaceGrants(mapOf(hash to customer))
        registry.customerOf(hash) shouldBe customer
        registry.withdraw(hash) shouldBe true
        registry.replaceGrants(mapOf(hash to customer))
        registry.customerOf(hash) shouldBe null
    }

    @Test
    fun `a key withdrawal ends the open registrations of the key once`() {
        val registry = KeyRegistry()
        registry.replaceGrants(mapOf(hash to customer))
        var ended = 0
        registry.register(hash) { ended++ }
        registry.register(hash) { ended++ }.close()
        registry.withdraw(hash)
        registry.withdraw(hash)
        ended shouldBe 1
        registry.registrationCount(hash) shouldBe 0
    }

    @Test
    fun `the removal of a grant ends the registrations of the key`() {
        val registry = KeyRegistry()
        registry.replaceGrants(mapOf(hash to customer))
        var ended = 0
        registry.register(hash) { ended++ }
        registry.replaceGrants(emptyMap())
        ended shouldBe 1
    }

    @Test
    fun `a registration after the withdrawal of its key is ended immediately`() {
        val registry = KeyRegistry()
        registry.grant(hash, customer)
        registry.withdraw(hash)
        var ended = 0
        registry.register(hash) { ended++ }.close()
        ended shouldBe 1
        registry.registrationCount(hash) shouldBe 0
    }

    @Test
    fun `a grant of the key to another customer ends its registrations`() {
        val registry = KeyRegistry()
        registry.grant(hash, customer)
        var ended = 0
        registry.register(hash) { ended++ }
        registry.grant(hash, customer)
        ended shouldBe 0
        registry.grant(hash, CustomerId("other"))
        ended shouldBe 1
    }

    @Test
    fun `an update of some grants does not affect other keys`() {
        val registry = KeyRegistry()
        val kept = hashKey("kept")
        registry.replaceGrants(mapOf(hash to customer, kept to customer))
        var ended = 0
        registry.register(hash) { ended++ }
        registry.register(kept) { ended += 10 }
        registry.updateGrants(mapOf(hash to null, hashKey("new") to customer, hashKey("unknown") to null))
        ended shouldBe 1
        listOf(hash, kept, hashKey("new")).map { registry.customerOf(it) } shouldBe listOf(null, customer, customer)
    }

    @Test
    fun `a registration can close itself while a withdrawal ends it`() {
        val registry = KeyRegistry()
        registry.grant(hash, customer)
        val closed = mutableListOf<Int>()
        lateinit var first: KeyRegistry.Registration
        first =
            registry.register(hash) {
                first.close()
                closed += 1
            }
        registry.register(hash) { closed += 2 }
        registry.withdraw(hash)
        closed shouldBe listOf(1, 2)
    }

    @Test
    fun `a withdrawal visits only the registrations of its key at 24,000 customers`() {
        val registry = KeyRegistry()
        val hashes = (0 until 24_000).map { hashKey("key-$it") }
        registry.replaceGrants(hashes.withIndex().associate { (i, it) -> it to CustomerId("customer-$i") })
        var ended = 0
        hashes.forEach { hash -> repeat(3) { registry.register(hash) { ended++ } } }
        registry.withdraw(hashes[12_345])
        ended shouldBe 3
        registry.endedRegistrationCount shouldBe 3
        hashes.sumOf { registry.registrationCount(it) } shouldBe 3 * 23_999
    }

    @Test
    fun `text other than 64 lower-case hexadecimal digits is not parsed as a key hash`() {
        parseKeyHash(hash.value) shouldBe hash
        listOf("", "secret", hash.value.uppercase(), hash.value.drop(1), hash.value + "0", "g" + hash.value.drop(1)).forAll {
            parseKeyHash(it) shouldBe null
        }
    }
}
