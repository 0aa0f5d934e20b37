/**
 * Converts the entries of a document to JSON objects and TOML, the inverse of the parser. Documents are compared by
 * their parsed values, so an explicit default is equal to an omitted one.
 */
package org.hickorytiller.configuration

import com.fasterxml.jackson.databind.node.ObjectNode
import org.hickorytiller.core.RequestClass
import org.hickorytiller.core.json
import java.util.TreeMap

/** The change of one section: new and changed entries by name, and the names of removed entries. */
data class SectionChange(val changed: Map<String, ObjectNode>, val removed: List<String>) {
    val isEmpty: Boolean get() = changed.isEmpty() && removed.isEmpty()
}

/** Returns the entries of [section] by name, sorted by name. */
fun ConfigurationDocument.entries(section: Section): Map<String, ObjectNode> =
    valuesByName(section).mapValuesTo(TreeMap()) { toJson(it.value) }

/** Returns the change of [section] from [before] to [after]. */
fun diff(before: ConfigurationDocument, after: ConfigurationDocument, section: Section): SectionChange {
    val old = before.valuesByName(section)
    val new = after.valuesByName(section)
    return SectionChange(
        changed = new.filter { (name, value) -> old[name] != value }.mapValuesTo(TreeMap()) { toJson(it.value) },
        removed = (old.keys - new.keys).sorted(),
    )
}

/** Returns [entries] of [section] as TOML. */
fun sectionText(section: Section, entries: Map<String, ObjectNode>): String = buildString {
    entries.forEach { (name, entry) ->
        append('[').append(section.key).append('.').append(tomlKey(name)).append("]\n")
        // Numbers, booleans, strings and lists of strings have the same syntax in JSON and TOML.
        entry.properties().forEach { (key, value) -> append(key).append(" = ").append(value).append('\n') }
        append('\n')
    }
}

private fun tomlKey(name: String) = if ('.' in name) "\"$name\"" else name

private fun ConfigurationDocument.valuesByName(section: Section): Map<String, Any> = when (section) {
    Section.CUSTOMERS -> customers.mapKeys { it.key.value }
    Section.CLASSES -> classes.mapKeys { it.key.value }
    Section.BUDGETS -> budgets.mapKeys { it.key.value }
    Section.BACKEND_SERVERS -> pools.mapKeys { it.key.value }
    Section.ROUTES -> routes.associateBy { it.name }
}

private fun toJson(value: Any): ObjectNode {
    val entry = json.createObjectNode()
    when (value) {
        is CustomerEntry -> entry.fill(value)
        is RequestClass -> entry.fill(value)
        is Budget -> entry.fill(value)
        is Pool -> entry.fill(value)
        is RouteEntry -> entry.fill(value)
        else -> error("no section has entries of ${value::class}")
    }
    return entry
}

private fun ObjectNode.fill(customer: CustomerEntry) {
    put("weight", customer.weight.toLong())
    put("requestsPerMinute", customer.requestsPerMinute)
    put("maxConcurrent", customer.maxConcurrent)
    putStrings("keyHashes", customer.keys.map { it.value }.sorted())
}

private fun ObjectNode.fill(requestClass: RequestClass) {
    put("tier", requestClass.tier.value)
    put("firstTokenTargetMs", requestClass.firstTokenTargetMs)
    put("betweenTokensTargetMs", requestClass.betweenTokensTargetMs)
    put("timeoutMs", requestClass.timeoutMs)
}

private fun ObjectNode.fill(budget: Budget) {
    put("maxCentsPerHour", budget.maxCentsPerHour)
    put("centsPerServerHour", budget.centsPerServerHour)
    put("centsPerReclaimableServerHour", budget.centsPerReclaimableServerHour)
    put("minServers", budget.minServers)
    put("maxServers", budget.maxServers)
}

private fun ObjectNode.fill(pool: Pool) {
    put("kind", pool.kind.name.lowercase())
    pool.model?.let { put("model", it.value) }
    put("checksFencingToken", pool.checksFencingToken)
}

private fun ObjectNode.fill(route: RouteEntry) {
    put("path", route.path)
    put("pool", route.pool.value)
    put("open", route.open)
    put("idempotent", route.idempotent)
    putStrings("classes", route.classes.map { it.value })
}

private fun ObjectNode.putStrings(name: String, values: List<String>) {
    val array = putArray(name)
    values.forEach { array.add(it) }
}
