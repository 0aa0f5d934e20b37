/** Checks of names and references in the merged document. */
package org.hickorytiller.configuration

import org.hickorytiller.core.SettingsFault

/**
 * Returns all faults of names and references in [document], except those of customers. No other section refers to
 * customers, and their number can be large, so [updateOwners] checks customers, and only the changed ones.
 */
internal fun referenceFaults(document: ConfigurationDocument): List<SettingsFault> = buildList {
    addRouteFaults(document)
    addBudgetFaults(document)
    addPoolFaults(document)
    addNameFaults(Section.CLASSES, document.classes.keys.map { it.value })
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

internal fun MutableList<SettingsFault>.addNameFaults(section: Section, names: Collection<String>) {
    names.filterNot(::isName).forEach { add(SettingsFault("${section.key}.$it", NAME_RULE)) }
}

private fun isName(text: String) = text.length in 1..MAX_NAME_LENGTH && text.all { it in NAME_CHARACTERS }

private const val MAX_NAME_LENGTH = 64
private const val NAME_RULE = "a name needs 1 to 64 letters, digits, dots, hyphens or underscores"
private val NAME_CHARACTERS = (('a'..'z') + ('A'..'Z') + ('0'..'9') + listOf('.', '-', '_')).toSet()
