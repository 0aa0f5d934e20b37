/** Documents and records shared by several tests. */
package org.hickorytiller.configuration

import org.hickorytiller.core.LogOffset
import org.hickorytiller.keys.hashKey

internal val exampleDocument =
    """
    [customers.clinic]
    weight = 2
    keyHashes = ["${hashKey("clinic").value}"]

    [classes.reports]
    tier = 1
    firstTokenTargetMs = 1500
    timeoutMs = 60000

    [budgets.chat]
    maxCentsPerHour = 4000
    centsPerServerHour = 400
    centsPerReclaimableServerHour = 150
    maxServers = 8

    [backendServers.chat]
    kind = "engine"
    model = "writer"

    [routes.chat]
    path = "/v1/chat/completions"
    pool = "chat"
    idempotent = true
    classes = ["reports"]
    """.trimIndent() + "\n"

internal fun customersText(count: Int): String = buildString {
    repeat(count) { append("[customers.customer-$it]\nkeyHashes = [\"${hashKey("key-$it").value}\"]\n") }
}

internal fun proposal(section: Section, base: Long, content: String, id: String = "p-$base", removed: List<String> = emptyList()) = SectionProposed(id, section.key, base, "operator", content, removed)

/** Returns the state after [records], whose offsets are their indices. */
internal fun stateOf(vararg records: ConfigurationRecord): ConfigurationState = records.foldIndexed(ConfigurationState()) { offset, state, record -> state.apply(record, LogOffset(offset.toLong())) }

/** Returns the state after the sections of the example document were published one by one. */
internal fun exampleState(): ConfigurationState {
    val document = parseDocument(exampleDocument).getOrNull()!!.document
    val order = listOf(Section.CUSTOMERS, Section.CLASSES, Section.BACKEND_SERVERS, Section.BUDGETS, Section.ROUTES)
    return order.fold(ConfigurationState()) { state, section ->
        val change = diff(state.document, document, section)
        sectionProposals("p-${section.key}", section, state.offsetOf(section), "operator", change)
            .fold(state) { current, record -> current.apply(record, current.offset.next()) }
    }
}
