/** `hickoryctl status`, `drain` and `timeline`: the subcommands that call the admin interface of routers. */
package org.hickorytiller.hickoryctl

import arrow.core.Either
import arrow.core.getOrElse
import com.fasterxml.jackson.databind.JsonNode
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.hickorytiller.core.LogOffset
import org.kohsuke.args4j.Option

/** Shows the status of routers. */
class StatusCommand : RouterCommand() {
    override suspend fun run(context: CommandContext): ExitCode {
        val responses = callAll(requiredAdminClients(context)) { it.get("/status") }
        return context.printResponses(responses, asJson) { status ->
            val stopped = status.path("stoppedAt").takeIf { it.isNumber }?.let { ", stopped at record $it" }.orEmpty()
            "host ${status.path(
                "host",
            ).asText()}, ${if (status.path("ready").asBoolean()) "ready" else "not ready"}, " +
                "configuration offset ${status.path("configurationOffset")}, " +
                "log ${if (status.path("logReachable").asBoolean()) "reachable" else "unreachable"}, " +
                "${status.path("withdrawalsNotOnLog")} withdrawals not on the log$stopped"
        }
    }
}

/** Starts a graceful shutdown of routers. */
class DrainCommand : RouterCommand() {
    override suspend fun run(context: CommandContext): ExitCode {
        val responses = callAll(requiredAdminClients(context)) { it.post("/drain") }
        return context.printResponses(responses, asJson) { "draining" }
    }
}

/** Shows the events of all processes in causal order. */
class TimelineCommand : RouterCommand() {
    @Option(name = "--kind", metaVar = "NAME", usage = "show events of this kind only")
    var kind = ""

    override suspend fun run(context: CommandContext): ExitCode {
        val responses = callAll(requiredAdminClients(context)) { it.get("/timeline") }
        val faults = responses.mapNotNull { (router, response) -> response.leftOrNull()?.let { router to it } }
        faults.forEach { (router, fault) -> context.printError("$router: ${fault.message}") }
        val timelines = responses.values.mapNotNull { it.getOrNull() }
        val merged =
            mergeEvents(timelines).getOrElse {
                context.printError(it)
                return ExitCode.REFUSED
            }
        val events = merged.filter { kind.isEmpty() || it.path("kind").asText().equals(kind, ignoreCase = true) }
        if (asJson) context.printJson(events) else events.forEach { context.print(describeEvent(it)) }
        return exitCodeOf(faults.map { it.second })
    }
}

/** Calls all [routers] concurrently and returns the results by name of the router. */
internal suspend fun callAll(
    routers: List<AdminClient>,
    request: suspend (AdminClient) -> Either<AdminFault, JsonNode>,
): Map<String, Either<AdminFault, JsonNode>> = coroutineScope {
    routers.map { router -> async { router.name to request(router) } }.awaitAll().toMap()
}

/** Prints the result of each router and returns the exit code. */
internal fun CommandContext.printResponses(
    responses: Map<String, Either<AdminFault, JsonNode>>,
    asJson: Boolean,
    describe: (JsonNode) -> String,
): ExitCode {
    if (asJson) {
        printJson(
            responses.mapValues { (_, response) ->
                response.fold({ mapOf("error" to it.message) }, { mapOf("answer" to it) })
            },
        )
    } else {
        responses.forEach { (router, response) ->
            response.fold({ printError("$router: ${it.message}") }, { print("$router: ${describe(it)}") })
        }
    }
    return exitCodeOf(responses.values.mapNotNull { it.leftOrNull() })
}

/**
 * Waits until every router reports that a configuration of at least [offset] is in effect. Returns the faults of the
 * routers for which that is not the case after [waitMs].
 */
internal suspend fun awaitConfigurationOffset(
    routers: List<AdminClient>,
    offset: LogOffset,
    waitMs: Long,
): Map<String, AdminFault> {
    val pending = routers.associate { it.name to NOT_YET_IN_EFFECT }.toMutableMap()
    withTimeoutOrNull(waitMs) {
        while (true) {
            val responses = callAll(routers.filter { it.name in pending }) { it.get("/status") }
            responses.forEach { (router, response) ->
                val fault = response.fold({ it }, { if (isInEffect(it, offset)) null else NOT_YET_IN_EFFECT })
                if (fault == null) pending -= router else pending[router] = fault
            }
            if (pending.isEmpty()) break
            delay(POLL_INTERVAL_MS)
        }
    }
    return pending
}

private fun isInEffect(status: JsonNode, offset: LogOffset) =
    status.path("ready").asBoolean() && status.path("configurationOffset").asLong(-1) >= offset.value

private val NOT_YET_IN_EFFECT =
    AdminFault(ExitCode.UNREACHABLE, "the change is accepted, but not reported in force in time")
private const val POLL_INTERVAL_MS = 100L
