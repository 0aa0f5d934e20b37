/** Parses the entries of one section into the typed values of the document. */
package org.hickorytiller.configuration

import org.hickorytiller.core.ClassId
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.KeyHash
import org.hickorytiller.core.ModelId
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.RequestClass
import org.hickorytiller.core.SettingsReader
import org.hickorytiller.core.Tier

/** Returns the document with the entries of [section] in [reader] added or replaced. Other sections are not copied. */
internal fun ConfigurationDocument.withEntries(section: Section, reader: SettingsReader): ConfigurationDocument =
    when (section) {
        Section.CUSTOMERS -> copy(customers = customers + reader.tables(::customer).associateBy { it.id })
        Section.CLASSES -> copy(classes = classes + reader.tables(::requestClass).associateBy { it.id })
        Section.BUDGETS -> copy(budgets = budgets + reader.tables(::budget).associateBy { it.pool })
        Section.BACKEND_SERVERS -> copy(pools = pools + reader.tables(::pool).associateBy { it.id })
        Section.ROUTES -> copy(routes = mergeRoutes(routes, reader.tables(::route)))
    }

/** Returns the document without the entries [names] of [section]. */
internal fun ConfigurationDocument.without(section: Section, names: Collection<String>): ConfigurationDocument {
    if (names.isEmpty()) return this
    return when (section) {
        Section.CUSTOMERS -> copy(customers = customers - names.map(::CustomerId).toSet())
        Section.CLASSES -> copy(classes = classes - names.map(::ClassId).toSet())
        Section.BUDGETS -> copy(budgets = budgets - names.map(::PoolId).toSet())
        Section.BACKEND_SERVERS -> copy(pools = pools - names.map(::PoolId).toSet())
        Section.ROUTES -> copy(routes = routes.filter { it.name !in names })
    }
}

private fun mergeRoutes(before: List<RouteEntry>, changed: List<RouteEntry>): List<RouteEntry> {
    val names = changed.mapTo(HashSet()) { it.name }
    return (before.filter { it.name !in names } + changed).sortedBy { it.name }
}

private fun customer(name: String, reader: SettingsReader) = CustomerEntry(
    id = CustomerId(name),
    weight = reader.long("weight", 1L..MAX_WEIGHT, default = 1).toDouble(),
    requestsPerMinute = reader.int("requestsPerMinute", 0..MAX_COUNT, default = 0),
    maxConcurrent = reader.int("maxConcurrent", 0..MAX_COUNT, default = 0),
    keys = reader.strings("keyHashes").map { KeyHash(it) }.toSet(),
)

private fun requestClass(name: String, reader: SettingsReader) = RequestClass(
    id = ClassId(name),
    tier = Tier(reader.int("tier", 0..MAX_TIER)),
    firstTokenTargetMs = reader.long("firstTokenTargetMs", 1..MAX_TIME_MS),
    betweenTokensTargetMs = reader.long("betweenTokensTargetMs", 1..MAX_TIME_MS, default = MAX_TIME_MS),
    timeoutMs = reader.long("timeoutMs", 1..MAX_TIME_MS),
)

private fun budget(name: String, reader: SettingsReader) = Budget(
    pool = PoolId(name),
    maxCentsPerHour = reader.long("maxCentsPerHour", 0L..MAX_COUNT),
    centsPerServerHour = reader.long("centsPerServerHour", 0L..MAX_COUNT),
    centsPerReclaimableServerHour = reader.long("centsPerReclaimableServerHour", 0L..MAX_COUNT),
    minServers = reader.int("minServers", 0..MAX_COUNT, default = 1),
    maxServers = reader.int("maxServers", 0..MAX_COUNT),
)

private fun pool(name: String, reader: SettingsReader) = Pool(
    id = PoolId(name),
    kind = PoolKind.valueOf(reader.choice("kind", listOf("engine", "service")).uppercase()),
    model = reader.string("model", default = NO_MODEL).takeIf { it != NO_MODEL }?.let { ModelId(it) },
    checksFencingToken = reader.boolean("checksFencingToken", default = false),
)

private fun route(name: String, reader: SettingsReader) = RouteEntry(
    name = name,
    path = reader.string("path"),
    pool = PoolId(reader.string("pool")),
    open = reader.boolean("open", default = false),
    idempotent = reader.boolean("idempotent", default = false),
    classes = reader.strings("classes").map { ClassId(it) },
)

private const val NO_MODEL = "-"
private const val MAX_WEIGHT = 1_000L
private const val MAX_COUNT = 1_000_000_000
private const val MAX_TIER = 9
private const val MAX_TIME_MS = 86_400_000L
