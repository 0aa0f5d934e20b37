package org.hickorytiller.configuration

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.maps.shouldNotContainKey
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.matchers.types.shouldBeSameInstanceAs
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.KeyHash
import org.hickorytiller.core.LogOffset
import org.hickorytiller.keys.hashKey

class ConfigurationStateTest : AnnotationSpec() {
    private val clinic = "[customers.clinic]\nweight = 2\n"
    private val key = hashKey("key").value

    @Test
    fun `a second proposal on the same base is rejected as a conflict`() {
        val first = stateOf(proposal(Section.CUSTOMERS, -1, clinic))
        val second = first.transition(proposal(Section.CUSTOMERS, -1, "[customers.clinic]\nweight = 9\n"), LogOffset(1))
        second.outcome shouldBe ApplyOutcome.Rejected(Rejection.Conflict(LogOffset(0)))
        second.state shouldBe first.withOffset(LogOffset(1))
    }

    @Test
    fun `changes of different sections do not conflict`() {
        val state = exampleState()
        Section.entries.map { state.offsetOf(it).value }.toSet().size shouldBe Section.entries.size
        state.document shouldBe parseDocument(exampleDocument).getOrNull()!!.document
    }

    @Test
    fun `a change that leaves a dangling reference is rejected`() {
        val state = exampleState()
        val removal = proposal(Section.CLASSES, state.offsetOf(Section.CLASSES).value, "", removed = listOf("reports"))
        val transition = state.transition(removal, state.offset.next())
        val rejection = transition.outcome.shouldBeInstanceOf<ApplyOutcome.Rejected>().rejection
        rejection.shouldBeInstanceOf<Rejection.Invalid>().faults shouldBe listOf("routes.chat.classes: unknown class reports")
        transition.state.document shouldBe state.document
    }

    @Test
    fun `a withdrawn key stays inactive whatever the order of grants and withdrawals`() {
        val withdrawal = KeyWithdrawn(key)
        val grant = KeyGranted("clinic", key, "")
        val section = proposal(Section.CUSTOMERS, -1, "[customers.clinic]\nkeyHashes = [\"$key\"]\n")
        val plain = proposal(Section.CUSTOMERS, -1, clinic)
        listOf(
            stateOf(plain, grant, withdrawal),
            stateOf(plain, withdrawal, grant),
            stateOf(withdrawal, plain, grant, withdrawal, grant),
            stateOf(withdrawal, section),
            stateOf(section, withdrawal, proposal(Section.CUSTOMERS, 0, "[customers.other]\n", "p-2")),
        ).forAll { it.activeKeys() shouldNotContainKey KeyHash(key) }
    }

    @Test
    fun `a key cannot belong to two customers`() {
        val state = stateOf(proposal(Section.CUSTOMERS, -1, clinic + "[customers.other]\n"), KeyGranted("clinic", key, "desk"))
        state.activeKeys() shouldBe mapOf(KeyHash(key) to CustomerId("clinic"))
        val again = state.transition(KeyGranted("clinic", key, "desk"), LogOffset(2))
        again.outcome shouldBe ApplyOutcome.Accepted
        val other = state.transition(KeyGranted("other", key, "desk"), LogOffset(2))
        other.outcome.shouldBeInstanceOf<ApplyOutcome.Rejected>()
        other.state.activeKeys() shouldBe state.activeKeys()
        val listed = state.transition(proposal(Section.CUSTOMERS, 0, "[customers.other]\nkeyHashes = [\"$key\"]\n"), LogOffset(2))
        listed.outcome.shouldBeInstanceOf<ApplyOutcome.Rejected>()
    }

    @Test
    fun `a recreated customer does not inherit the keys of the removed one`() {
        val state =
            stateOf(
                proposal(Section.CUSTOMERS, -1, clinic),
                KeyGranted("clinic", key, ""),
                proposal(Section.CUSTOMERS, 0, "", "remove", listOf("clinic")),
                proposal(Section.CUSTOMERS, 2, clinic, "again"),
            )
        state.document.customers.keys shouldBe setOf(CustomerId("clinic"))
        state.activeKeys() shouldBe emptyMap()
    }

    @Test
    fun `a grant to an unknown customer has no effect`() {
        stateOf(KeyGranted("nobody", key, "")).activeKeys() shouldBe emptyMap()
    }

    @Test
    fun `a proposal in parts is accepted as a whole in any order of its parts`() {
        val document = parseDocument(customersText(3_000)).getOrNull()!!.document
        val change = diff(ConfigurationDocument(), document, Section.CUSTOMERS)
        val parts = sectionProposals("big", Section.CUSTOMERS, LogOffset.NONE, "operator", change)
        (parts.size > 1) shouldBe true
        parts.forAll { (encodeConfigurationRecord(it).size < MAX_RECORD_BYTES) shouldBe true }
        // Neither a duplicate part, as after a lost response, nor the order of the parts affects the result.
        val records = parts.reversed().dropLast(1) + parts.last() + parts.first()
        val before = stateOf(*records.dropLast(1).toTypedArray())
        before.document.customers.size shouldBe 0
        val after = before.transition(records.last(), before.offset.next())
        after.outcome shouldBe ApplyOutcome.Accepted
        after.state.document shouldBe document
        after.state.pending.shouldBeEmpty()
        after.state.offsetOf(Section.CUSTOMERS) shouldBe after.state.offset
    }

    @Test
    fun `the number of incomplete proposals is limited`() {
        val state =
            (0 until 100).fold(ConfigurationState()) { state, i ->
                state.apply(proposal(Section.CUSTOMERS, -1, clinic, "p-$i").copy(parts = 2), LogOffset(i.toLong()))
            }
        state.pending.map { it.proposalId } shouldBe (92 until 100).map { "p-$it" }
    }

    @Test
    fun `a change of one section reuses the objects of the others instead of parsing them again`() {
        val state = exampleState()
        val change = proposal(Section.CLASSES, state.offsetOf(Section.CLASSES).value, "[classes.more]\ntier=2\nfirstTokenTargetMs=1\ntimeoutMs=9\n")
        val next = state.apply(change, state.offset.next())
        next.document.classes.size shouldBe 2
        next.document.customers shouldBeSameInstanceAs state.document.customers
        next.document.pools shouldBeSameInstanceAs state.document.pools
        next.document.routes shouldBeSameInstanceAs state.document.routes
        next.grants shouldBeSameInstanceAs state.grants
        next.owners shouldBeSameInstanceAs state.owners
    }

    @Test
    fun `a change of one customer keeps the entries of the others at 24,000 customers`() {
        val document = parseDocument(customersText(24_000)).getOrNull()!!.document
        val state = ConfigurationState(LogOffset(0), mapOf(Section.CUSTOMERS to LogOffset(0)), document = document)
        val transition = state.transition(proposal(Section.CUSTOMERS, 0, "[customers.customer-7]\nweight = 5\n"), LogOffset(1))
        transition.keyChanges shouldBe mapOf(hashKey("key-7") to null)
        val after = transition.state.document
        val change = diff(document, after, Section.CUSTOMERS)
        change.changed.keys shouldBe setOf("customer-7")
        change.removed.shouldBeEmpty()
        document.customers.filter { (id, customer) -> after.customers[id] !== customer }.keys shouldBe setOf(CustomerId("customer-7"))
    }

    @Test
    fun `invalid section contents on the stream are rejected without an exception`() {
        val deep = "a = " + "[".repeat(20_000)
        listOf(
            "[customers.a", "x", "= 3", "customers = 3", "customers = [1, 2]", "[[customers]]", "[customers.a]\nweight = 1\n[customers.a]\n",
            "[classes.c]\ntier=0", "[customers.a]\nweight = 99999999999999999999", "[customers.a]\nkeyHashes = [\"x\"]",
            "[customers.\"a b\"]", "[customers.a]\nweight = 2021-99-99", "\u0000", deep, "[customers.a]\nunknown = 1",
            "[customers.a]\nweight = inf", "a.".repeat(20_000) + "b = 1", "[customers.a]\nweight = 0x", "[customers.a]\nx = \"\\u00ZZ\"",
        ).forAll { content ->
            val transition = ConfigurationState().transition(proposal(Section.CUSTOMERS, -1, content), LogOffset(0))
            transition.outcome.shouldBeInstanceOf<ApplyOutcome.Rejected>()
            transition.state shouldBe ConfigurationState(offset = LogOffset(0))
        }
    }

    @Test
    fun `the key changes of a transition agree with a full comparison of the keys`() {
        val first = stateOf(proposal(Section.CUSTOMERS, -1, "[customers.a]\nkeyHashes = [\"$key\"]\n[customers.b]\n"), KeyGranted("b", hashKey("b").value, ""))
        listOf(
            proposal(Section.CUSTOMERS, 0, "[customers.b]\nkeyHashes = [\"$key\"]\n[customers.a]\n"),
            proposal(Section.CUSTOMERS, 0, "", removed = listOf("a", "b", "nobody")),
            proposal(Section.CUSTOMERS, 0, "[customers.a]\nkeyHashes = [\"$key\", \"${hashKey("n").value}\"]\n"),
            KeyWithdrawn(key),
            KeyWithdrawn(hashKey("b").value),
            KeyGranted("a", hashKey("g").value, ""),
            KeyGranted("nobody", hashKey("g").value, ""),
        ).forAll { record ->
            val transition = first.transition(record, LogOffset(2))
            val expected = first.activeKeys().toMutableMap()
            transition.keyChanges.forEach { (hash, customer) -> if (customer == null) expected -= hash else expected[hash] = customer }
            transition.state.activeKeys() shouldBe expected
            transition.state.owners shouldBe ownersOf(transition.state.document).owners
        }
    }

    @Test
    fun `a proposal for an unknown section is rejected`() {
        val transition = ConfigurationState().transition(SectionProposed("p", "extras", -1, "o", ""), LogOffset(0))
        transition.outcome.toString() shouldContain "unknown section extras"
    }
}
