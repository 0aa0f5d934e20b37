package org.hickorytiller.configuration

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import java.io.File

class ConfigurationParserTest : AnnotationSpec() {
    private data class Case(val text: String, val fault: String)

    @Test
    fun `each fault of a document is reported with its line and name`() {
        listOf(
            Case("[customers.a]\nweigth = 2\n", "line 2: customers.a.weigth: unknown name"),
            Case("[customer.a]\n", "line 1: customer: unknown name"),
            Case("[customers.a]\nweight = 0\n", "line 2: customers.a.weight: expected a value from 1 to 1000, found 0"),
            Case("[customers.a]\nweight = \"2\"\n", "line 2: customers.a.weight: expected an integer"),
            Case("[customers.a]\nkeyHashes = [\"abc\"]\n", "line 2: customers.a.keyHashes: abc is not a SHA-256 hash"),
            Case("[customers.\"a b\"]\n", "line 1: customers.a b: a name needs 1 to 64 letters, digits, dots, hyphens or underscores"),
            Case("\n[classes.c]\ntier = 0\ntimeoutMs = 5\n", "line 2: classes.c.firstTokenTargetMs: missing"),
            Case("[budgets.x]\n", "line 1: budgets.x: unknown pool x"),
            Case("[backendServers.x]\nkind = \"engine\"\n", "line 1: backendServers.x.model: missing; a pool of engines needs a model"),
            Case("[backendServers.x]\nkind = \"disk\"\n", "line 2: backendServers.x.kind: expected one of engine, service, found \"disk\""),
            Case("[routes.r]\npath = \"x\"\npool = \"p\"\nclasses = [\"c\"]\n", "line 3: routes.r.pool: unknown pool p"),
            Case("[routes.r]\npath = \"x\"\npool = \"p\"\nclasses = [\"c\"]\n", "line 2: routes.r.path: must begin with /, found \"x\""),
            Case("[routes.r]\npath = \"/x\"\npool = \"p\"\n", "line 1: routes.r.classes: needs at least one class"),
            Case("[customers.a]\nweight = 1\nweight = 2\n", "line 3: Duplicate key"),
        ).forAll { case -> faultsOf(case.text) shouldContain case.fault }
    }

    @Test
    fun `all faults of a document are reported together`() {
        val text = exampleDocument.replace("weight = 2", "weight = -2").replace("pool = \"chat\"", "pool = \"chit\"").replace("maxServers = 8", "")
        faultsOf(text) shouldBe
            listOf(
                "line 2: customers.clinic.weight: expected a value from 1 to 1000, found -2",
                "line 10: budgets.chat.maxServers: missing",
                "line 22: routes.chat.pool: unknown pool chit",
            )
    }

    @Test
    fun `a section that the document lacks keeps its accepted entries`() {
        val base = parseDocument(exampleDocument).getOrNull()!!.document
        val parsed = parseDocument("[customers.other]\n", base).getOrNull()!!
        parsed.sections shouldBe setOf(Section.CUSTOMERS)
        parsed.document shouldBe base.copy(customers = parsed.document.customers)
        parsed.document.customers.keys.map { it.value } shouldBe listOf("other")
    }

    @Test
    fun `two routes of the same path and model are rejected, since one would never be used`() {
        val more = "[routes.twin]\npath = \"/v1/chat/completions\"\npool = \"chat\"\nclasses = [\"reports\"]\n"
        faultsOf(exampleDocument + more) shouldBe listOf("line 26: routes.twin.path: same path and model as route chat")
    }

    @Test
    fun `a document written as TOML parses to the same document`() {
        val document = parseDocument(exampleDocument).getOrNull()!!.document
        val text = Section.entries.joinToString("") { sectionText(it, document.entries(it)) }
        parseDocument(text).getOrNull()!!.document shouldBe document
    }

    @Test
    fun `the example document in the repository is valid`() {
        faultsOf(File("../examples/configuration.toml").readText()) shouldBe emptyList()
    }

    private fun faultsOf(text: String): List<String> = parseDocument(text).fold({ faults -> faults.map { it.toString() } }, { emptyList() })
}
