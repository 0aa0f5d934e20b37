/**
 * Parses sections of the configuration document from TOML and checks the references between them.
 */
package org.hickorytiller.configuration

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.node.ObjectNode
import org.hickorytiller.core.ClassId
import org.hickorytiller.core.CustomerId
import org.hickorytiller.core.KeyHash
import org.hickorytiller.core.ModelId
import org.hickorytiller.core.PoolId
import org.hickorytiller.core.RequestClass
import org.hickorytiller.core.SettingsFault
import org.hickorytiller.core.SettingsReader
import org.hickorytiller.core.Tier
import org.hickorytiller.core.readSettings
import org.hickorytiller.core.toml

/**
 * Splits a whole document into the TOML text of its sections, for publishing each on its own. A name that is not a
 * section is a fault.
 */
fun splitSections(text: String): Either<List<SettingsFault>, Map<Section, String>> {
    val root =
        try {
            toml.readTree(text) as ObjectNode
        } catch (e: JsonProcessingException) {
            return listOf(SettingsFault("", "line ${e.location?.lineNr ?: 0}: ${e.originalMessage}")).left()
        }
    val unknown = root.fieldNames().asSequence().filter { Section.of(it) == null }.toList()
    if (unknown.isNotEmpty()) return unknown.map { SettingsFault(it, "unknown section") }.left()
    return Section.entries
        .filter { root.has(it.key) }
        .associateWith { toml.writeValueAsString(toml.createObjectNode().set<ObjectNode>(it.key, root.get(it.key))) }
        .right()
}

/** Parses and checks the merged document given by the TOML text of each section. */
fun parseDocument(sections: Map<Section, String>): Either<List<SettingsFault>, ConfigurationDocument> {
    val faults = mutableListOf<SettingsFault>()
    var document = ConfigurationDocument()
    for ((section, text) in sections) {
        document =
            readSettings(text) { parseSection(document, section, it.table(section.key)) }
                .onLeft { faults += it }
                .getOrElse { document }
    }
    faults += referenceFaults(document)
    return if (faults.isEmpty()) document.right() else faults.left()
}

private fun parseSection(document: ConfigurationDocument, section: Section, reader: SettingsReader) = when (section) {
    Section.CUSTOMERS -> document.copy(customers = reader.tables(::customer).associateBy { it.id })
    Section.CLASSES -> document.copy(classes = reader.tables(::requestClass).associateBy { it.id })
    Section.BUDGETS -> document.copy(budgets = reader.tables(::budget).associateBy { it.pool })
    Section.BACKEND_SERVERS -> document.copy(pools = reader.tables(::pool).associateBy { it.id })
    Section.ROUTES -> document.copy(routes = reader.tables(::route))
}

private fun customer(name: String, reader: SettingsReader) = Customer(
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
    kind = if (reader.choice("kind", listOf("engine", "service")) ==
        "engine"
    ) {
        PoolKind.ENGINE
    } else {
        PoolKind.SERVICE
    },
    model = reader.string("model", default = "-").takeIf { it != "-" }?.let { ModelId(it) },
    checksFencingToken = reader.boolean("checksFencingToken", default = false),
)

private fun route(name: String, reader: SettingsReader) = Route(
    name = name,
    path = reader.string("path"),
    pool = PoolId(reader.string("pool")),
    open = reader.boolean("open", default = false),
    idempotent = reader.boolean("idempotent", default = false),
    classes = reader.strings("classes").map { ClassId(it) },
)

private fun referenceFaults(document: ConfigurationDocument): List<SettingsFault> = buildList {
    document.routes.forEach { route ->
        if (route.pool !in
            document.pools
        ) {
            add(SettingsFault("routes.${route.name}.pool", "unknown pool ${route.pool}"))
        }
        if (route.classes.isEmpty()) add(SettingsFault("routes.${route.name}.classes", "needs at least one class"))
        route.classes
            .filter { it !in document.classes }
            .forEach { add(SettingsFault("routes.${route.name}.classes", "unknown class $it")) }
    }
    document.budgets.keys
        .filter { it !in document.pools }
        .forEach { add(SettingsFault("budgets.$it", "unknown pool $it")) }
    duplicateKeys(document).forEach { add(SettingsFault("customers", "key $it is granted to two customers")) }
}

private fun duplicateKeys(document: ConfigurationDocument) = document.customers.values
    .flatMap { it.keys }
    .groupingBy { it }
    .eachCount()
    .filter { it.value > 1 }
    .keys

private const val MAX_WEIGHT = 1_000L
private const val MAX_COUNT = 1_000_000_000
private const val MAX_TIER = 9
private const val MAX_TIME_MS = 86_400_000L
