/** `hickoryctl status`, `drain` and `timeline`: ask routers. */
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

/** Shows what routers report. */
class StatusCommand : RouterCommand() {
    override suspend fun run(context: CommandContext): ExitCode {
        val answers = askAll(requiredAdminClients(context)) { it.get("/status") }
        return context.printAnswers(answers, asJson) { status ->
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
        val answers = askAll(requiredAdminClients(context)) { it.post("/drain") }
        return context.printAnswers(answers, asJson) { "draining" }
    }
}

/** Shows the events of all processes in causal order. */
class TimelineCommand : RouterCommand() {
    @Option(name = "--kind", metaVar = "NAME", usage = "show events of this kind only")
    var kind = ""

    override suspend fun run(context: CommandContext): ExitCode {
        val answers = askAll(requiredAdminClients(context)) { it.get("/timeline") }
        val faults = answers.mapNotNull { (router, answer) -> answer.leftOrNull()?.let { router to it } }
        faults.forEach { (router, fault) -> context.printError("$router: ${fault.message}") }
        val timelines = answers.values.mapNotNull { it.getOrNull() }
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

/** Asks all [routers] at the same time. */
internal suspend fun askAll(
    routers: List<AdminClient>,
    ask: suspend (AdminClient) -> Either<AdminFault, JsonNode>,
): Map<String, Either<AdminFault, JsonNode>> = coroutineScope {
    routers.map { router -> async { router.name to ask(router) } }.awaitAll().toMap()
}

/** Prints one line for each router and returns the exit code. */
internal fun CommandContext.printAnswers(
    answers: Map<String, Either<AdminFault, JsonNode>>,
    asJson: Boolean,
    describe: (JsonNode) -> String,
): ExitCode {
    if (asJson) {
        printJson(
            answers.mapValues { (_, answer) ->
                answer.fold({ mapOf("error" to it.message) }, { mapOf("answer" to it) })
            },
        )
    } else {
        answers.forEach { (router, answer) ->
            answer.fold({ printError("$router: ${it.message}") }, { print("$router: ${describe(it)}") })
        }
    }
    return exitCodeOf(answers.values.mapNotNull { it.leftOrNull() })
}

/**
 * Waits until every router has a configuration with at least [offset] in force. Returns what is wrong with the
 * others after [waitMs].
 */
internal suspend fun awaitOffset(
    routers: List<AdminClient>,
    offset: LogOffset,
    waitMs: Long,
): Map<String, AdminFault> {
    val outstanding = routers.associate { it.name to NOT_YET }.toMutableMap()
    withTimeoutOrNull(waitMs) {
        while (true) {
            val answers = askAll(routers.filter { it.name in outstanding }) { it.get("/status") }
            answers.forEach { (router, answer) ->
                val fault = answer.fold({ it }, { if (isInForce(it, offset)) null else NOT_YET })
                if (fault == null) outstanding -= router else outstanding[router] = fault
            }
            if (outstanding.isEmpty()) break
            delay(POLL_INTERVAL_MS)
        }
    }
    return outstanding
}

private fun isInForce(status: JsonNode, offset: LogOffset) =
    status.path("ready").asBoolean() && status.path("configurationOffset").asLong(-1) >= offset.value

private val NOT_YET = AdminFault(ExitCode.UNREACHABLE, "the change is accepted, but not reported in force in time")
private const val POLL_INTERVAL_MS = 100L
