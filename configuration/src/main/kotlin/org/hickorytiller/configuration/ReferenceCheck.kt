/** Checks of the merged document that no single entry can decide: names, references and keys. */
package org.hickorytiller.configuration

import org.hickorytiller.core.KeyHash
import org.hickorytiller.core.SettingsFault
import org.hickorytiller.keys.parseKeyHash

/**
 * Every fault of [document] that a change of [section] can have caused; null checks all sections. Customers are
 * referred to by no other section, so their checks, the only ones that grow with their number, run only for a change
 * of theirs.
 */
internal fun referenceFaults(document: ConfigurationDocument, section: Section? = null): List<SettingsFault> =
    buildList {
        if (section == null || section == Section.CUSTOMERS) addCustomerFaults(document)
        if (section != Section.CUSTOMERS) {
            addRouteFaults(document)
            addBudgetFaults(document)
            addPoolFaults(document)
            addNameFaults(Section.CLASSES, document.classes.keys.map { it.value })
        }
    }

private fun MutableList<SettingsFault>.addCustomerFaults(document: ConfigurationDocument) {
    document.customers.values.forEach { customer ->
        val name = "customers.${customer.id}"
        if (!isName(customer.id.value)) add(SettingsFault(name, NAME_RULE))
        customer.keys.forEach { key ->
            if (parseKeyHash(key.value) == null) add(SettingsFault("$name.keyHashes", "$key is not a SHA-256 hash"))
            val owner = document.keyOwners[key]
            if (owner !=
                customer.id
            ) {
                add(SettingsFault("$name.keyHashes", "key $key belongs to customer $owner already"))
            }
        }
    }
}

private fun MutableList<SettingsFault>.addRouteFaults(document: ConfigurationDocument) {
    addNameFaults(Section.ROUTES, document.routes.map { it.name })
    document.routes.forEach { route ->
        val name = "routes.${route.name}"
        if (!route.path.startsWith("/")) add(SettingsFault("$name.path", "must begin with /, found \"${route.path}\""))
        if (route.pool !in document.pools) add(SettingsFault("$name.pool", "unknown pool ${route.pool}"))
        if (route.classes.isEmpty()) add(SettingsFault("$name.classes", "needs at least one class"))
        route.classes
            .filter { it !in document.classes }
            .forEach { add(SettingsFault("$name.classes", "unknown class $it")) }
    }
    document.routes
        .groupBy { it.path to document.pools[it.pool]?.model }
        .values
        .filter { it.size > 1 }
        .forEach { add(SettingsFault("routes.${it[1].name}.path", "same path and model as route ${it[0].name}")) }
}

private fun MutableList<SettingsFault>.addBudgetFaults(document: ConfigurationDocument) {
    document.budgets.values.forEach { budget ->
        val name = "budgets.${budget.pool}"
        if (budget.pool !in document.pools) add(SettingsFault(name, "unknown pool ${budget.pool}"))
        if (budget.minServers > budget.maxServers) {
            add(SettingsFault("$name.maxServers", "${budget.maxServers} is below minServers ${budget.minServers}"))
        }
    }
}

private fun MutableList<SettingsFault>.addPoolFaults(document: ConfigurationDocument) {
    addNameFaults(Section.BACKEND_SERVERS, document.pools.keys.map { it.value })
    document.pools.values
        .filter { it.kind == PoolKind.ENGINE && it.model == null }
        .forEach { add(SettingsFault("backendServers.${it.id}.model", "missing; a pool of engines needs a model")) }
}

private fun MutableList<SettingsFault>.addNameFaults(section: Section, names: Collection<String>) {
    names.filterNot(::isName).forEach { add(SettingsFault("${section.key}.$it", NAME_RULE)) }
}

private fun isName(text: String) = text.length in 1..MAX_NAME_LENGTH && text.all { it in NAME_CHARACTERS }

private const val MAX_NAME_LENGTH = 64
private const val NAME_RULE = "a name needs 1 to 64 letters, digits, dots, hyphens or underscores"
private val NAME_CHARACTERS = (('a'..'z') + ('A'..'Z') + ('0'..'9') + listOf('.', '-', '_')).toSet()

/** Faults of keys in the customers section that were granted to another customer on their own. */
internal fun keyConflicts(document: ConfigurationDocument, grants: Map<KeyHash, KeyGrant>): List<SettingsFault> =
    grants.mapNotNull { (key, grant) ->
        val owner = document.keyOwners[key]
        if (owner == null || owner == grant.customer) return@mapNotNull null
        SettingsFault("customers.$owner.keyHashes", "key $key belongs to customer ${grant.customer} already")
    }
